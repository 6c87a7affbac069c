package pace

import "time"

type (
	// Option changes a Roll as New makes it.
	Option func(*config)

	config struct {
		rate     float64
		holders  int
		patience time.Duration
		quorum   float64
		growth   int
	}
)

// WithRate sets how many fetches a second the weight store allows to all
// holders together; the default is 2.
func WithRate(perSecond float64) Option {
	return func(c *config) { c.rate = perSecond }
}

// WithHolders sets among how many roll-outs the rate is shared; the default
// is 1.
func WithHolders(n int) Option {
	return func(c *config) { c.holders = n }
}

// WithPatience sets how long a roll-out waits for all workers before a quorum is
// enough; the default is 5 minutes.
func WithPatience(d time.Duration) Option {
	return func(c *config) { c.patience = d }
}

// WithQuorum sets which share of the workers must be staged to switch after
// patience; the default is 0.98.
func WithQuorum(share float64) Option {
	return func(c *config) { c.quorum = share }
}

// WithGrowth sets how many switches may be under way for each worker that has
// switched; the default is 8.
func WithGrowth(n int) Option {
	return func(c *config) { c.growth = n }
}
