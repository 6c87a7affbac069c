package strag

// Option configures a Planner.
type Option func(*Planner)

// WithMaxMoves sets how often one sample may be migrated to another worker. The
// default is 4; 0 disables migration.
func WithMaxMoves(n int) Option {
	return func(p *Planner) { p.maxMoves = n }
}
