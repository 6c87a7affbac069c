package shift

import "time"

// Option is an optional setting of a planner.
type Option func(*Planner)

// WithMoveCost sets the time for which a worker serves nobody while it moves. A claim
// receives workers once its shortage has lasted that long. The default is 10 s.
func WithMoveCost(d time.Duration) Option {
	return func(p *Planner) { p.moveCost = d }
}

// WithHeadroom sets the factor by which a claim's target exceeds its need. The default
// is 1.2.
func WithHeadroom(factor float64) Option {
	return func(p *Planner) { p.headroom = factor }
}
