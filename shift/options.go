package shift

import "time"

// Option changes a Planner as New makes it.
type Option func(*Planner)

// WithCost sets how long a worker is lost to both sides when it moves; a
// claim gets workers when it has been short for so long. The default is 10 s.
func WithCost(d time.Duration) Option {
	return func(p *Planner) { p.cost = d }
}

// WithRoom sets how many times its need a claim is given; the default is 1.2.
func WithRoom(factor float64) Option {
	return func(p *Planner) { p.room = factor }
}
