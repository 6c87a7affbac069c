// Package scaler computes how many endpoints a service should have in each data centre.
//
// Its input is the load: the running and waiting requests of all callers. It compares the
// load with the slots of the endpoints, so it needs no estimate of request durations. It
// scales up as soon as the load requires it, since each endpoint takes its boot time. It
// scales down only once the peak load of a hold time permits it, as a slot that is given up
// too early costs a boot time later.
//
// The package uses neither the network nor a clock.
package scaler

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// scaleUpUtilization is the utilization of all slots above which the service scales up;
	// scaleDownUtilization is the highest utilization that may result from scaling down.
	scaleUpUtilization   = 0.7
	scaleDownUtilization = 0.5
	// holdBootTimes is how long the load must have been low before the service scales down,
	// in boot times; minHoldTime is the lower bound of that time.
	holdBootTimes = 4
	minHoldTime   = time.Minute
	// defaultSmoothing is the time constant of the EWMA of the load, a few request durations.
	defaultSmoothing = 2 * time.Second
	// trendWindow is the time over which the growth of the load is measured.
	trendWindow = 5 * time.Second
	// maxGap is the longest time between two observations. After a longer one another
	// instance may have changed the number of endpoints, so the history is discarded.
	maxGap = 5 * time.Second
	// sampleInterval is the resolution of the load history.
	sampleInterval = 250 * time.Millisecond
)

type (
	// Recommender computes targets for one service. It is not safe for concurrent use. See New.
	Recommender struct {
		forecast  bool
		smoothing time.Duration
		// samples is the smoothed load of the last hold time, the oldest sample first.
		samples []sample
		// level is the smoothed load, lastSeen the time of the last observation.
		level    float64
		lastSeen time.Duration
		// targets has the target of each data centre in which endpoints were observed.
		targets map[string]int
		// slots is the last known number of slots per endpoint.
		slots int
	}

	// Option is an optional setting of New.
	Option func(*Recommender)

	// Limits bounds the number of endpoints of a service in each data centre.
	Limits struct {
		// Min is at least 0 and Max at least Min.
		Min, Max int
		// Boot is the time from an order until an endpoint serves.
		Boot time.Duration
	}

	// Observation is what was observed of a service at one time.
	Observation struct {
		// Now is the time of a monotonic clock.
		Now time.Duration
		// Load is the number of running and waiting requests of all callers. With Partial
		// some of them are unknown, so that the load may be higher.
		Load    float64
		Partial bool
		// Slots is the number of requests that an endpoint runs concurrently; 0 if unknown.
		Slots int
		// Endpoints is the number of existing endpoints by data centre.
		Endpoints map[string]int
	}

	sample struct {
		at time.Duration
		n  float64
	}
)

// New returns a Recommender without observations.
//
//	s := scaler.New()
//	targets := s.Targets(scaler.Limits{Min: 1, Max: 8, Boot: 5 * time.Second}, state)
func New(opts ...Option) *Recommender {
	s := &Recommender{smoothing: defaultSmoothing, targets: make(map[string]int)}
	for _, opt := range opts {
		opt(s)
	}
	return s
}

// WithForecast extrapolates a growing load to the time at which newly ordered endpoints
// serve. By default the present load is used.
func WithForecast() Option {
	return func(s *Recommender) { s.forecast = true }
}

// WithSmoothing sets the time constant of the EWMA of the load; 0 disables smoothing. The
// default is 2 seconds.
func WithSmoothing(d time.Duration) Option {
	return func(s *Recommender) { s.smoothing = d }
}

// Targets returns the target number of endpoints for each data centre in which the service
// runs. It is empty until endpoints have been observed.
func (s *Recommender) Targets(l Limits, st Observation) map[string]int {
	if len(s.samples) > 0 && st.Now-s.lastSeen > maxGap {
		s.samples, s.level = nil, 0
		clear(s.targets)
	}
	if st.Partial {
		st.Load = max(st.Load, s.level)
	}
	s.observe(st.Now, st.Load, l.holdTime())
	isCovered := st.Now-s.samples[0].at >= l.holdTime()
	for dc, n := range st.Endpoints {
		if _, seen := s.targets[dc]; !seen || !isCovered {
			// Another instance may have ordered endpoints that are still booting.
			s.targets[dc] = min(max(n, s.targets[dc], l.Min), l.Max)
		}
	}
	if st.Slots > 0 {
		s.slots = st.Slots
	}
	total, slots := 0, float64(max(1, s.slots))
	for _, n := range s.targets {
		total += n
	}
	if load := s.expected(l, st.Now); load > scaleUpUtilization*slots*float64(total) {
		total = max(total, int(math.Ceil(load/(scaleUpUtilization*slots))))
	}
	if isCovered {
		total = min(total, max(1, int(math.Ceil(s.peakLoad()/(scaleDownUtilization*slots)))))
	}
	s.distribute(l, total)
	return maps.Clone(s.targets)
}

// holdTime returns how long the load must have been low before the service scales down.
func (l Limits) holdTime() time.Duration { return max(minHoldTime, holdBootTimes*l.Boot) }

// observe smooths a load, adds it to the samples and drops those older than keep.
func (s *Recommender) observe(now time.Duration, n float64, keep time.Duration) {
	weight := 1.0
	if s.smoothing > 0 && len(s.samples) > 0 {
		weight = 1 - math.Exp(-float64(now-s.lastSeen)/float64(s.smoothing))
	}
	s.level += weight * (n - s.level)
	s.lastSeen, n = now, s.level
	if last := len(s.samples) - 1; last >= 0 && now-s.samples[last].at < sampleInterval {
		s.samples[last].n = max(s.samples[last].n, n)
		return
	}
	s.samples = append(s.samples, sample{at: now, n: n})
	// The last sample before the span is kept, as it shows that the samples cover all of it.
	for len(s.samples) > 1 && s.samples[1].at <= now-keep {
		s.samples = s.samples[1:]
	}
}

// expected returns the load for which slots are needed once an endpoint ordered now serves.
func (s *Recommender) expected(l Limits, now time.Duration) float64 {
	if !s.forecast {
		return s.level
	}
	return s.level + max(0, s.growth(now))*l.Boot.Seconds()
}

// growth returns the growth of the load per second. It compares the means of the two halves
// of trendWindow, so that a short burst does not count as growth.
func (s *Recommender) growth(now time.Duration) float64 {
	var sums [2]float64
	var counts [2]int
	for _, p := range slices.Backward(s.samples) {
		age := now - p.at
		if age >= trendWindow {
			break
		}
		half := 0
		if age < trendWindow/2 {
			half = 1
		}
		sums[half] += p.n
		counts[half]++
	}
	if counts[0] == 0 || counts[1] == 0 {
		return 0
	}
	return (sums[1]/float64(counts[1]) - sums[0]/float64(counts[0])) / (trendWindow / 2).Seconds()
}

// peakLoad returns the highest load among the samples.
func (s *Recommender) peakLoad() float64 {
	peak := 0.0
	for _, p := range s.samples {
		peak = max(peak, p.n)
	}
	return peak
}

// distribute brings the targets as close to total as the limits allow. It adds endpoints
// where there are fewest and removes them where there are most, which minimizes the
// endpoints lost with a data centre.
func (s *Recommender) distribute(l Limits, total int) {
	dcs := slices.Sorted(maps.Keys(s.targets))
	for _, dc := range dcs {
		s.targets[dc] = min(max(s.targets[dc], l.Min), l.Max)
		total -= s.targets[dc]
	}
	byCount := func(a, b string) int { return cmp.Compare(s.targets[a], s.targets[b]) }
	for ; total > 0 && len(dcs) > 0; total-- {
		if dc := slices.MinFunc(dcs, byCount); s.targets[dc] < l.Max {
			s.targets[dc]++
		}
	}
	for ; total < 0 && len(dcs) > 0; total++ {
		if dc := slices.MaxFunc(dcs, byCount); s.targets[dc] > l.Min {
			s.targets[dc]--
		}
	}
}
