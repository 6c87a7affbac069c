// Package loader loads weight versions on the engine of its own machine, as the only
// source of orders to that engine. It runs in the engine's sidecar.
//
// So two sources of orders can never conflict, whatever the network or the metadata
// store do, and no lease is needed.
package loader

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"
)

const (
	// idlePollInterval is how often the engine is asked for a report while nothing
	// happens, and busyPollInterval while it loads. Both are short since requests
	// stay on the machine.
	idlePollInterval = 500 * time.Millisecond
	busyPollInterval = 60 * time.Millisecond
	// constantFencingToken is the fencing token of all orders. An engine takes orders from one
	// process as long as it lives, the sidecar on its machine, so the token never has to
	// grow. A sidecar that restarts without state can't send a smaller token than before,
	// which an engine must never see.
	constantFencingToken = 1
	// settleTime is how long an order without an effect isn't repeated: an engine
	// shows an accepted order at once, but an order whose response was lost may have
	// been accepted.
	settleTime = 400 * time.Millisecond
)

type (
	// Engine is the engine next to this process.
	Engine interface {
		// Report returns the engine's current state.
		Report(ctx context.Context) (Report, error)
		// Load orders a version and reports whether the engine accepted the order or
		// has the version already. A *GoneError is permanent.
		Load(ctx context.Context, o Order) (accepted bool, err error)
	}

	// Report is the state of an engine.
	Report struct {
		Versions map[string]int64
		// Busy is set while an order is executed.
		Busy bool
		// Orders counts the orders accepted since the engine started.
		Orders int64
		// Running counts its requests, those of all callers, with those in its queue.
		Running int
	}

	// Order is an order to load weights.
	Order struct {
		Endpoint    string
		Incarnation string
		Model       string
		Version     int64
		// Keep lets running requests continue with the new version. Otherwise the engine
		// finishes them before it loads, and takes no more for the model meanwhile.
		Keep bool
		// Holder is the name of the sender, and Fence its fencing token.
		Holder string
		Fence  int64
		// Expected is the number of orders before this one. The engine rejects an order
		// that arrives late and finds another count.
		Expected int64
	}

	// GoneError is the error of an order to an engine whose address belongs to another
	// engine now.
	GoneError struct {
		Endpoint string
	}

	// Want is a request to load a version.
	Want struct {
		Model    string `json:"model"`
		Version  int64  `json:"version"`
		Endpoint string `json:"endpoint"`
		// Incarnation identifies the start of the endpoint: one that starts again may have the
		// ID that it had.
		Incarnation string `json:"incarnation"`
		Keep        bool   `json:"keep"`
	}

	// State is what remote controllers need to know about the engine.
	State struct {
		// Serial grows with each change.
		Serial   int64            `json:"serial"`
		Versions map[string]int64 `json:"versions"`
		Loading  map[string]bool  `json:"loading"`
		// Gone is an incarnation of an endpoint that was addressed recently and no longer runs
		// here; "" is none.
		Gone string `json:"gone,omitempty"`
		// Known is false until the first report of the engine.
		Known bool `json:"known"`
		// Running counts the requests of all callers at the engine, and Activity grows when it
		// becomes idle or busy. Neither changes Serial.
		Running  int   `json:"running"`
		Activity int64 `json:"activity"`
	}

	// Loader sends load orders to the engine. See New.
	Loader struct {
		engine Engine
		name   string
		logger *log.Logger

		mu      sync.Mutex
		wants   map[string]Want
		state   State
		changed chan struct{}
		wake    chan struct{}
		// lastOrder is the last order sent, at lastOrderAt.
		lastOrder   Order
		lastOrderAt time.Time
	}
)

// Error implements error.
func (e *GoneError) Error() string { return "engine " + e.Endpoint + " is gone" }

// New returns a loader that sends orders to engine under the given name.
//
//	g := loader.New("side-1", engine, logger)
//	go g.Run(ctx)
func New(name string, engine Engine, logger *log.Logger) *Loader {
	return &Loader{
		engine:  engine,
		name:    name,
		logger:  logger,
		wants:   make(map[string]Want),
		changed: make(chan struct{}),
		wake:    make(chan struct{}, 1),
	}
}

// Want requests a version. A version older than the one requested before is ignored.
func (g *Loader) Want(w Want) {
	g.mu.Lock()
	old, ok := g.wants[w.Model]
	newer := !ok || w.Version > old.Version || (w.Version == old.Version && w.Incarnation != old.Incarnation)
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

// Snapshot returns the current state.
func (g *Loader) Snapshot() State {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.state
}

// State waits until the serial of the state differs from seen, or ctx is done, and
// returns the state.
func (g *Loader) State(ctx context.Context, seen int64) State {
	return g.StateOrActivity(ctx, seen, 0)
}

// StateOrActivity is like State, and also returns once the engine has become idle or busy since
// seenActivity, unless that is 0.
func (g *Loader) StateOrActivity(ctx context.Context, seen, seenActivity int64) State {
	for {
		g.mu.Lock()
		state, changed := g.state, g.changed
		g.mu.Unlock()
		if state.Serial != seen || (seenActivity != 0 && state.Activity != seenActivity) {
			return state
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return state
		}
	}
}

// Run executes the requested loads until ctx is done.
func (g *Loader) Run(ctx context.Context) {
	for ctx.Err() == nil {
		wait := g.reconcile(ctx)
		t := time.NewTimer(wait)
		select {
		case <-ctx.Done():
		case <-t.C:
		case <-g.wake:
		}
		t.Stop()
	}
}

// reconcile compares the engine's report with the requested versions, sends at most one
// order, and returns how long to wait before the next call.
func (g *Loader) reconcile(ctx context.Context) time.Duration {
	rep, err := g.engine.Report(ctx)
	if err != nil {
		g.logger.Warn("Engine report failed.", "error", err)
		return idlePollInterval
	}
	o, due := g.nextOrder(rep)
	g.publish(rep, o, due)
	if !due {
		if rep.Busy || g.orderPending(rep) {
			return busyPollInterval
		}
		return idlePollInterval
	}
	accepted, err := g.engine.Load(ctx, o)
	var gone *GoneError
	if errors.As(err, &gone) {
		g.dropEndpoint(o)
		return busyPollInterval
	}
	g.mu.Lock()
	g.lastOrder, g.lastOrderAt = o, time.Now()
	g.mu.Unlock()
	g.logger.Info("Order sent.", "endpoint", o.Endpoint, "model", o.Model, "version", o.Version, "had", rep.Versions[o.Model],
		"expected", o.Expected, "fence", o.Fence, "accepted", accepted, "error", err)
	return busyPollInterval
}

// dropEndpoint drops the requests for an engine that no longer runs here, and publishes
// that it is gone. Its orders would be rejected forever, alternate with those for the
// present engine, and count as a load under way: after a power loss three such orders
// blocked all other loads for six seconds.
func (g *Loader) dropEndpoint(o Order) {
	g.mu.Lock()
	defer g.mu.Unlock()
	maps.DeleteFunc(g.wants, func(_ string, w Want) bool { return w.Incarnation == o.Incarnation })
	g.logger.Info("Requested engine was replaced by another.", "wanted", o.Endpoint, "incarnation", o.Incarnation)
	g.state.Gone = o.Incarnation
	g.state.Loading = nil
	g.state.Serial++
	g.wakeWaiters()
}

// nextOrder returns the order that is due: one at a time, and none while an earlier one
// may still be in flight.
func (g *Loader) nextOrder(rep Report) (Order, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if rep.Busy {
		return Order{}, false
	}
	if g.lastOrder.Expected == rep.Orders && !g.lastOrderAt.IsZero() && time.Since(g.lastOrderAt) < settleTime {
		return Order{}, false
	}
	for _, w := range g.wants {
		if have, ok := rep.Versions[w.Model]; !ok || have >= w.Version {
			continue
		}
		return Order{
			Endpoint:    w.Endpoint,
			Incarnation: w.Incarnation,
			Model:       w.Model,
			Version:     w.Version,
			Keep:        w.Keep,
			Holder:      g.name,
			Fence:       constantFencingToken,
			Expected:    rep.Orders,
		}, true
	}
	return Order{}, false
}

func (g *Loader) orderPending(rep Report) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return !g.lastOrderAt.IsZero() && g.lastOrder.Expected == rep.Orders && time.Since(g.lastOrderAt) < 2*settleTime
}

// publish updates the state if it differs, and wakes the waiters. A model
// counts as loading before its order is sent, so that nobody sends it work that would be
// refused.
func (g *Loader) publish(rep Report, o Order, due bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	loading := make(map[string]bool)
	if due {
		loading[o.Model] = true
	}
	if rep.Busy {
		loading[g.lastOrder.Model] = true
	}
	if !g.state.Known || (g.state.Running > 0) != (rep.Running > 0) {
		g.state.Activity++
		g.wakeWaiters()
	}
	g.state.Running = rep.Running
	if g.state.Known && maps.Equal(g.state.Versions, rep.Versions) && maps.Equal(g.state.Loading, loading) {
		return
	}
	g.logger.Info("Engine state changed.", "versions", rep.Versions, "loading", loading, "busy", rep.Busy, "orders", rep.Orders, "running", rep.Running)
	g.state.Serial++
	g.state.Versions, g.state.Loading, g.state.Known = rep.Versions, loading, true
	g.wakeWaiters()
}

// wakeWaiters wakes the callers that wait for a change of the state. The lock is held.
func (g *Loader) wakeWaiters() {
	close(g.changed)
	g.changed = make(chan struct{})
}
