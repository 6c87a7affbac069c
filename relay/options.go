package relay

import (
	"math/rand/v2"

	"github.com/lavendermux/lavendermux/guard"
	"github.com/lavendermux/lavendermux/inbuf"
	"github.com/lavendermux/lavendermux/route"
)

// defaultRetryRatio is the retry budget of an entry without a policy.
const defaultRetryRatio = 0.1

// WithLocality sets the data centre and region of the entry, whose endpoints are preferred.
// By default it has neither.
func WithLocality(dataCentre, region string) Option {
	return func(c *Client) { c.routeOpts = append(c.routeOpts, route.WithLocality(dataCentre, region)) }
}

// WithRetryRatio sets the function that returns the ratio of retries to requests. The
// default is 0.1.
func WithRetryRatio(retryRatio func() float64) Option {
	return func(c *Client) { c.retryRatio = retryRatio }
}

// WithSeed makes the random choices repeatable. By default they are seeded randomly.
func WithSeed(seed uint64) Option {
	return func(c *Client) { c.rng = rand.New(rand.NewPCG(seed, seed)) }
}

// WithTextMemory sets the memory for the outputs of running requests, in bytes, beyond the first 64 KiB
// of each. The default is 64 MiB. Requests beyond it fail.
func WithTextMemory(n int64) Option {
	return func(c *Client) { c.texts = inbuf.New(inbuf.WithTotal(n)) }
}

// WithGuard sets the detector of poison requests. It must be one WithoutProbe, as the
// sidecars probe the endpoints themselves. The default is a detector that shares nothing
// with other instances.
func WithGuard(g *guard.Tracker) Option {
	return func(c *Client) { c.guard = g }
}
