package epset

import (
	"cmp"
	"slices"
	"time"

	"github.com/lavendermux/lavendermux/endpt"
	"github.com/lavendermux/lavendermux/speed"
)

const (
	// maxSpeeds bounds the endpoints whose measurements are shared and taken from one
	// neighbour, and those that are reported as slow.
	maxSpeeds = 32
	// neighbourTime is how long the measurements of a neighbour count. They are of its last
	// 10 s, and sent anew each second.
	neighbourTime = 10 * time.Second
	// shareInterval is how often the sums for neighbours are computed; they are sent no
	// more often.
	shareInterval = time.Second
)

type (
	// SpeedChange is a change of what is believed about the speed of an endpoint.
	SpeedChange struct {
		View
		// OwnSamples and NeighbourSamples are the numbers of samples behind it.
		OwnSamples, NeighbourSamples int
		// IsLasting is set if the lasting factor is believed or no longer believed. Else a
		// spell has begun or ended.
		IsLasting bool
	}

	// speeds is what a registry knows about speeds besides the estimators. Registry.mu
	// guards it.
	speeds struct {
		// startedAt is where the estimators' time begins.
		startedAt time.Time
		// shared has the sums of this instance's observations of plain endpoints, by
		// incarnation. The map is replaced, not changed.
		shared   map[string]speed.Sum
		sharedAt time.Duration
		// neighbours has the latest measurements of each neighbour.
		neighbours map[string]neighbourSpeeds
	}

	neighbourSpeeds struct {
		at   time.Time
		sums map[string]speed.Sum
	}
)

// ObserveRequest records the duration of a whole request at e, as ObserveUnitTime does, and
// uses it for the speed of a plain endpoint beside the others of its service. Engines have
// models; their speed is that of single events.
func (r *Registry) ObserveRequest(e endpt.Endpoint, took time.Duration, now time.Time) {
	r.update(e, func(st *state) {
		st.observeUnitTime(took)
		r.observeRequest(st, took, now)
	})
}

// ObserveEvent records the time of one event at e, as ObserveUnitTime does, and uses it for the
// speed of the engine.
func (r *Registry) ObserveEvent(e endpt.Endpoint, took time.Duration, now time.Time) {
	r.update(e, func(st *state) {
		st.observeUnitTime(took)
		st.speed.Observe(took, now.Sub(r.speeds.startedAt))
	})
}

// ObserveOverdue records that a request at e, which was cancelled, had taken this long: one
// that is still silent when another endpoint has answered must not go unmeasured.
func (r *Registry) ObserveOverdue(e endpt.Endpoint, took time.Duration, now time.Time) {
	r.update(e, func(st *state) { r.observeRequest(st, took, now) })
}

// observeRequest feeds the estimator of a plain endpoint. r.mu is held.
func (r *Registry) observeRequest(st *state, took time.Duration, now time.Time) {
	if len(st.Versions) == 0 {
		st.speed.Observe(took, now.Sub(r.speeds.startedAt))
	}
}

// OwnSpeeds returns the sums of this instance's observations of plain endpoints in the last
// 10 s, by incarnation. The map must not be changed.
func (r *Registry) OwnSpeeds() map[string]speed.Sum {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.speeds.shared
}

// SetNeighbourSpeeds replaces what a neighbour has measured.
func (r *Registry) SetNeighbourSpeeds(name string, sums map[string]speed.Sum, now time.Time) {
	if len(sums) > maxSpeeds {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.speeds.neighbours[name] = neighbourSpeeds{at: now, sums: sums}
}

// JudgeSpeeds updates which endpoints count as slow or as in a spell. It returns the changes,
// sorted by endpoint, and the endpoints that are believed slow, at most 32.
//
//	for range time.Tick(250 * time.Millisecond) {
//		changes, slow := r.JudgeSpeeds(time.Now())
//	}
func (r *Registry) JudgeSpeeds(now time.Time) (changes []SpeedChange, slow []View) {
	r.mu.Lock()
	defer r.mu.Unlock()
	at, told := now.Sub(r.speeds.startedAt), r.neighbourSums(now)
	services := make(map[string][]*state)
	for _, st := range r.endpoints {
		if !st.Draining {
			services[st.Service] = append(services[st.Service], st)
		}
	}
	for _, group := range services {
		estimators, sums := make([]*speed.Estimator, len(group)), make([]speed.Sum, len(group))
		for i, st := range group {
			estimators[i] = &st.speed
			if len(told) > 0 && len(st.Versions) == 0 {
				sums[i] = told[st.Incarnation()]
			}
		}
		speed.Judge(estimators, sums, at)
		for i, st := range group {
			st.Pace = st.speed.Pace(at)
			changes = append(changes, st.publishSpeed(sums[i].Samples)...)
			if st.Factor > 1 {
				slow = append(slow, st.View)
			}
		}
	}
	r.shareSpeeds(at)
	slices.SortFunc(changes, func(a, b SpeedChange) int { return cmp.Compare(a.ID, b.ID) })
	slices.SortFunc(slow, func(a, b View) int { return cmp.Compare(a.ID, b.ID) })
	return changes, slow[:min(len(slow), maxSpeeds)]
}

// publishSpeed sets what the view says about the speed, and returns the changes.
func (st *state) publishSpeed(neighbourSamples int) (changes []SpeedChange) {
	wasSlow, wasInSpell := st.Factor > 1, st.InSpell
	st.Factor, st.InSpell = st.speed.Factor(), st.speed.InSpell()
	change := SpeedChange{View: st.View, OwnSamples: st.speed.Samples(), NeighbourSamples: neighbourSamples}
	if wasInSpell != st.InSpell {
		changes = append(changes, change)
	}
	if wasSlow != (st.Factor > 1) {
		change.IsLasting = true
		changes = append(changes, change)
	}
	return changes
}

// neighbourSums returns the sums of all neighbours by incarnation, and drops those that are
// too old. r.mu is held.
func (r *Registry) neighbourSums(now time.Time) map[string]speed.Sum {
	out := make(map[string]speed.Sum)
	for name, n := range r.speeds.neighbours {
		if now.Sub(n.at) > neighbourTime {
			delete(r.speeds.neighbours, name)
			continue
		}
		for incarnation, s := range n.sums {
			out[incarnation] = out[incarnation].Add(s)
		}
	}
	return out
}

// shareSpeeds sets the sums that neighbours are sent, once a second: those with most samples
// if there are too many. r.mu is held.
func (r *Registry) shareSpeeds(at time.Duration) {
	if r.speeds.shared != nil && at-r.speeds.sharedAt < shareInterval {
		return
	}
	type own struct {
		st  *state
		sum speed.Sum
	}
	var all []own
	for _, st := range r.endpoints {
		if len(st.Versions) > 0 {
			continue
		}
		if s := st.speed.Recent(at); s.Samples > 0 {
			all = append(all, own{st: st, sum: s})
		}
	}
	slices.SortFunc(all, func(a, b own) int {
		return cmp.Or(cmp.Compare(b.sum.Samples, a.sum.Samples), cmp.Compare(a.st.ID, b.st.ID))
	})
	r.speeds.shared, r.speeds.sharedAt = make(map[string]speed.Sum), at
	for _, o := range all[:min(len(all), maxSpeeds)] {
		r.speeds.shared[o.st.Incarnation()] = o.sum
	}
}
