// Package giver gives orders to the engine on its own machine, and is the only
// one who does.
//
// Two givers of orders can therefore never meet, whatever the network or the
// metadata store do, and no lease has to be held.
package giver

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"
)

const (
	// reportEvery is how often the engine is asked while nothing happens, and
	// busyEvery while it loads. Asking costs nothing from its own machine.
	reportEvery = 500 * time.Millisecond
	busyEvery   = 60 * time.Millisecond
	// onlyFence is the fencing number of all orders. An engine has one giver for
	// as long as it lives, the process on its machine, so the number never has to
	// grow; and a process that starts again and remembers nothing cannot send a
	// smaller one than before, which an engine must never see.
	onlyFence = 1
	// settle is how long an order without an effect is left alone: an engine
	// shows an accepted order at once, but an order whose answer was lost may
	// have been accepted.
	settle = 400 * time.Millisecond
)

type (
	// Engine is the engine beside this process.
	Engine interface {
		// Report returns what the engine says about itself now.
		Report(ctx context.Context) (Report, error)
		// Load orders a version and reports whether the engine accepted it or
		// has it already. On a *GoneError it never will.
		Load(ctx context.Context, o Order) (accepted bool, err error)
	}

	// Report is an engine's state.
	Report struct {
		Versions map[string]int64
		// Busy says that an order is being carried out.
		Busy bool
		// Orders counts the orders that this boot of the engine accepted.
		Orders int64
	}

	// Order is an order to load weights.
	Order struct {
		Endpoint string
		Model    string
		Version  int64
		// Keep lets running requests go on under the new version.
		Keep bool
		// Holder and Fence name the giver.
		Holder string
		Fence  int64
		// Expected is the count of orders before this one. The engine refuses
		// an order that arrives late and finds another count.
		Expected int64
	}

	// GoneError says that another engine has the address of the one that was meant.
	GoneError struct {
		Endpoint string
	}

	// Want is a version that should be loaded.
	Want struct {
		Model    string `json:"model"`
		Version  int64  `json:"version"`
		Endpoint string `json:"endpoint"`
		Keep     bool   `json:"keep"`
	}

	// State is what others should know about the engine.
	State struct {
		// Serial grows with each change.
		Serial   int64            `json:"serial"`
		Versions map[string]int64 `json:"versions"`
		Loading  map[string]bool  `json:"loading"`
		// Gone is an endpoint that was meant lately and isn't here any longer; "" is none.
		Gone string `json:"gone,omitempty"`
		// Known is false until the engine has reported once.
		Known bool `json:"known"`
	}

	// Giver gives the orders. See New.
	Giver struct {
		engine Engine
		name   string
		logger *log.Logger

		mu      sync.Mutex
		wants   map[string]Want
		state   State
		changed chan struct{}
		wake    chan struct{}
		// ordered and orderedAt tell the last order and when it was sent.
		ordered   Order
		orderedAt time.Time
	}
)

// Error names the engine that was meant.
func (e *GoneError) Error() string { return "engine " + e.Endpoint + " is gone" }

// New returns the giver named name of orders to engine.
//
//	g := giver.New("side-1", engine, logger)
//	go g.Run(ctx)
func New(name string, engine Engine, logger *log.Logger) *Giver {
	return &Giver{
		engine:  engine,
		name:    name,
		logger:  logger,
		wants:   make(map[string]Want),
		changed: make(chan struct{}),
		wake:    make(chan struct{}, 1),
	}
}

// Want asks for a version. An older one than was asked for before is passed over.
func (g *Giver) Want(w Want) {
	g.mu.Lock()
	old, ok := g.wants[w.Model]
	newer := !ok || w.Version > old.Version || (w.Version == old.Version && w.Endpoint != old.Endpoint)
	if newer {
		g.wants[w.Model] = w
	}
	g.mu.Unlock()
	if newer {
		select {
		case g.wake <- struct{}{}:
		default:
		}
	}
}

// Now returns the state as it is.
func (g *Giver) Now() State {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.state
}

// State returns the state once it is another than the one with serial seen, or
// when ctx ends.
func (g *Giver) State(ctx context.Context, seen int64) State {
	for {
		g.mu.Lock()
		state, changed := g.state, g.changed
		g.mu.Unlock()
		if state.Serial != seen {
			return state
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return state
		}
	}
}

// Run carries wants out until ctx ends.
func (g *Giver) Run(ctx context.Context) {
	for ctx.Err() == nil {
		wait := g.step(ctx)
		t := time.NewTimer(wait)
		select {
		case <-ctx.Done():
		case <-t.C:
		case <-g.wake:
		}
		t.Stop()
	}
}

// step looks at the engine, gives at most one order, and returns how long to wait.
func (g *Giver) step(ctx context.Context) time.Duration {
	rep, err := g.engine.Report(ctx)
	if err != nil {
		g.logger.Warn("Engine does not report.", "error", err)
		return reportEvery
	}
	o, due := g.next(rep)
	g.publish(rep, o, due)
	if !due {
		if rep.Busy || g.unsettled(rep) {
			return busyEvery
		}
		return reportEvery
	}
	accepted, err := g.engine.Load(ctx, o)
	var gone *GoneError
	if errors.As(err, &gone) {
		g.forget(gone.Endpoint)
		return busyEvery
	}
	g.mu.Lock()
	g.ordered, g.orderedAt = o, time.Now()
	g.mu.Unlock()
	g.logger.Info("Order given.", "endpoint", o.Endpoint, "model", o.Model, "version", o.Version, "had", rep.Versions[o.Model],
		"expected", o.Expected, "fence", o.Fence, "accepted", accepted, "error", err)
	return busyEvery
}

// forget drops what was wanted of an engine that isn't here any longer, and tells those
// who wait for State. Its order would be refused for ever, take turns with those for the
// engine that is here, and count as a load that is under way: after a loss of power three
// such orders kept all other loads waiting for six seconds.
func (g *Giver) forget(endpoint string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	maps.DeleteFunc(g.wants, func(_ string, w Want) bool { return w.Endpoint == endpoint })
	g.logger.Info("Engine is another.", "wanted", endpoint)
	g.state.Gone = endpoint
	g.state.Loading = nil
	g.state.Serial++
	close(g.changed)
	g.changed = make(chan struct{})
}

// next returns the order that is due: one at a time, and none while an earlier
// one may still be on its way.
func (g *Giver) next(rep Report) (Order, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if rep.Busy {
		return Order{}, false
	}
	if g.ordered.Expected == rep.Orders && !g.orderedAt.IsZero() && time.Since(g.orderedAt) < settle {
		return Order{}, false
	}
	for _, w := range g.wants {
		if have, ok := rep.Versions[w.Model]; !ok || have >= w.Version {
			continue
		}
		return Order{
			Endpoint: w.Endpoint,
			Model:    w.Model,
			Version:  w.Version,
			Keep:     w.Keep,
			Holder:   g.name,
			Fence:    onlyFence,
			Expected: rep.Orders,
		}, true
	}
	return Order{}, false
}

func (g *Giver) unsettled(rep Report) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return !g.orderedAt.IsZero() && g.ordered.Expected == rep.Orders && time.Since(g.orderedAt) < 2*settle
}

// publish tells those who wait for State what is new. A model counts as loading
// from before its order is sent, so that nobody sends it work that would be
// turned away.
func (g *Giver) publish(rep Report, o Order, due bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	loading := make(map[string]bool)
	if due {
		loading[o.Model] = true
	}
	if rep.Busy {
		loading[g.ordered.Model] = true
	}
	if g.state.Known && maps.Equal(g.state.Versions, rep.Versions) && maps.Equal(g.state.Loading, loading) {
		return
	}
	g.logger.Info("Engine changed.", "versions", rep.Versions, "loading", loading, "busy", rep.Busy, "orders", rep.Orders)
	g.state = State{Serial: g.state.Serial + 1, Versions: rep.Versions, Loading: loading, Gone: g.state.Gone, Known: true}
	close(g.changed)
	g.changed = make(chan struct{})
}
