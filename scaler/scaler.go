// Package scaler decides how many endpoints a service should have in each data centre.
//
// What is watched is the load: the requests that run or wait, of all callers. It is
// compared with the places of the endpoints that are there, so that nothing has to be
// known about how long a request takes. More endpoints are ordered as soon as the load
// wants them, since each takes its boot time; fewer only once the highest load of a long
// while wants fewer, as a place that is given up for a moment costs a boot time later.
//
// The package has no network and no clock.
package scaler

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// busyShare is the share of places that the load may take before more endpoints are
	// ordered, idleShare the share that it would have to take of fewer ones at most.
	busyShare = 0.7
	idleShare = 0.5
	// holdBoots and holdLeast are how long the load must have been low before endpoints
	// are given up, in boot times and at least.
	holdBoots = 4
	holdLeast = time.Minute
	// defaultSmooth is the time over which the load is smoothed: a few requests' worth.
	defaultSmooth = 2 * time.Second
	// trendSpan is the time over which the load's growth is measured.
	trendSpan = 5 * time.Second
	// gapMost is how long the load may go unseen: after that others may have ordered.
	gapMost = 5 * time.Second
	// sampleEvery bounds how closely the load is remembered.
	sampleEvery = 250 * time.Millisecond
)

type (
	// Scaler decides for one service; not safe for concurrent use. See New.
	Scaler struct {
		forecast bool
		smooth   time.Duration
		// loads are the loads seen lately, smoothed, the oldest first.
		loads []load
		// level is the smoothed load, noted when it was last taken.
		level float64
		noted time.Duration
		// wanted is by data centre in which endpoints of the service have been seen.
		wanted map[string]int
		// slots is of an endpoint, as it was last known.
		slots int
	}

	// Option changes a Scaler as New makes it.
	Option func(*Scaler)

	// Limits bound the endpoints of a service in each data centre.
	Limits struct {
		// Min is at least 0, Max at least Min.
		Min, Max int
		// Boot is the time from an order until an endpoint serves.
		Boot time.Duration
	}

	// State is what is known of a service.
	State struct {
		// Now is of a clock that only grows.
		Now time.Duration
		// Load is how many requests run or wait, of all callers; Partial says that some of
		// them aren't known, so that there may be more.
		Load    float64
		Partial bool
		// Slots is how many requests an endpoint runs at a time; 0 while none is known.
		Slots int
		// Have is how many endpoints there are by data centre.
		Have map[string]int
	}

	load struct {
		at time.Duration
		n  float64
	}
)

// New returns a scaler that has seen nothing.
//
//	s := scaler.New()
//	wanted := s.Wanted(scaler.Limits{Min: 1, Max: 8, Boot: 5 * time.Second}, state)
func New(opts ...Option) *Scaler {
	s := &Scaler{smooth: defaultSmooth, wanted: make(map[string]int)}
	for _, opt := range opts {
		opt(s)
	}
	return s
}

// WithForecast has endpoints ordered for the load that is to be expected when they serve,
// if it grows. The default is the load as it is.
func WithForecast() Option {
	return func(s *Scaler) { s.forecast = true }
}

// WithSmoothing sets the time over which the load is smoothed; 0 takes it as it is. The
// default is 2 seconds.
func WithSmoothing(d time.Duration) Option {
	return func(s *Scaler) { s.smooth = d }
}

// Wanted returns how many endpoints each data centre should have in which the service
// runs. Before endpoints are known it is empty.
func (s *Scaler) Wanted(l Limits, st State) map[string]int {
	if len(s.loads) > 0 && st.Now-s.noted > gapMost {
		s.loads, s.level = nil, 0
		clear(s.wanted)
	}
	if st.Partial {
		st.Load = max(st.Load, s.level)
	}
	s.note(st.Now, st.Load, l.hold())
	isWatched := st.Now-s.loads[0].at >= l.hold()
	for dc, n := range st.Have {
		if _, seen := s.wanted[dc]; !seen || !isWatched {
			// An earlier decider may have ordered those that still come.
			s.wanted[dc] = min(max(n, s.wanted[dc], l.Min), l.Max)
		}
	}
	if st.Slots > 0 {
		s.slots = st.Slots
	}
	total, slots := 0, float64(max(1, s.slots))
	for _, n := range s.wanted {
		total += n
	}
	if most := s.expected(l, st.Now); most > busyShare*slots*float64(total) {
		total = max(total, int(math.Ceil(most/(busyShare*slots))))
	}
	if isWatched {
		total = min(total, max(1, int(math.Ceil(s.highest()/(idleShare*slots)))))
	}
	s.share(l, total)
	return maps.Clone(s.wanted)
}

// hold is how long the load must have been low before endpoints are given up.
func (l Limits) hold() time.Duration { return max(holdLeast, holdBoots*l.Boot) }

// note smooths and remembers a load, and forgets those that are older than keep.
func (s *Scaler) note(now time.Duration, n float64, keep time.Duration) {
	share := 1.0
	if s.smooth > 0 && len(s.loads) > 0 {
		share = 1 - math.Exp(-float64(now-s.noted)/float64(s.smooth))
	}
	s.level += share * (n - s.level)
	s.noted, n = now, s.level
	if last := len(s.loads) - 1; last >= 0 && now-s.loads[last].at < sampleEvery {
		s.loads[last].n = max(s.loads[last].n, n)
		return
	}
	s.loads = append(s.loads, load{at: now, n: n})
	// The last one before the span is kept: it tells that the whole of it was watched.
	for len(s.loads) > 1 && s.loads[1].at <= now-keep {
		s.loads = s.loads[1:]
	}
}

// expected is the load for which there must be places by the time an endpoint that is
// ordered now serves.
func (s *Scaler) expected(l Limits, now time.Duration) float64 {
	if !s.forecast {
		return s.level
	}
	return s.level + max(0, s.growth(now))*l.Boot.Seconds()
}

// growth is how much the load grows in a second: from the mean of the first half of the
// time just past to that of the second, so that a burst of a moment isn't taken for one.
func (s *Scaler) growth(now time.Duration) float64 {
	var sums [2]float64
	var counts [2]int
	for _, o := range slices.Backward(s.loads) {
		age := now - o.at
		if age >= trendSpan {
			break
		}
		half := 0
		if age < trendSpan/2 {
			half = 1
		}
		sums[half] += o.n
		counts[half]++
	}
	if counts[0] == 0 || counts[1] == 0 {
		return 0
	}
	return (sums[1]/float64(counts[1]) - sums[0]/float64(counts[0])) / (trendSpan / 2).Seconds()
}

func (s *Scaler) highest() float64 {
	most := 0.0
	for _, o := range s.loads {
		most = max(most, o.n)
	}
	return most
}

// share comes as near to a total as the limits allow: endpoints are added where there are
// fewest and given up where there are most, so that the loss of a data centre takes as few
// as can be.
func (s *Scaler) share(l Limits, total int) {
	names := slices.Sorted(maps.Keys(s.wanted))
	for _, dc := range names {
		s.wanted[dc] = min(max(s.wanted[dc], l.Min), l.Max)
		total -= s.wanted[dc]
	}
	byCount := func(a, b string) int { return cmp.Compare(s.wanted[a], s.wanted[b]) }
	for ; total > 0 && len(names) > 0; total-- {
		if dc := slices.MinFunc(names, byCount); s.wanted[dc] < l.Max {
			s.wanted[dc]++
		}
	}
	for ; total < 0 && len(names) > 0; total++ {
		if dc := slices.MaxFunc(names, byCount); s.wanted[dc] > l.Min {
			s.wanted[dc]--
		}
	}
}
