package queue

import (
	"sync/atomic"
	"time"

	"github.com/lavendermux/lavendermux/admit"
)

const (
	defaultLimit      = 256
	defaultTokenRate  = 40
	defaultMeanTokens = 256
	// With a stretch of 0, short work misses its deadline behind long work; with 1,
	// some of it does at 4 times the capacity. From 2 on hardly more work finishes in
	// time, but the greater the stretch, the later work is refused that shorter work
	// has overtaken.
	defaultStretch = 3
	// Estimated service times are off by a factor of about e^0.4 in simulations. With
	// a margin of 1.3 and more, live work is refused that could finish in time;
	// without a margin, more admitted work is given up late.
	defaultMargin = 1.15
	// 5 s refuses long work during each small burst of short work, and 60 s goes on
	// refusing it after a burst; between 10 and 30 s there is hardly any difference.
	defaultForecastWindow = 20 * time.Second
)

type (
	// Option configures a Queue.
	Option func(*settings)

	settings struct {
		limit      int
		tokenRate  float64
		meanTokens float64
		stretch    float64
		margin     float64
		// forecast is the time constant of the arrival rate in seconds.
		forecast float64
		admit    *admit.Admit
		// probeInterval is the least time between probes; see mayProbe.
		probeInterval time.Duration
		// maxObservation bounds a measured service time, in multiples of the estimate; 0
		// means no bound.
		maxObservation float64
		// waitingBytes is the size of all waiting work that counts towards maxBytes; nil
		// means no bound.
		waitingBytes *atomic.Int64
		maxBytes     int64
		// displaceByDue is set if work within the limits displaces work that is due later.
		displaceByDue bool
	}
)

// WithLimit limits how much work waits. The default is 256. Work with a deadline
// is refused long before the limit when it can't finish in time; the limit is for
// work without a deadline.
func WithLimit(n int) Option {
	return func(s *settings) { s.limit = n }
}

// WithTokenRate sets the initial estimate of the tokens that one slot generates per
// second. The default is 40.
func WithTokenRate(tokensPerSecond float64) Option {
	return func(s *settings) { s.tokenRate = tokensPerSecond }
}

// WithStretch sets how many multiples of its own service time work may wait
// before newly arriving shorter work no longer overtakes it: 0 is first come,
// first served, and a large value approaches shortest job first. The default is
// 3.
func WithStretch(factor float64) Option {
	return func(s *settings) { s.stretch = factor }
}

// WithMargin sets the factor by which the estimated service time of waiting work
// is multiplied when the queue predicts whether it finishes in time. The default
// is 1.15.
func WithMargin(factor float64) Option {
	return func(s *settings) { s.margin = factor }
}

// WithAdmission sets the accounting that enforces fair shares among callers. The
// default is none.
func WithAdmission(a *admit.Admit) Option {
	return func(s *settings) { s.admit = a }
}

// WithForecastWindow sets the time constant of the measured arrival rate of work that
// is served first, from which the queue predicts future arrivals; 0 disables the
// forecast. The default is 20 s.
func WithForecastWindow(timeConstant time.Duration) Option {
	return func(s *settings) { s.forecast = timeConstant.Seconds() }
}

// WithMeanTokens sets the initial estimate of the tokens that work generates. The
// greater it is, the more finished requests it takes to correct the initial token rate:
// it counts as one request of that size. The default is 256.
func WithMeanTokens(n float64) Option {
	return func(s *settings) { s.meanTokens = n }
}

// WithProbeInterval sets the least time between two requests that start although the
// estimate says that they are too long: 0 starts each of them for which a slot is free
// while nothing waits. The default is 30 s.
func WithProbeInterval(d time.Duration) Option {
	return func(s *settings) { s.probeInterval = d }
}

// WithMaxObservation bounds a measured service time to factor times its estimate. Without
// it, the requests that run while the process is paused raise the estimate by the length
// of the pause, and work is refused that could finish in time. The default is no bound.
func WithMaxObservation(factor float64) Option {
	return func(s *settings) { s.maxObservation = factor }
}

// WithMaxBytes bounds the size of the work that waits in all queues that share total.
// Queues that are used concurrently may exceed it by one request each. The default is no
// bound.
func WithMaxBytes(total *atomic.Int64, maxBytes int64) Option {
	return func(s *settings) { s.waitingBytes, s.maxBytes = total, maxBytes }
}

// WithDisplacementByDue lets work that arrives at a limit displace the last waiting work
// not only if it outranks it, but also if it is due before it. Otherwise a caller above
// its share that fills the queue keeps out all others. By default it doesn't.
func WithDisplacementByDue() Option {
	return func(s *settings) { s.displaceByDue = true }
}
