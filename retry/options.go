package retry

import "time"

// Option configures a Budget.
type Option func(*Budget)

// WithRatio sets the ratio of retries to requests, 0 to 1. The default is 0.1.
func WithRatio(ratio float64) Option {
	return func(b *Budget) { b.ratio = ratio }
}

// WithBurst sets the maximum balance of retries. The default is 10.
func WithBurst(n float64) Option {
	return func(b *Budget) { b.burst = n }
}

// WithBackoff sets the upper bounds of the wait before the first retry and before
// any retry. The defaults are 25 ms and 4 s.
func WithBackoff(baseBackoff, maxBackoff time.Duration) Option {
	return func(b *Budget) { b.baseBackoff, b.maxBackoff = baseBackoff, maxBackoff }
}

// WithMaxAttempts sets the maximum number of attempts per request. The default is 3.
func WithMaxAttempts(n int) Option {
	return func(b *Budget) { b.maxAttempts = n }
}
