package queue

import (
	"time"

	"github.com/lavendermux/lavendermux/admit"
)

const (
	defaultLimit = 256
	defaultRate  = 40
	defaultMean  = 256
	// With a stretch of 0 short work is lost behind long work, with 1 some of it
	// at 4 times the capacity. From 2 on hardly more is in time, but the greater
	// it is the later work is told that shorter work has taken its turn.
	defaultStretch = 3
	// Estimates are wrong: in the plays by a factor of about e^0.4. With 1.3 and
	// more live work is refused that could be done; without a margin more of
	// what was let in is given up late.
	defaultMargin = 1.15
	// 5 s refuses long work in each small wave of short work, 60 s does so after
	// a wave; between 10 and 30 s hardly anything changes.
	defaultForecast = 20 * time.Second
)

type (
	// Option changes a queue.
	Option func(*settings)

	settings struct {
		limit    int
		rate     float64
		mean     float64
		stretch  float64
		margin   float64
		forecast float64
		admit    *admit.Admit
	}
)

// WithLimit bounds how many pieces of work wait. The default is 256: work with
// a deadline is bounded by what can be done in time long before that; the limit
// holds for work that has none.
func WithLimit(n int) Option {
	return func(s *settings) { s.limit = n }
}

// WithRate sets the tokens that one slot makes in a second before any has been
// measured. The default is 40.
func WithRate(perSecond float64) Option {
	return func(s *settings) { s.rate = perSecond }
}

// WithStretch sets how many times its own service time work may wait before
// shorter work that comes now no longer goes before it: 0 is first come, first
// served, a great value is shortest first. The default is 3.
func WithStretch(factor float64) Option {
	return func(s *settings) { s.stretch = factor }
}

// WithMargin sets by which factor the estimated service time is lengthened when
// the queue predicts whether work ends in time. The default is 1.15.
func WithMargin(factor float64) Option {
	return func(s *settings) { s.margin = factor }
}

// WithAdmit sets who keeps the callers to their fair shares. By default nobody
// does.
func WithAdmit(a *admit.Admit) Option {
	return func(s *settings) { s.admit = a }
}

// WithForecast sets over which time the arrival of work that goes first is
// measured, to predict how much of it is still to come; 0 predicts none. The
// default is 20 s.
func WithForecast(memory time.Duration) Option {
	return func(s *settings) { s.forecast = memory.Seconds() }
}
