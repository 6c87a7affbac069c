package beats

import (
	"time"

	"connectrpc.com/connect"
	"github.com/charmbracelet/log"
	"github.com/lavendermux/lavendermux/fleet"
)

const (
	// defaultInterval is how often an instance beats, to its two hubs in turn. At
	// 3 seconds each hub hears it every 6 seconds: a change of configuration is
	// noticed within 3.3 seconds and fetched at once, a lost beat or a dead hub
	// costs another 3.3, which together leaves most of the 18 seconds unused. A
	// shorter one would cost a hub of 150 instances more than its 20 KB/s.
	defaultInterval = 3 * time.Second
	// defaultRelist is how often the instance list is read in calm weather. The
	// members come from the hubs; the list only finds hubs.
	defaultRelist = 5 * time.Minute
)

type (
	// Option changes a Client as New makes it.
	Option func(*Client)
)

// WithHTTP sets the client for calls to hubs. The default is
// http.DefaultClient.
func WithHTTP(h connect.HTTPClient) Option {
	return func(c *Client) { c.http = h }
}

// WithView makes the client keep v up to date. By default no members are
// fetched: a process beside an endpoint needs none.
func WithView(v *fleet.View) Option {
	return func(c *Client) { c.view = v }
}

// WithLeaving sets who is told when the platform's instance list begins or ceases
// to say that this instance is about to go. By default nobody is.
func WithLeaving(leaving func(bool)) Option {
	return func(c *Client) { c.onLeaving = leaving }
}

// WithSiblings sets who is told how many live endpoints the instance's service
// has, whenever a hub says so. By default nobody is.
func WithSiblings(siblings func(int64)) Option {
	return func(c *Client) { c.onSiblings = siblings }
}

// WithLocal sets the hub part of the same process, which is called without the
// network. The default has none.
func WithLocal(local peer) Option {
	return func(c *Client) { c.local = local }
}

// WithSeed sets the seed of the jitter. The default is 1; each instance should
// have its own.
func WithSeed(seed uint64) Option {
	return func(c *Client) { c.seed = seed }
}

// WithLogger sets where the client logs. The default is log.Default.
func WithLogger(l *log.Logger) Option {
	return func(c *Client) { c.log = l }
}
