package strag

// Option changes a Planner as New makes it.
type Option func(*Planner)

// WithMoves sets how often one sample may be moved; the
// default is 4, and 0 leaves stragglers where they are.
func WithMoves(n int) Option {
	return func(p *Planner) { p.moves = n }
}
