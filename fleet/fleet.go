// Package fleet holds an instance's own copy of the membership: who serves what,
// where, on which weights, and who holds which job.
package fleet

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/lavendermux/lavendermux/wire"
)

const (
	// grace is how long a member that another hub's whole table lacks is kept.
	// A hub that has just begun has heard only a few beats; dropping all others
	// at once would leave callers without endpoints although every one serves.
	// A member that lives beats to the new hub well within this time.
	grace = 20 * time.Second
)

type (
	// View is a local copy of the membership. It is safe for concurrent use.
	// What it returns is shared and must not be changed.
	View struct {
		mu        sync.RWMutex
		version   int64
		boot      int64
		endpoints map[string]*wire.EndpointState
		entries   map[string]*wire.EntryState
		// sorted is entries in the order of their instances.
		sorted  []*wire.EntryState
		holders map[string]holding
		digests []*wire.DataCentreDigest
		missing map[string]time.Time
	}

	holding struct {
		entry *wire.EntryState
		job   *wire.JobState
	}
)

// New returns an empty copy.
//
//	v := fleet.New()
//	doors := v.Endpoints("filing-lm")
func New() *View {
	return &View{
		endpoints: map[string]*wire.EndpointState{},
		entries:   map[string]*wire.EntryState{},
		holders:   map[string]holding{},
		missing:   map[string]time.Time{},
	}
}

// Cursor returns the version up to which the copy is complete and the boot of
// the hub whose version it is.
func (v *View) Cursor() (version, boot int64) {
	v.mu.RLock()
	defer v.mu.RUnlock()
	return v.version, v.boot
}

// Apply takes in what a hub returned.
func (v *View) Apply(now time.Time, resp *wire.MembersResponse) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if !resp.GetWhole() && resp.GetBoot() != v.boot {
		return
	}
	if resp.GetWhole() {
		v.markMissing(now, resp)
	}
	for _, e := range resp.GetEndpoints() {
		put(v.endpoints, v.missing, e.GetInstance(), e, e.GetGone())
	}
	for _, e := range resp.GetEntries() {
		put(v.entries, v.missing, e.GetInstance(), e, e.GetGone())
	}
	v.digests = resp.GetDigests()
	v.version = resp.GetVersion()
	v.boot = resp.GetBoot()
	v.index()
}

// Sweep drops the members that the last whole table lacked, once their time is
// up.
func (v *View) Sweep(now time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for id, until := range v.missing {
		if now.Before(until) {
			continue
		}
		delete(v.missing, id)
		delete(v.endpoints, id)
		delete(v.entries, id)
		v.index()
	}
}

// Endpoints returns the endpoints of a service, or of all services when it is
// empty, in the order of their instances.
func (v *View) Endpoints(service string) []*wire.EndpointState {
	v.mu.RLock()
	defer v.mu.RUnlock()
	out := make([]*wire.EndpointState, 0, len(v.endpoints))
	for _, e := range v.endpoints {
		if service == "" || e.GetService() == service {
			out = append(out, e)
		}
	}
	slices.SortFunc(out, func(a, b *wire.EndpointState) int {
		return cmp.Compare(a.GetInstance(), b.GetInstance())
	})
	return out
}

// Endpoint returns one endpoint, or nil.
func (v *View) Endpoint(instance string) *wire.EndpointState {
	v.mu.RLock()
	defer v.mu.RUnlock()
	return v.endpoints[instance]
}

// Entries returns the entries in the order of their instances.
func (v *View) Entries() []*wire.EntryState {
	v.mu.RLock()
	defer v.mu.RUnlock()
	return slices.Clone(v.sorted)
}

// Digests returns which configuration is in force at how many instances of each
// data centre, as of the last answer of a hub.
func (v *View) Digests() []*wire.DataCentreDigest {
	v.mu.RLock()
	defer v.mu.RUnlock()
	return slices.Clone(v.digests)
}

// Holder returns the entry that says it holds job, and the fencing number it
// holds it with, or nil. It may be out of date by some seconds: the entry itself
// refuses what it no longer holds.
func (v *View) Holder(job string) (*wire.EntryState, int64) {
	v.mu.RLock()
	defer v.mu.RUnlock()
	h := v.holders[job]
	return h.entry, h.job.GetFence()
}

// SureHolder returns the entry that holds job and could renew its lease lately.
// While one does, nobody else need try to take the job; one that is in doubt is
// asked all the same, but may be cut off and its lease lapsed.
func (v *View) SureHolder(job string) (instance string, ok bool) {
	v.mu.RLock()
	defer v.mu.RUnlock()
	h := v.holders[job]
	return h.entry.GetInstance(), h.entry != nil && !h.job.GetInDoubt()
}

// index sorts the entries and finds the holder of each job. Both are asked for
// far more often than they change: every entry looks for every job each second.
func (v *View) index() {
	clear(v.holders)
	v.sorted = slices.SortedFunc(maps.Values(v.entries), func(a, b *wire.EntryState) int {
		return cmp.Compare(a.GetInstance(), b.GetInstance())
	})
	for _, e := range v.entries {
		for _, j := range e.GetJobs() {
			if j.GetFence() > v.holders[j.GetJob()].job.GetFence() {
				v.holders[j.GetJob()] = holding{entry: e, job: j}
			}
		}
	}
}

func (v *View) markMissing(now time.Time, resp *wire.MembersResponse) {
	named := make(map[string]bool, len(resp.GetEndpoints())+len(resp.GetEntries()))
	for _, e := range resp.GetEndpoints() {
		named[e.GetInstance()] = true
	}
	for _, e := range resp.GetEntries() {
		named[e.GetInstance()] = true
	}
	until := now.Add(grace)
	markIn(v.endpoints, v.missing, named, until)
	markIn(v.entries, v.missing, named, until)
}

func markIn[T any](held map[string]T, missing map[string]time.Time, named map[string]bool, until time.Time) {
	for id := range held {
		if _, marked := missing[id]; !marked && !named[id] {
			missing[id] = until
		}
	}
}

func put[T any](held map[string]T, missing map[string]time.Time, id string, state T, gone bool) {
	delete(missing, id)
	if gone {
		delete(held, id)
		return
	}
	held[id] = state
}
