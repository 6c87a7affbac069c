package queue

import (
	"time"

	"github.com/lavendermux/lavendermux/admit"
)

const (
	defaultLimit    = 256
	defaultRate     = 40
	defaultMean     = 256
	defaultStretch  = 3
	defaultMargin   = 1.3
	defaultForecast = 30 * time.Second
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

// WithMean sets how many tokens work of unknown length is expected to make
// before any has been measured. The default is 256.
func WithMean(tokens float64) Option {
	return func(s *settings) { s.mean = tokens }
}

// WithStretch sets how many times its own service time work may wait before
// shorter work that comes now no longer goes before it: 0 is first come, first
// served, a great value is shortest first. The default is 3.
func WithStretch(factor float64) Option {
	return func(s *settings) { s.stretch = factor }
}

// WithMargin sets by which factor the estimated service time is lengthened when
// the queue predicts whether work ends in time. The default is 1.3.
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
// default is 30 s.
func WithForecast(memory time.Duration) Option {
	return func(s *settings) { s.forecast = memory.Seconds() }
}
