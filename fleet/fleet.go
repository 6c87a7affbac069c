// Package fleet implements an instance's local view of the membership: which endpoint
// serves what, where and with which weights, and which entry holds which job.
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
	// missingGrace is how long a member that is missing in another hub's full table is
	// kept. A hub that has just started has received only a few heartbeats; dropping
	// all other members at once would leave callers without endpoints although all of
	// them serve. A live member sends a heartbeat to the new hub well within this time.
	missingGrace = 20 * time.Second
)

type (
	// View is a local copy of the membership. It is safe for concurrent use. What its
	// methods return is shared and must not be modified.
	View struct {
		mu        sync.RWMutex
		version   int64
		boot      int64
		endpoints map[string]*wire.EndpointState
		entries   map[string]*wire.EntryState
		// sortedEntries holds the entries, sorted by instance.
		sortedEntries []*wire.EntryState
		holders       map[string]jobHolder
		// fences holds the greatest fencing token seen of each job; it only grows, also
		// when the job's holder is lost.
		fences       map[string]int64
		digests      []*wire.DataCentreDigest
		missingUntil map[string]time.Time
	}

	jobHolder struct {
		entry *wire.EntryState
		job   *wire.JobState
	}
)

// New returns an empty view.
//
//	v := fleet.New()
//	endpoints := v.Endpoints("filing-lm")
func New() *View {
	return &View{
		endpoints:    map[string]*wire.EndpointState{},
		entries:      map[string]*wire.EntryState{},
		holders:      map[string]jobHolder{},
		fences:       map[string]int64{},
		missingUntil: map[string]time.Time{},
	}
}

// Cursor returns the version up to which the view is complete, and the boot of the hub
// that the version belongs to.
func (v *View) Cursor() (version, boot int64) {
	v.mu.RLock()
	defer v.mu.RUnlock()
	return v.version, v.boot
}

// Apply applies a hub's response.
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
		putOrDelete(v.endpoints, v.missingUntil, e.GetInstance(), e, e.GetGone())
	}
	for _, e := range resp.GetEntries() {
		putOrDelete(v.entries, v.missingUntil, e.GetInstance(), e, e.GetGone())
	}
	v.digests = resp.GetDigests()
	v.version = resp.GetVersion()
	v.boot = resp.GetBoot()
	v.reindex()
}

// Sweep drops the members that were missing in the last full table and whose grace
// period has ended.
func (v *View) Sweep(now time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for id, until := range v.missingUntil {
		if now.Before(until) {
			continue
		}
		delete(v.missingUntil, id)
		delete(v.endpoints, id)
		delete(v.entries, id)
		v.reindex()
	}
}

// Endpoints returns the endpoints of a service, or of all services if service is empty,
// sorted by instance.
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

// Entries returns the entries sorted by instance.
func (v *View) Entries() []*wire.EntryState {
	v.mu.RLock()
	defer v.mu.RUnlock()
	return slices.Clone(v.sortedEntries)
}

// Digests returns how many instances of each data centre have which configuration
// revision in force, as of a hub's last response.
func (v *View) Digests() []*wire.DataCentreDigest {
	v.mu.RLock()
	defer v.mu.RUnlock()
	return slices.Clone(v.digests)
}

// Holder returns the entry that reports holding job, or nil, and its fencing token. It
// may be out of date by some seconds: the entry itself rejects calls for jobs it no
// longer holds.
func (v *View) Holder(job string) (*wire.EntryState, int64) {
	v.mu.RLock()
	defer v.mu.RUnlock()
	h := v.holders[job]
	return h.entry, h.job.GetFence()
}

// Fence returns the greatest fencing token of job that any entry has reported, also one
// that is gone; 0 if there is none.
func (v *View) Fence(job string) int64 {
	v.mu.RLock()
	defer v.mu.RUnlock()
	return v.fences[job]
}

// ConfirmedHolder returns the entry that holds job and has recently renewed its lease. While
// there is one, no other entry needs to try to acquire the job. A holder in doubt is
// still called, but may be cut off and its lease expired.
func (v *View) ConfirmedHolder(job string) (instance string, ok bool) {
	v.mu.RLock()
	defer v.mu.RUnlock()
	h := v.holders[job]
	return h.entry.GetInstance(), h.entry != nil && !h.job.GetInDoubt()
}

// reindex sorts the entries and finds the holder of each job. Both are read far more
// often than they change: every entry looks up every job each second.
func (v *View) reindex() {
	clear(v.holders)
	v.sortedEntries = slices.SortedFunc(maps.Values(v.entries), func(a, b *wire.EntryState) int {
		return cmp.Compare(a.GetInstance(), b.GetInstance())
	})
	for _, e := range v.entries {
		for _, j := range e.GetJobs() {
			if j.GetFence() > v.holders[j.GetJob()].job.GetFence() {
				v.holders[j.GetJob()] = jobHolder{entry: e, job: j}
			}
			v.fences[j.GetJob()] = max(v.fences[j.GetJob()], j.GetFence())
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
	until := now.Add(missingGrace)
	markMissingIn(v.endpoints, v.missingUntil, named, until)
	markMissingIn(v.entries, v.missingUntil, named, until)
}

func markMissingIn[T any](held map[string]T, missing map[string]time.Time, named map[string]bool, until time.Time) {
	for id := range held {
		if _, marked := missing[id]; !marked && !named[id] {
			missing[id] = until
		}
	}
}

func putOrDelete[T any](held map[string]T, missing map[string]time.Time, id string, state T, gone bool) {
	delete(missing, id)
	if gone {
		delete(held, id)
		return
	}
	held[id] = state
}
