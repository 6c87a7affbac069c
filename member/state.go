package member

import (
	"slices"

	"github.com/lavendermux/lavendermux/wire"
	"google.golang.org/protobuf/proto"
)

type (
	// state is what an instance says of itself. Exactly one of endpoint and entry
	// is set. It is not changed once made.
	state struct {
		boot     int64
		endpoint *wire.EndpointState
		entry    *wire.EntryState
	}
)

// ofEndpoint keeps a copy without the load, but for the number of slots: load
// changes with every beat, travels on the door's replies, and would make a
// version of the table each time.
func ofEndpoint(e *wire.EndpointState) *state {
	kept := proto.CloneOf(e)
	kept.Load = &wire.DoorLoad{Slots: e.GetLoad().GetSlots()}
	return &state{boot: e.GetBoot(), endpoint: kept}
}

func ofEntry(e *wire.EntryState) *state {
	return &state{boot: e.GetBoot(), entry: proto.CloneOf(e)}
}

func (s *state) id() string {
	if s.endpoint != nil {
		return s.endpoint.GetInstance()
	}
	return s.entry.GetInstance()
}

func (s *state) place() string {
	if s.endpoint != nil {
		return s.endpoint.GetDataCentre()
	}
	return s.entry.GetDataCentre()
}

// material tells whether a reader must hear of the change at once, since it
// changes where work may go.
func (s *state) material(old *state) bool {
	if s.boot != old.boot || (s.endpoint == nil) != (old.endpoint == nil) {
		return true
	}
	if s.endpoint == nil {
		return s.entry.GetAddress() != old.entry.GetAddress() ||
			s.entry.GetLeaving() != old.entry.GetLeaving() ||
			!sameJobs(s.entry.GetJobs(), old.entry.GetJobs())
	}
	a, b := s.endpoint, old.endpoint
	return a.GetAddress() != b.GetAddress() ||
		a.GetDraining() != b.GetDraining() ||
		a.GetReady() != b.GetReady() ||
		a.GetRole() != b.GetRole() ||
		!sameVersions(a.GetModels(), b.GetModels())
}

// minor tells whether anything else changed that readers hear of in time.
func (s *state) minor(old *state) bool {
	if s.endpoint == nil {
		return s.entry.GetHasDisk() != old.entry.GetHasDisk()
	}
	return s.endpoint.GetLoad().GetSlots() != old.endpoint.GetLoad().GetSlots() ||
		!slices.EqualFunc(s.endpoint.GetModels(), old.endpoint.GetModels(), func(a, b *wire.ModelState) bool {
			return slices.Equal(a.GetStaged(), b.GetStaged())
		})
}

// appendTo adds the state to an answer, as a copy, since the answer is encoded
// after the hub's lock is released.
func (s *state) appendTo(resp *wire.MembersResponse, version int64, gone bool) {
	if s.endpoint != nil {
		e := proto.CloneOf(s.endpoint)
		e.Gone, e.TableVersion = gone, version
		resp.Endpoints = append(resp.Endpoints, e)
		return
	}
	e := proto.CloneOf(s.entry)
	e.Gone, e.TableVersion = gone, version
	resp.Entries = append(resp.Entries, e)
}

func sameVersions(a, b []*wire.ModelState) bool {
	return slices.EqualFunc(a, b, func(x, y *wire.ModelState) bool {
		return x.GetModel() == y.GetModel() && x.GetVersion() == y.GetVersion()
	})
}

func sameJobs(a, b []*wire.JobState) bool {
	return slices.EqualFunc(a, b, func(x, y *wire.JobState) bool {
		return x.GetJob() == y.GetJob() && x.GetFence() == y.GetFence() && x.GetInDoubt() == y.GetInDoubt()
	})
}
