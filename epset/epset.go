// Package epset is a process's registry of endpoints, with the load, health and weight
// versions that its own requests have observed.
package epset

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/lavendermux/lavendermux/endpt"
	"github.com/lavendermux/lavendermux/evbase"
	"github.com/lavendermux/lavendermux/speed"
)

const (
	// failureAvoidTime is how long an endpoint is avoided after a failure. A crash shows
	// in the list of endpoints after about three heartbeats; until then one request per
	// period probes the endpoint.
	failureAvoidTime = 1500 * time.Millisecond
	// suspectTime is how long after that an endpoint only gets work for which no other
	// endpoint has a free slot, unless it answers before. One that has stopped responding
	// is silent for some four seconds; being idle it would look like the best choice, and
	// the longest item of a step would go there and lose a second.
	suspectTime = 3 * time.Second
	// busyAvoidTime is how long an endpoint is avoided that refused a request because it
	// was full or loading weights. A slot becomes free several times a second.
	busyAvoidTime = 250 * time.Millisecond
	// unitTimeWeight is the weight of a new observation in the EWMA of unit times: about
	// the last ten count.
	unitTimeWeight = 0.1
	// minUnitSamples is the number of observations before a unit time is used. Events
	// that were read late arrive together, and one interval between them may be a tenth
	// of the true one.
	minUnitSamples = 3
	// lapseGracePeriod is how long entries are kept that expired during an outage of the
	// metadata store: they are back within two seconds of its return if their endpoint is
	// alive.
	lapseGracePeriod = 2 * time.Second
)

type (
	// Registry is the registry of endpoints; safe for concurrent use. See New.
	Registry struct {
		mu        sync.Mutex
		endpoints map[string]*state
		// graceUntil delays removals after an outage of the metadata store.
		graceUntil time.Time
		onChange   func()
		speeds     speeds
		// eventBases has the event IDs with which streams begin, by service.
		eventBases map[string]*evbase.Votes
		// versions has the latest weight version of each model that is known to exist.
		versions map[string]int64
	}

	// View is an endpoint with what is known about it.
	View struct {
		endpt.Endpoint
		Running int
		// UnitTime is the mean time of a unit of work at this endpoint; 0 means unknown.
		UnitTime time.Duration
		// MeasuredAt is the time of the last observation.
		MeasuredAt time.Time
		// AvoidUntil is set after a failure or a refusal.
		AvoidUntil time.Time
		// SuspectUntil is set after a failure, or when an answer is overdue, and cleared
		// by the next finished unit of work.
		SuspectUntil time.Time
		// Loading has the models whose weights are being changed.
		Loading map[string]bool
		// Factor is the ratio of the endpoint's times to those of a typical one of its
		// service; 1 if no lasting difference is believed.
		Factor float64
		// InSpell is set while the endpoint is much slower than it usually is.
		InSpell bool
		// Pace is the time of a unit of work that new work has to expect; 0 means unknown.
		Pace time.Duration
	}

	state struct {
		View
		// removeAt is when the endpoint is removed unless its entry returns before; zero
		// if it is not to be removed.
		removeAt time.Time
		// unitTime is the EWMA of all observations so far; it is published as UnitTime once
		// there are minUnitSamples of them.
		unitTime time.Duration
		units    int
		speed    speed.Estimator
	}
)

// New returns an empty registry. onChange is called, without a lock held, after each
// change that may free capacity or take it away.
//
//	s := epset.New(func() { wake <- struct{}{} })
//	s.Put(e)
func New(onChange func()) *Registry {
	return &Registry{endpoints: make(map[string]*state), onChange: onChange,
		eventBases: make(map[string]*evbase.Votes), versions: make(map[string]int64),
		speeds: speeds{startedAt: time.Now(), neighbours: make(map[string]neighbourSpeeds)}}
}

// Put stores what an endpoint declared, and reports whether it is new, a new incarnation
// or has changed its draining state. A new incarnation replaces the state of the previous
// one.
func (r *Registry) Put(e endpt.Endpoint) (isNew bool) {
	r.mu.Lock()
	for model, v := range e.Versions {
		r.versions[model] = max(r.versions[model], v)
	}
	old, ok := r.endpoints[e.ID]
	isNew = !ok || !old.SameIncarnation(e) || old.Draining != e.Draining
	if ok && old.SameIncarnation(e) {
		e.Versions = mergeVersions(old.Versions, e.Versions)
		old.Endpoint = e
		old.removeAt = time.Time{}
	} else {
		r.endpoints[e.ID] = &state{View: View{Endpoint: e, Factor: 1}}
	}
	r.mu.Unlock()
	r.onChange()
	return isNew
}

// mergeVersions merges the versions of two reports of one incarnation: versions only
// increase, and a late report must not take back a version that an answer has shown.
func mergeVersions(a, b map[string]int64) map[string]int64 {
	out := maps.Clone(b)
	for model, v := range a {
		if out == nil {
			out = make(map[string]int64)
		}
		out[model] = max(out[model], v)
	}
	return out
}

// Remove removes an endpoint whose entry is gone, after the grace period if one is in
// progress.
func (r *Registry) Remove(id string, now time.Time) {
	r.mu.Lock()
	if now.Before(r.graceUntil) {
		if st, ok := r.endpoints[id]; ok {
			st.removeAt = r.graceUntil
		}
	} else {
		delete(r.endpoints, id)
	}
	r.mu.Unlock()
	r.onChange()
}

// StartGracePeriod starts the grace period for entries that expired during an outage of the
// metadata store.
func (r *Registry) StartGracePeriod(now time.Time) {
	r.mu.Lock()
	r.graceUntil = now.Add(lapseGracePeriod)
	r.mu.Unlock()
}

// Retain removes all endpoints but those in ids, as Remove does.
func (r *Registry) Retain(ids map[string]bool, now time.Time) {
	for _, id := range r.ids() {
		if !ids[id] {
			r.Remove(id, now)
		}
	}
}

func (r *Registry) ids() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Sorted(maps.Keys(r.endpoints))
}

// Sweep removes endpoints whose grace period has passed.
func (r *Registry) Sweep(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for id, st := range r.endpoints {
		if !st.removeAt.IsZero() && now.After(st.removeAt) {
			delete(r.endpoints, id)
		}
	}
}

// Available returns the endpoints of a service that accept new work, sorted by ID.
func (r *Registry) Available(name string) []View {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []View
	for _, st := range r.endpoints {
		if st.Service == name && !st.Draining {
			out = append(out, st.View)
		}
	}
	slices.SortFunc(out, func(a, b View) int { return compareIDs(a.ID, b.ID) })
	return out
}

// All returns all endpoints, sorted by ID.
func (r *Registry) All() []View {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make([]View, 0, len(r.endpoints))
	for _, st := range r.endpoints {
		out = append(out, st.View)
	}
	slices.SortFunc(out, func(a, b View) int { return compareIDs(a.ID, b.ID) })
	return out
}

// Lookup returns the state of e, and false if this incarnation of it is not known.
func (r *Registry) Lookup(e endpt.Endpoint) (View, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	st, ok := r.endpoints[e.ID]
	if !ok || !st.SameIncarnation(e) {
		return View{}, false
	}
	return st.View, true
}

// AcceptsWork reports whether e is known and accepts new work.
func (r *Registry) AcceptsWork(e endpt.Endpoint) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	st, ok := r.endpoints[e.ID]
	return ok && st.SameIncarnation(e) && !st.Draining
}

// Begin counts a request that is sent to e.
func (r *Registry) Begin(e endpt.Endpoint) {
	r.update(e, func(st *state) { st.Running++ })
}

// End counts a request that has ended at e.
func (r *Registry) End(e endpt.Endpoint) {
	r.update(e, func(st *state) { st.Running-- })
	r.onChange()
}

// MarkFailed marks e as failed: it is avoided, and suspect after that.
func (r *Registry) MarkFailed(e endpt.Endpoint, now time.Time) {
	r.update(e, func(st *state) {
		st.AvoidUntil = now.Add(failureAvoidTime)
		st.SuspectUntil = st.AvoidUntil.Add(suspectTime)
	})
}

// MarkOverdue marks e as suspect because an answer is so late that a second endpoint was
// asked.
func (r *Registry) MarkOverdue(e endpt.Endpoint, now time.Time) {
	r.update(e, func(st *state) { st.SuspectUntil = now.Add(suspectTime) })
}

// MarkBusy marks e as busy: it is avoided briefly, unless it is avoided for longer
// already.
func (r *Registry) MarkBusy(e endpt.Endpoint, now time.Time) {
	r.update(e, func(st *state) {
		if until := now.Add(busyAvoidTime); st.AvoidUntil.Before(until) {
			st.AvoidUntil = until
		}
	})
}

// MarkDraining marks e as draining before its entry says so.
func (r *Registry) MarkDraining(e endpt.Endpoint) {
	r.update(e, func(st *state) { st.Draining = true })
}

// Forget removes e because another endpoint has its address.
func (r *Registry) Forget(e endpt.Endpoint) {
	r.mu.Lock()
	if st, ok := r.endpoints[e.ID]; ok && st.SameIncarnation(e) {
		delete(r.endpoints, e.ID)
	}
	r.mu.Unlock()
}

// ObserveUnitTime records the time of one unit of work at e.
func (r *Registry) ObserveUnitTime(e endpt.Endpoint, took time.Duration) {
	r.update(e, func(st *state) { st.observeUnitTime(took) })
}

func (st *state) observeUnitTime(took time.Duration) {
	st.SuspectUntil, st.MeasuredAt = time.Time{}, time.Now()
	st.units++
	weight := max(unitTimeWeight, 1/float64(st.units))
	st.unitTime += time.Duration(weight * float64(took-st.unitTime))
	if st.units >= minUnitSamples {
		st.UnitTime = st.unitTime
	}
}

// EventBases returns what is known of the event IDs with which streams of e's service begin.
func (r *Registry) EventBases(e endpt.Endpoint) *evbase.Voter {
	r.mu.Lock()
	defer r.mu.Unlock()
	v, ok := r.eventBases[e.Service]
	if !ok {
		v = &evbase.Votes{}
		r.eventBases[e.Service] = v
	}
	return v.Voter(e.ID)
}

// AnnounceVersion records that a weight version of a model exists.
func (r *Registry) AnnounceVersion(model string, version int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.versions[model] = max(r.versions[model], version)
}

// IsPlausible reports whether an answer may show a weight version: it exists, or is the one after
// the latest that is known here. Engines may load a version before its announcement arrives.
func (r *Registry) IsPlausible(model string, version int64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	latest := r.versions[model]
	return version > 0 && (latest == 0 || version <= latest+1)
}

// ObserveVersion records a weight version that an answer of e has shown.
func (r *Registry) ObserveVersion(e endpt.Endpoint, model string, version int64) {
	r.update(e, func(st *state) {
		if st.Versions[model] < version {
			versions := maps.Clone(st.Versions)
			if versions == nil {
				versions = make(map[string]int64)
			}
			versions[model] = version
			st.Versions = versions
		}
	})
}

// SetLoading records which models e is changing.
func (r *Registry) SetLoading(e endpt.Endpoint, models map[string]bool) {
	r.update(e, func(st *state) { st.Loading = models })
	r.onChange()
}

func (r *Registry) update(e endpt.Endpoint, f func(*state)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if st, ok := r.endpoints[e.ID]; ok && st.SameIncarnation(e) {
		f(st)
	}
}

func compareIDs(a, b string) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}
