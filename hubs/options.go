package hubs

import (
	"context"
	"time"

	"connectrpc.com/connect"
	"github.com/charmbracelet/log"
	"github.com/lavendermux/lavendermux/fleet"
	"github.com/lavendermux/lavendermux/insts"
)

const (
	// defaultInterval is the time between two heartbeats to the other data centres.
	defaultInterval = 3 * time.Second
	// defaultLinger is how long an entry continues to act as hub when it no longer
	// needs to. Its members find the new hub within a few heartbeats; without the
	// overlap they would be told that this entry isn't a hub and search for one.
	defaultLinger = 20 * time.Second
	// defaultWatchWait is how long one watch of the metadata store waits, which counts a
	// waiting watch as one call. A watch that has lost its response shows when the wait and
	// the timeout of a call are over, within the time that the hub has; see maxBackoff.
	defaultWatchWait = 2 * time.Second
	// maxBackoff bounds the delay between two calls to a store that doesn't answer. A
	// change must be in force everywhere within 18 seconds, also right after an outage:
	// five for the hub, 2 x 3.3 for the heartbeats, the rest for fetching.
	maxBackoff = 5 * time.Second
)

type (
	// Option configures a Hub.
	Option func(*Hub)
)

// WithHTTP sets the HTTP client for calls to hubs of other data centres. The default is
// http.DefaultClient.
func WithHTTP(c connect.HTTPClient) Option {
	return func(h *Hub) { h.http = c }
}

// WithShouldBeHub sets the function that decides whether this entry should act as hub. By
// default it always should.
func WithShouldBeHub(shouldBeHub func() bool) Option {
	return func(h *Hub) { h.shouldBeHub = shouldBeHub }
}

// WithCandidates sets the source of the entries of other data centres. By default there
// are none.
func WithCandidates(candidates func() []insts.Instance) Option {
	return func(h *Hub) { h.candidates = candidates }
}

// WithInstanceList sets the source of the instance list, such as discov.Client.List, from which
// the hub learns which instances are leaving. By default it reports none.
func WithInstanceList(list func(ctx context.Context) ([]insts.Instance, error)) Option {
	return func(h *Hub) { h.listInstances = list }
}

// WithView sets the membership with which a hub starts. By default it starts empty.
func WithView(v *fleet.View) Option {
	return func(h *Hub) { h.view = v }
}

// WithSeed sets the seed of the jitter; each instance should have its own. The default
// is 1.
func WithSeed(seed uint64) Option {
	return func(h *Hub) { h.seed = seed }
}

// WithLogger sets the logger. The default is log.Default.
func WithLogger(l *log.Logger) Option {
	return func(h *Hub) { h.log = l }
}
