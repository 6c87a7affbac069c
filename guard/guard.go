// Package guard detects poison requests, those that crash endpoints, among the sends of one
// instance, and quarantines them.
package guard

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"

	"github.com/lavendermux/lavendermux/endpt"
	"github.com/lavendermux/lavendermux/meter"
	"github.com/lavendermux/lavendermux/poison"
	"github.com/lavendermux/lavendermux/reqfp"
	"github.com/lavendermux/lavendermux/sleep"
	"github.com/lavendermux/lavendermux/strike"
	"github.com/lavendermux/lavendermux/views"
)

const (
	// MinStreamDuration is how long an endpoint must have been streaming for that to count as an
	// answer: a poison request crashes endpoints in its first moments. Without it a crash
	// would count against every long stream that it interrupts.
	MinStreamDuration = time.Second

	// probeDelay is the wait between a broken connection and the first probe of the
	// endpoint, secondProbeDelay the wait before the second; probeTimeout bounds each
	// probe.
	probeDelay       = 5 * time.Millisecond
	secondProbeDelay = 500 * time.Millisecond
	probeTimeout     = 400 * time.Millisecond
	// maxProbeWait bounds the wait for the first probe: several round trips between data
	// centres.
	maxProbeWait = 40 * time.Millisecond
	// syncTimeout bounds the wait for the strikes of unreachable instances.
	syncTimeout = 250 * time.Millisecond
	// sweepInterval is how often disconnected endpoints are looked up in the registry, and
	// expired strikes and disconnects are dropped.
	sweepInterval = 250 * time.Millisecond
)

type (
	// Tracker tracks the sends of one instance; safe for concurrent use. See New.
	Tracker struct {
		logger      *log.Logger
		meter       *meter.Meter
		isClosed    func(ctx context.Context, e endpt.Endpoint) bool
		lookup      func(e endpt.Endpoint) (ok, leaving bool)
		syncStrikes func(ctx context.Context, fp reqfp.Fingerprint)
		opts        []poison.Option

		mu    sync.Mutex
		table *poison.Table
		// disconnected has the endpoints that may have crashed, by incarnation.
		disconnected map[string]endpt.Endpoint
		// unsent has the requests whose changes have yet to be sent to peers, localChanges
		// those that this instance itself changed and that have yet to be stored.
		unsent, localChanges map[reqfp.Fingerprint]bool
		// changed and localChanged signal that there are some.
		changed, localChanged chan struct{}
	}

	// Option configures a [Tracker]; see New.
	Option func(*Tracker)
)

// New returns a tracker without strikes.
//
//	g := guard.New(logger, meter, guard.WithProbe(client.Closed))
//	go g.Run(ctx)
func New(logger *log.Logger, m *meter.Meter, opts ...Option) *Tracker {
	g := &Tracker{
		logger:       logger,
		meter:        m,
		isClosed:     func(context.Context, endpt.Endpoint) bool { return false },
		lookup:       func(endpt.Endpoint) (ok, leaving bool) { return true, false },
		syncStrikes:  func(context.Context, reqfp.Fingerprint) {},
		disconnected: make(map[string]endpt.Endpoint),
		unsent:       make(map[reqfp.Fingerprint]bool),
		localChanges: make(map[reqfp.Fingerprint]bool),
		changed:      make(chan struct{}, 1),
		localChanged: make(chan struct{}, 1),
	}
	for _, opt := range opts {
		opt(g)
	}
	g.table = poison.New(g.opts...)
	return g
}

// WithProbe sets how to find out that nothing listens at an endpoint's address any more. By
// default every endpoint counts as listening.
func WithProbe(isClosed func(ctx context.Context, e endpt.Endpoint) bool) Option {
	return func(g *Tracker) { g.isClosed = isClosed }
}

// WithoutProbe treats every disconnected endpoint as crashed, for callers that report a
// disconnect only after probing.
func WithoutProbe() Option {
	return WithProbe(func(context.Context, endpt.Endpoint) bool { return true })
}

// WithLookup sets how to find out whether an incarnation is still registered, and whether
// it has announced its shutdown. By default all are registered and none shuts down.
func WithLookup(f func(e endpt.Endpoint) (ok, leaving bool)) Option {
	return func(g *Tracker) { g.lookup = f }
}

// WithSync sets how to fetch the strikes of a request from instances that gossip doesn't
// reach. f returns when that is done; no lock is held during the call. By default it does
// nothing.
func WithSync(f func(ctx context.Context, fp reqfp.Fingerprint)) Option {
	return func(g *Tracker) { g.syncStrikes = f }
}

// WithTableOptions sets options of the strike table, see package poison. Their functions must not
// call the tracker.
func WithTableOptions(opts ...poison.Option) Option {
	return func(g *Tracker) { g.opts = append(g.opts, opts...) }
}

// Run determines which endpoints crashed until ctx ends.
func (g *Tracker) Run(ctx context.Context) {
	for sleep.For(ctx, sweepInterval) {
		for _, e := range g.unresolved(time.Now()) {
			switch ok, leaving := g.lookup(e); {
			case leaving:
				g.reportLeaving(e)
			case !ok:
				g.ReportEndpointExit(e)
			}
		}
	}
}

// unresolved drops expired strikes and disconnects, and returns the recently disconnected
// endpoints that aren't known to have exited.
func (g *Tracker) unresolved(now time.Time) []endpt.Endpoint {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.table.Sweep(now)
	disconnected := g.table.Disconnected()
	var out []endpt.Endpoint
	for incarnation, e := range g.disconnected {
		if !slices.Contains(disconnected, incarnation) {
			delete(g.disconnected, incarnation)
			continue
		}
		out = append(out, e)
	}
	return out
}

// reportLeaving records that a disconnected endpoint is shutting down as planned.
func (g *Tracker) reportLeaving(e endpt.Endpoint) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.disconnected, e.Incarnation())
	g.table.ReportLeaving(e.Incarnation())
}

// Check returns a [*poison.QuarantineError] if a request must not be sent now.
func (g *Tracker) Check(fp reqfp.Fingerprint) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.table.Check(fp, time.Now())
}

// IsSuspect reports whether a request has strikes that aren't cleared.
func (g *Tracker) IsSuspect(fp reqfp.Fingerprint) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.table.IsSuspect(fp)
}

// Begin counts a send to e, or returns a [*poison.QuarantineError] if the request must not be
// sent now.
func (g *Tracker) Begin(fp reqfp.Fingerprint, e endpt.Endpoint) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.table.Begin(fp, e.Incarnation(), time.Now())
}

// BeginDeferred counts a send of deferred work to e; see package poison.
func (g *Tracker) BeginDeferred(fp reqfp.Fingerprint, e endpt.Endpoint) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.table.BeginDeferred(fp, e.Incarnation())
}

// EndDeferred counts the end of a send of deferred work to e.
func (g *Tracker) EndDeferred(fp reqfp.Fingerprint, e endpt.Endpoint) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.table.EndDeferred(fp, e.Incarnation())
}

// End counts the end of a send to e.
func (g *Tracker) End(fp reqfp.Fingerprint, e endpt.Endpoint) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.table.End(fp, e.Incarnation())
}

// ReportAnswer records that an endpoint answered a request and is alive. A failure reported by
// the endpoint is not an answer in this sense: it may have failed before running any of the
// request.
func (g *Tracker) ReportAnswer(fp reqfp.Fingerprint) {
	g.mu.Lock()
	cleared := g.table.ReportAnswer(fp, time.Now())
	if cleared > 0 {
		g.markChanged(fp)
	}
	g.mu.Unlock()
	if cleared > 0 {
		g.logger.Info("Strikes cleared by an answer.", "print", fp, "strikes", cleared)
	}
}

// ReportDisconnect records that the connection of a send broke before the answer was complete. Probes
// of the address, or the registry of endpoints, then tell whether the endpoint has crashed.
// The returned channel is closed after the first probe; until then the request shouldn't be
// resent.
func (g *Tracker) ReportDisconnect(request string, fp reqfp.Fingerprint, e endpt.Endpoint, err error) (probed <-chan struct{}) {
	return g.reportDisconnect(request, fp, e, err, func() {
		if g.table.ReportDisconnect(fp, e.Incarnation(), time.Now()) {
			g.publishStrike(fp)
		}
	})
}

// ReportDeferredDisconnect does the same for deferred work, which may be resent at once.
func (g *Tracker) ReportDeferredDisconnect(id string, fp reqfp.Fingerprint, e endpt.Endpoint, err error) {
	g.reportDisconnect(id, fp, e, err, func() { g.table.ReportDeferredDisconnect(fp, e.Incarnation(), time.Now()) })
}

// reportDisconnect calls record, with the lock held, and probes the endpoint.
func (g *Tracker) reportDisconnect(request string, fp reqfp.Fingerprint, e endpt.Endpoint, err error, record func()) (probed <-chan struct{}) {
	g.mu.Lock()
	concurrent := max(0, g.table.Running(e.Incarnation())-1)
	g.mu.Unlock()
	firstProbe := make(chan struct{})
	if ok, leaving := g.lookup(e); !ok || leaving {
		g.logDisconnect(request, fp, e, concurrent, "leaving", err)
		close(firstProbe)
		return firstProbe
	}
	g.mu.Lock()
	record()
	_, isKnown := g.disconnected[e.Incarnation()]
	g.disconnected[e.Incarnation()] = e
	g.mu.Unlock()
	go func() {
		outcome := "listening"
		if g.probe(e) {
			outcome = "ended"
			g.ReportEndpointExit(e)
		}
		close(firstProbe)
		if outcome == "listening" && !isKnown && g.probeAgain(e) {
			outcome = "ended"
			g.ReportEndpointExit(e)
		}
		g.logDisconnect(request, fp, e, concurrent, outcome, err)
	}()
	return firstProbe
}

// ReportDisconnectAndWait records a broken connection and waits for the first probe of the endpoint. If
// resent before that, the request would crash the next endpoint before this crash counts.
func (g *Tracker) ReportDisconnectAndWait(ctx context.Context, request string, fp reqfp.Fingerprint, e endpt.Endpoint, err error) {
	probed := g.ReportDisconnect(request, fp, e, err)
	timer := time.NewTimer(maxProbeWait)
	defer timer.Stop()
	select {
	case <-probed:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// Sync fetches the strikes of instances that gossip doesn't reach, for a suspect that is
// about to be resent.
func (g *Tracker) Sync(ctx context.Context, fp reqfp.Fingerprint) {
	if !g.IsSuspect(fp) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, syncTimeout)
	defer cancel()
	g.syncStrikes(ctx, fp)
}

// probe reports whether nothing listens at an endpoint's address. It first waits, so that
// all connections that broke at the same time are on record.
func (g *Tracker) probe(e endpt.Endpoint) bool {
	time.Sleep(probeDelay)
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	return g.isClosed(ctx, e)
}

// probeAgain probes a second time: a process that exits slowly may listen for a while.
func (g *Tracker) probeAgain(e endpt.Endpoint) bool {
	time.Sleep(secondProbeDelay)
	return g.probe(e)
}

func (g *Tracker) logDisconnect(request string, fp reqfp.Fingerprint, e endpt.Endpoint, concurrent int, outcome string, err error) {
	g.mu.Lock()
	strikes := g.table.Strikes(fp)
	g.mu.Unlock()
	g.meter.Count("broken_sends_total", 1, "service", e.Service, "outcome", outcome)
	g.logger.Info("Endpoint broke off.", "request", request, "print", fp, "endpoint", e.ID, "born", e.StartedMs, "beside", concurrent,
		"outcome", outcome, "strikes", strikes, "error", err)
}

// ReportEndpointExit records that an incarnation of an endpoint has exited. Requests whose connections
// broke with it recently get a strike.
func (g *Tracker) ReportEndpointExit(e endpt.Endpoint) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.disconnected, e.Incarnation())
	for _, fp := range g.table.ReportExit(e.Incarnation(), time.Now()) {
		g.meter.Count("endpoints_ended_total", 1, "service", e.Service)
		g.logger.Warn("Endpoint ended while running a request.", "print", fp, "endpoint", e.ID, "born", e.StartedMs, "strikes", g.table.Strikes(fp))
		g.publishStrike(fp)
	}
}

// publishStrike marks a new strike for peers and the store, and logs if it quarantines the
// request. The lock is held.
func (g *Tracker) publishStrike(fp reqfp.Fingerprint) {
	g.markChanged(fp)
	g.logQuarantine(fp, "here")
}

// logQuarantine logs that a request is quarantined from now on. source is who reported the
// last strike. The lock is held.
func (g *Tracker) logQuarantine(fp reqfp.Fingerprint, source string) {
	var refusal *poison.QuarantineError
	if errors.As(g.table.Check(fp, time.Now()), &refusal) && refusal.Strikes >= poison.StrikeLimit {
		g.meter.Count("requests_held_total", 1, "learnt", source)
		g.logger.Warn("Request held in quarantine.", "print", fp, "strikes", refusal.Strikes, "until", refusal.RetryAfter.Round(time.Second), "learnt", source)
	}
}

// markChanged marks a request to be sent to peers and stored. The lock is held.
func (g *Tracker) markChanged(fp reqfp.Fingerprint) {
	g.unsent[fp], g.localChanges[fp] = true, true
	notify(g.changed)
	notify(g.localChanged)
}

func notify(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// MergeRecords merges the records of another instance, and marks what was new here for peers.
func (g *Tracker) MergeRecords(records []strike.Record, from string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, r := range g.table.Merge(records, time.Now()) {
		g.logger.Info("Strikes received.", "print", r.Fingerprint, "from", from, "strikes", g.table.Strikes(r.Fingerprint))
		g.logQuarantine(r.Fingerprint, from)
		g.unsent[r.Fingerprint] = true
		notify(g.changed)
	}
}

// Changed signals that there are changed requests.
func (g *Tracker) Changed() <-chan struct{} { return g.changed }

// DrainChanged returns the records of the requests that changed since the last call.
func (g *Tracker) DrainChanged() []strike.Record { return g.drain(g.unsent) }

// LocalChanged signals that there are requests changed by this instance.
func (g *Tracker) LocalChanged() <-chan struct{} { return g.localChanged }

// DrainLocal returns the records of the requests that this instance itself changed since the last
// call.
func (g *Tracker) DrainLocal() []strike.Record { return g.drain(g.localChanges) }

func (g *Tracker) drain(changed map[reqfp.Fingerprint]bool) []strike.Record {
	g.mu.Lock()
	defer g.mu.Unlock()
	var out []strike.Record
	for fp := range changed {
		if r, ok := g.table.Record(fp, time.Now()); ok {
			out = append(out, r)
		}
	}
	clear(changed)
	return out
}

// Record returns the strikes of a request; ok is false if there are none.
func (g *Tracker) Record(fp reqfp.Fingerprint) (r strike.Record, ok bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.table.Record(fp, time.Now())
}

// Records returns all strikes.
func (g *Tracker) Records() []strike.Record {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.table.Records(time.Now())
}

// List returns the requests under which endpoints crashed, those with the most strikes
// first.
func (g *Tracker) List() []views.PoisonRequest {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	var out []views.PoisonRequest
	for _, r := range g.table.Records(now) {
		h := views.PoisonRequest{Fingerprint: r.Fingerprint.String(), Strikes: g.table.Strikes(r.Fingerprint), CrashAgesMs: r.Ended}
		var refusal *poison.QuarantineError
		if errors.As(g.table.Check(r.Fingerprint, now), &refusal) {
			h.RetryMs = refusal.RetryAfter.Milliseconds()
		}
		out = append(out, h)
	}
	slices.SortStableFunc(out, func(a, b views.PoisonRequest) int { return cmp.Compare(b.Strikes, a.Strikes) })
	return out
}

// Digest returns a hash of all strikes. It is equal at instances that have the same ones,
// and 0 if there are none.
func (g *Tracker) Digest() uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.table.Digest()
}

// Clear clears a request at all instances, and returns how many strikes counted against it.
func (g *Tracker) Clear(fp reqfp.Fingerprint) int {
	g.mu.Lock()
	n := g.table.Clear(fp)
	if n > 0 {
		g.markChanged(fp)
	}
	g.mu.Unlock()
	g.logger.Warn("Strikes cleared by an operator.", "print", fp, "strikes", n)
	return n
}
