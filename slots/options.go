package slots

// Option changes how the slots are divided.
type Option func(*Slots)

// WithLiveReserve keeps a share of the slots, 0 to 1, for live work. Any share
// above 0 keeps at least one slot. The default is 0: none.
func WithLiveReserve(share float64) Option {
	return func(s *Slots) { s.reserveShare = share }
}

// WithMinimum keeps n slots for a pool, whatever the others ask for. The
// default is no minimum.
func WithMinimum(pool string, n int) Option {
	return func(s *Slots) { s.minimum[pool] = n }
}
