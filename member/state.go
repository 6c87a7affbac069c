package member

import (
	"slices"

	"github.com/lavendermux/lavendermux/wire"
	"google.golang.org/protobuf/proto"
)

type (
	// state is what an instance reports about itself. Exactly one of endpoint and entry
	// is set. It is immutable.
	state struct {
		boot     int64
		endpoint *wire.EndpointState
		entry    *wire.EntryState
	}
)

// newEndpointState copies the endpoint without its load, except for the number of
// slots: load changes with every heartbeat, is sent with the sidecar's responses, and
// would make a new version of the table each time.
func newEndpointState(e *wire.EndpointState) *state {
	kept := proto.CloneOf(e)
	kept.Load = &wire.DoorLoad{Slots: e.GetLoad().GetSlots()}
	return &state{boot: e.GetBoot(), endpoint: kept}
}

func newEntryState(e *wire.EntryState) *state {
	return &state{boot: e.GetBoot(), entry: proto.CloneOf(e)}
}

func (s *state) id() string {
	if s.endpoint != nil {
		return s.endpoint.GetInstance()
	}
	return s.entry.GetInstance()
}

func (s *state) dataCentreName() string {
	if s.endpoint != nil {
		return s.endpoint.GetDataCentre()
	}
	return s.entry.GetDataCentre()
}

// isMaterialChange reports whether readers must learn of the change from old at once,
// since it affects where work may be sent.
func (s *state) isMaterialChange(old *state) bool {
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

// isMinorChange reports whether anything else changed that readers learn of with a
// delay.
func (s *state) isMinorChange(old *state) bool {
	if s.endpoint == nil {
		return s.entry.GetHasDisk() != old.entry.GetHasDisk()
	}
	return s.endpoint.GetLoad().GetSlots() != old.endpoint.GetLoad().GetSlots() ||
		!slices.EqualFunc(s.endpoint.GetModels(), old.endpoint.GetModels(), func(a, b *wire.ModelState) bool {
			return slices.Equal(a.GetStaged(), b.GetStaged())
		})
}

// appendTo appends a copy of the state to a response: the response is encoded after the
// hub's lock is released.
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
