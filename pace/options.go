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
		turning  bool
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

// WithTurning continues a roll-out whose switch an earlier holder had begun: what
// is staged switches at once. Without it the successor would wait for all workers
// again, with the pool on two versions meanwhile. The default is a new roll-out.
func WithTurning() Option {
	return func(c *config) { c.turning = true }
}
