package pace

import "time"

type (
	// Option configures a rollout.
	Option func(*config)

	config struct {
		rate        float64
		rollouts    int
		quorumAfter time.Duration
		quorum      float64
		growth      int
		switching   bool
	}
)

// WithRate sets how many fetches per second the weight store allows to all concurrent
// rollouts together; the default is 2.
func WithRate(perSecond float64) Option {
	return func(c *config) { c.rate = perSecond }
}

// WithRollouts sets how many concurrent rollouts share the rate; the default is 1.
func WithRollouts(n int) Option {
	return func(c *config) { c.rollouts = n }
}

// WithQuorumAfter sets how long a rollout waits for all workers to stage before a quorum
// suffices; the default is 5 minutes.
func WithQuorumAfter(d time.Duration) Option {
	return func(c *config) { c.quorumAfter = d }
}

// WithQuorum sets the fraction of workers that must be staged to switch once the wait
// for all is over; the default is 0.98.
func WithQuorum(share float64) Option {
	return func(c *config) { c.quorum = share }
}

// WithGrowth sets how many orders may be in flight for each worker on which one has
// succeeded; the default is 8.
func WithGrowth(n int) Option {
	return func(c *config) { c.growth = n }
}

// WithSwitchBegun continues a rollout whose switch a previous holder had begun: staged
// workers switch at once. Without it the new holder would wait for all workers again
// while the pool serves two versions. The default is a new rollout.
func WithSwitchBegun() Option {
	return func(c *config) { c.switching = true }
}
