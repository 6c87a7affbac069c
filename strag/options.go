package strag

import "time"

// Option changes a Planner as New makes it.
type Option func(*Planner)

// WithSpares sets how many attempts a slot may get beside its first; the
// default is 1, and 0 leaves stragglers where they are.
func WithSpares(n int) Option {
	return func(p *Planner) { p.spares = n }
}

// WithResume sets how long a worker takes to continue what another has made;
// the default is 2 s.
func WithResume(d time.Duration) Option {
	return func(p *Planner) { p.resume = d }
}

// WithGain sets how many times longer an attempt must take where it runs than
// elsewhere before it is moved; the default is 1.5.
func WithGain(factor float64) Option {
	return func(p *Planner) { p.gain = factor }
}

// WithStill sets how long an attempt must have run before its speed is judged;
// the default is 10 s.
func WithStill(d time.Duration) Option {
	return func(p *Planner) { p.still = d }
}
