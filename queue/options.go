package queue

// Option changes a queue.
type Option func(*settings)

type settings struct {
	limit int
	rate  float64
	mean  float64
	order order
}

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
