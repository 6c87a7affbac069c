package slots

// Option configures how slots are allocated.
type Option func(*Allocator)

// WithLiveReserve reserves a share of the slots, 0 to 1, for live work. Any share
// above 0 reserves at least one slot. The default is 0.
func WithLiveReserve(share float64) Option {
	return func(s *Allocator) { s.reserveShare = share }
}

// WithPoolMinimum reserves n slots for a pool regardless of the demand of others. By
// default no slots are reserved for a pool.
func WithPoolMinimum(pool string, n int) Option {
	return func(s *Allocator) { s.poolMinimum[pool] = n }
}
