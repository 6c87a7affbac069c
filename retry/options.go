package retry

import "time"

// Option changes a budget.
type Option func(*Budget)

// WithShare sets how many retries there may be for each request, 0 to 1. The
// default is 0.1.
func WithShare(share float64) Option {
	return func(b *Budget) { b.share = share }
}

// WithBurst sets how many retries may be saved up. The default is 10.
func WithBurst(n float64) Option {
	return func(b *Budget) { b.burst = n }
}

// WithBackoff sets the wait before the first retry and the greatest wait. The
// defaults are 25 ms and 4 s.
func WithBackoff(first, most time.Duration) Option {
	return func(b *Budget) { b.first, b.most = first, most }
}

// WithAttempts sets how often one request is sent at most. The default is 3.
func WithAttempts(n int) Option {
	return func(b *Budget) { b.attempts = n }
}
