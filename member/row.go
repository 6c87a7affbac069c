package member

import (
	"slices"

	"github.com/lavendermux/lavendermux/wire"
	"google.golang.org/protobuf/proto"
)

const (
	// maxExamples bounds how many instances a digest names for each revision: an
	// operator looks at one or two that lag, not at a list of hundreds.
	maxExamples = 3
)

func (r *row) id() string {
	if r.endpoint != nil {
		return r.endpoint.GetInstance()
	}
	return r.entry.GetInstance()
}

func (r *row) place() string {
	if r.endpoint != nil {
		return r.endpoint.GetDataCentre()
	}
	return r.entry.GetDataCentre()
}

// setEndpoint keeps a copy without the load, but for the number of slots: load
// changes with every beat, travels on the door's replies, and would make a
// version of the table each time.
func (r *row) setEndpoint(e *wire.EndpointState) {
	r.endpoint = proto.CloneOf(e)
	r.endpoint.Load = &wire.DoorLoad{Slots: e.GetLoad().GetSlots()}
	r.boot = e.GetBoot()
}

func (r *row) setEntry(e *wire.EntryState) {
	r.entry = proto.CloneOf(e)
	r.boot = e.GetBoot()
}

// stale tells whether a beat is of an earlier start of the instance than what is
// known, or was overtaken by a later beat of the same start. Without this a beat
// that was held up on its way would take a drained endpoint back into service, or
// give a restarted one its old weights.
func (r *row) stale(old *row) bool {
	if r.boot != old.boot {
		return r.boot < old.boot
	}
	return r.sequence < old.sequence
}

// material tells whether a reader must hear of the change at once, since it
// changes where work may go.
func (r *row) material(old *row) bool {
	if r.boot != old.boot || (r.endpoint == nil) != (old.endpoint == nil) {
		return true
	}
	if r.endpoint == nil {
		return r.entry.GetAddress() != old.entry.GetAddress() ||
			r.entry.GetLeaving() != old.entry.GetLeaving() ||
			!sameJobs(r.entry.GetJobs(), old.entry.GetJobs())
	}
	a, b := r.endpoint, old.endpoint
	return a.GetAddress() != b.GetAddress() ||
		a.GetDraining() != b.GetDraining() ||
		a.GetReady() != b.GetReady() ||
		a.GetRole() != b.GetRole() ||
		!sameVersions(a.GetModels(), b.GetModels())
}

// minor tells whether anything else changed that readers hear of in time.
func (r *row) minor(old *row) bool {
	if r.endpoint == nil {
		return r.entry.GetHasDisk() != old.entry.GetHasDisk()
	}
	return r.endpoint.GetLoad().GetSlots() != old.endpoint.GetLoad().GetSlots() ||
		!slices.EqualFunc(r.endpoint.GetModels(), old.endpoint.GetModels(), func(a, b *wire.ModelState) bool {
			return slices.Equal(a.GetStaged(), b.GetStaged())
		})
}

// appendTo adds the row to an answer. The states of an answer are copies, since
// the answer is encoded after the hub's lock is released.
func (r *row) appendTo(resp *wire.MembersResponse) {
	if r.endpoint != nil {
		e := proto.CloneOf(r.endpoint)
		e.Gone, e.TableVersion = !r.goneAt.IsZero(), r.changed
		resp.Endpoints = append(resp.Endpoints, e)
		return
	}
	e := proto.CloneOf(r.entry)
	e.Gone, e.TableVersion = !r.goneAt.IsZero(), r.changed
	resp.Entries = append(resp.Entries, e)
}

func sameVersions(a, b []*wire.ModelState) bool {
	return slices.EqualFunc(a, b, func(x, y *wire.ModelState) bool {
		return x.GetModel() == y.GetModel() && x.GetVersion() == y.GetVersion()
	})
}
