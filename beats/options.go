package beats

import (
	"time"

	"connectrpc.com/connect"
	"github.com/charmbracelet/log"
	"github.com/lavendermux/lavendermux/fleet"
)

const (
	// defaultInterval is the time between two heartbeats, which go to the two hubs in
	// turn. At 3 seconds each hub receives one every 6 seconds: a change of
	// configuration is noticed within 3.3 seconds and fetched at once, and a lost
	// heartbeat or a dead hub adds another 3.3, which leaves most of the limit of 18
	// seconds unused. A shorter interval would cost a hub of 150 instances more than
	// its 20 KB/s.
	defaultInterval = 3 * time.Second
	// defaultRelist is how often the instance list is read while hubs answer.
	// Membership comes from the hubs; the list only serves to find them.
	defaultRelist = 5 * time.Minute
)

type (
	// Option configures a Client.
	Option func(*Client)
)

// WithHTTP sets the HTTP client for calls to hubs. The default is http.DefaultClient.
func WithHTTP(h connect.HTTPClient) Option {
	return func(c *Client) { c.http = h }
}

// WithView makes the client keep v up to date. By default no membership is fetched, as
// a sidecar needs none.
func WithView(v *fleet.View) Option {
	return func(c *Client) { c.view = v }
}

// WithOnLeaving sets a callback for when the platform's instance list starts or stops
// reporting that this instance is leaving. By default there is none.
func WithOnLeaving(leaving func(bool)) Option {
	return func(c *Client) { c.onLeaving = leaving }
}

// WithOnSiblings sets a callback for the number of live endpoints of the instance's
// service, called whenever a hub reports it. By default there is none.
func WithOnSiblings(siblings func(int64)) Option {
	return func(c *Client) { c.onSiblings = siblings }
}

// WithLocal sets the hub in the same process, which is called directly instead of over
// the network. By default there is none.
func WithLocal(local peer) Option {
	return func(c *Client) { c.local = local }
}

// WithSeed sets the seed of the jitter; each instance should have its own. The default
// is 1.
func WithSeed(seed uint64) Option {
	return func(c *Client) { c.seed = seed }
}

// WithLogger sets the logger. The default is log.Default.
func WithLogger(l *log.Logger) Option {
	return func(c *Client) { c.log = l }
}
