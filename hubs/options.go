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
	// defaultInterval is how often a hub beats to the other data centres.
	defaultInterval = 3 * time.Second
	// defaultLinger is how long an entry that need no longer be hub goes on as
	// one. Those who beat to it find the new hub within a few beats; without the
	// overlap they would hear "no hub here" in between and search.
	defaultLinger = 20 * time.Second
	// defaultWatch is how long one watch of the key-value service waits. The
	// service counts a waiting watch as one call.
	defaultWatch = 30 * time.Second
	// defaultBackoff bounds the wait between two attempts at a service that does
	// not answer. A change must be in force everywhere within 18 seconds also
	// just after an outage: five for the hub, 2 x 3.3 for the beats, the rest
	// for fetching.
	defaultBackoff = 5 * time.Second
)

type (
	// Option changes a Hub as New makes it.
	Option func(*Hub)
)

// WithHTTP sets the client for calls to hubs of other data centres. The default
// is http.DefaultClient.
func WithHTTP(c connect.HTTPClient) Option {
	return func(h *Hub) { h.http = c }
}

// WithLeading sets who decides whether this entry is to be hub. The default says
// always.
func WithLeading(leading func() bool) Option {
	return func(h *Hub) { h.leading = leading }
}

// WithCandidates sets where the entries of other data centres are found. The
// default knows none.
func WithCandidates(candidates func() []insts.Instance) Option {
	return func(h *Hub) { h.candidates = candidates }
}

// WithList sets where the hub reads who is about to leave, such as
// roster.Client.List. By default it tells nobody.
func WithList(list func(ctx context.Context) ([]insts.Instance, error)) Option {
	return func(h *Hub) { h.listed = list }
}

// WithView sets the membership that a beginning hub starts from. The default
// starts from an empty one.
func WithView(v *fleet.View) Option {
	return func(h *Hub) { h.view = v }
}

// WithSeed sets the seed of the jitter. The default is 1; each instance should
// have its own.
func WithSeed(seed uint64) Option {
	return func(h *Hub) { h.seed = seed }
}

// WithLogger sets where the hub logs. The default is log.Default.
func WithLogger(l *log.Logger) Option {
	return func(h *Hub) { h.log = l }
}
