package strag

import "time"

// Option changes a Planner as New makes it.
type Option func(*Planner)

// WithMoves sets how often one sample may be moved; the
// default is 4, and 0 leaves stragglers where they are.
func WithMoves(n int) Option {
	return func(p *Planner) { p.moves = n }
}

// WithResume sets how long a worker takes to continue what another has made;
// the default is 2 s.
func WithResume(d time.Duration) Option {
	return func(p *Planner) { p.resume = d }
}

// WithGain sets how many times longer an attempt must take where it runs than
// elsewhere before it is moved; the default is 2.
func WithGain(factor float64) Option {
	return func(p *Planner) { p.gain = factor }
}

// WithStill sets how long an attempt must have run before its speed is judged;
// the default is 10 s.
func WithStill(d time.Duration) Option {
	return func(p *Planner) { p.still = d }
}
