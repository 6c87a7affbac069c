// Package guard notices requests under which endpoints end.
package guard

import (
	"context"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"github.com/lavendermux/lavendermux/endpt"
	"github.com/lavendermux/lavendermux/finger"
	"github.com/lavendermux/lavendermux/meter"
)

// probeTimeout bounds the look at an endpoint whose connection broke.
const probeTimeout = 400 * time.Millisecond

type (
	// Guard watches the sends of one instance; safe for concurrent use. See New.
	Guard struct {
		logger *log.Logger
		meter  *meter.Meter
		closed func(ctx context.Context, e endpt.Endpoint) bool

		mu sync.Mutex
		// running counts the sends under way at each boot of an endpoint.
		running map[string]int
	}

	// Option changes a Guard as New makes it.
	Option func(*Guard)
)

// New returns a guard that has seen nothing.
//
//	g := guard.New(logger, meter, guard.WithProbe(client.Closed))
func New(logger *log.Logger, m *meter.Meter, opts ...Option) *Guard {
	g := &Guard{
		logger:  logger,
		meter:   m,
		closed:  func(context.Context, endpt.Endpoint) bool { return false },
		running: make(map[string]int),
	}
	for _, opt := range opts {
		opt(g)
	}
	return g
}

// WithProbe sets how to find out that nothing listens at an endpoint's address any more.
// The default takes every endpoint for one that listens.
func WithProbe(closed func(ctx context.Context, e endpt.Endpoint) bool) Option {
	return func(g *Guard) { g.closed = closed }
}

// Begin counts a send to e.
func (g *Guard) Begin(e endpt.Endpoint) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.running[e.Boot()]++
}

// End counts a send that has ended at e.
func (g *Guard) End(e endpt.Endpoint) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.running[e.Boot()]--; g.running[e.Boot()] <= 0 {
		delete(g.running, e.Boot())
	}
}

// Broke takes that the connection of a send broke before its answer was whole. Whether
// the endpoint has ended shows at its address.
func (g *Guard) Broke(request string, p finger.Print, e endpt.Endpoint, err error) {
	g.mu.Lock()
	beside := g.running[e.Boot()] - 1
	g.mu.Unlock()
	go g.inquire(request, p, e, beside, err)
}

func (g *Guard) inquire(request string, p finger.Print, e endpt.Endpoint, beside int, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	ended := g.closed(ctx, e)
	outcome := "listening"
	if ended {
		outcome = "ended"
	}
	g.meter.Count("broken_sends_total", 1, "service", e.Service, "outcome", outcome)
	g.logger.Info("Endpoint broke off.", "request", request, "print", p, "endpoint", e.ID, "born", e.Born, "beside", beside,
		"outcome", outcome, "error", err)
}
