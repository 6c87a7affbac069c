// Package guard watches the sends of one instance for requests under which endpoints end,
// and holds these back.
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
	"github.com/lavendermux/lavendermux/finger"
	"github.com/lavendermux/lavendermux/meter"
	"github.com/lavendermux/lavendermux/poison"
	"github.com/lavendermux/lavendermux/sleep"
	"github.com/lavendermux/lavendermux/strike"
	"github.com/lavendermux/lavendermux/views"
)

const (
	// Proven is how long an endpoint must have been making a stream for that to count as an
	// answer: a request that ends endpoints does so in its first moments. Without it a crash
	// would count against each long stream that it cuts.
	Proven = time.Second

	// lookAfter is the wait before the first look at an endpoint whose connection broke,
	// lookAgain before the second, and lookTimeout bounds each.
	lookAfter   = 5 * time.Millisecond
	lookAgain   = 500 * time.Millisecond
	lookTimeout = 400 * time.Millisecond
	// lookMost bounds the wait for the first look: several round trips between data centres.
	lookMost = 40 * time.Millisecond
	// shareMost bounds the wait for the strikes of instances that are out of reach.
	shareMost = 250 * time.Millisecond
	// sweepEvery is how often endpoints that broke off are looked up among the known ones,
	// and what is over is forgotten.
	sweepEvery = 250 * time.Millisecond
)

type (
	// Guard watches the sends of one instance; safe for concurrent use. See New.
	Guard struct {
		logger *log.Logger
		meter  *meter.Meter
		closed func(ctx context.Context, e endpt.Endpoint) bool
		listed func(e endpt.Endpoint) (ok, leaving bool)
		share  func(ctx context.Context, p finger.Print)
		opts   []poison.Option

		mu    sync.Mutex
		table *poison.Table
		// broken has the endpoints whose end isn't settled, by boot.
		broken map[string]endpt.Endpoint
		// fresh are requests about which peers haven't been told what is new, own those that
		// this instance itself changed last.
		fresh, own map[finger.Print]bool
		// changed and ownChanged say that there are some.
		changed, ownChanged chan struct{}
	}

	// Option changes a Guard as New makes it.
	Option func(*Guard)
)

// New returns a guard that has seen nothing.
//
//	g := guard.New(logger, meter, guard.WithProbe(client.Closed))
//	go g.Run(ctx)
func New(logger *log.Logger, m *meter.Meter, opts ...Option) *Guard {
	g := &Guard{
		logger:     logger,
		meter:      m,
		closed:     func(context.Context, endpt.Endpoint) bool { return false },
		listed:     func(endpt.Endpoint) (ok, leaving bool) { return true, false },
		share:      func(context.Context, finger.Print) {},
		broken:     make(map[string]endpt.Endpoint),
		fresh:      make(map[finger.Print]bool),
		own:        make(map[finger.Print]bool),
		changed:    make(chan struct{}, 1),
		ownChanged: make(chan struct{}, 1),
	}
	for _, opt := range opts {
		opt(g)
	}
	g.table = poison.New(g.opts...)
	return g
}

// WithProbe sets how to find out that nothing listens at an endpoint's address any more.
// The default takes every endpoint for one that listens.
func WithProbe(closed func(ctx context.Context, e endpt.Endpoint) bool) Option {
	return func(g *Guard) { g.closed = closed }
}

// WithoutProbe takes every endpoint that broke off for ended, where whoever tells of it has
// looked already.
func WithoutProbe() Option {
	return WithProbe(func(context.Context, endpt.Endpoint) bool { return true })
}

// WithListed sets how to find out whether a boot is still listed, and whether it has said
// that it leaves. By default all are listed and none leaves.
func WithListed(f func(e endpt.Endpoint) (ok, leaving bool)) Option {
	return func(g *Guard) { g.listed = f }
}

// WithShare sets what Share does, which waits for it. It is called without a lock. The
// default does nothing.
func WithShare(f func(ctx context.Context, p finger.Print)) Option {
	return func(g *Guard) { g.share = f }
}

// WithTable changes what is held back and for how long. The default is that of package
// poison. What an option calls must not call the guard.
func WithTable(opts ...poison.Option) Option {
	return func(g *Guard) { g.opts = append(g.opts, opts...) }
}

// Run settles which endpoints ended until ctx ends.
func (g *Guard) Run(ctx context.Context) {
	for sleep.For(ctx, sweepEvery) {
		for _, e := range g.unsettled(time.Now()) {
			switch ok, leaving := g.listed(e); {
			case leaving:
				g.leaves(e)
			case !ok:
				g.Gone(e)
			}
		}
	}
}

// unsettled forgets what is over, and returns the endpoints that broke off a moment ago and
// aren't known to have ended.
func (g *Guard) unsettled(now time.Time) []endpt.Endpoint {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.table.Sweep(now)
	broken := g.table.Broken()
	var out []endpt.Endpoint
	for boot, e := range g.broken {
		if !slices.Contains(broken, boot) {
			delete(g.broken, boot)
			continue
		}
		out = append(out, e)
	}
	return out
}

// leaves takes that an endpoint that broke off leaves as planned.
func (g *Guard) leaves(e endpt.Endpoint) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.broken, e.Boot())
	g.table.Leaves(e.Boot())
}

// Held returns a *poison.HeldError if a request must not be sent now.
func (g *Guard) Held(p finger.Print) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.table.Held(p, time.Now())
}

// IsSuspect reports whether an endpoint has ended under a request that nothing cleared.
func (g *Guard) IsSuspect(p finger.Print) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.table.IsSuspect(p)
}

// Begin counts a send to e, unless the request is held back: then it returns a
// *poison.HeldError.
func (g *Guard) Begin(p finger.Print, e endpt.Endpoint) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.table.Begin(p, e.Boot(), time.Now())
}

// End counts a send that has ended at e.
func (g *Guard) End(p finger.Print, e endpt.Endpoint) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.table.End(p, e.Boot())
}

// Answered takes that an endpoint has run a request and lives. A failure of the endpoint is
// no such answer: it may have failed before it ran any of it.
func (g *Guard) Answered(p finger.Print) {
	g.mu.Lock()
	cleared := g.table.Answered(p, time.Now())
	if cleared > 0 {
		g.noteChange(p)
	}
	g.mu.Unlock()
	if cleared > 0 {
		g.logger.Info("Request cleared by an answer.", "print", p, "strikes", cleared)
	}
}

// Broke takes that the connection of a send broke before its answer was whole. Whether
// the endpoint has ended shows at its address, or in the list of endpoints. looked is
// closed after the first look at its address: until then the request shouldn't be sent again.
func (g *Guard) Broke(request string, p finger.Print, e endpt.Endpoint, err error) (looked <-chan struct{}) {
	g.mu.Lock()
	beside := max(0, g.table.Running(e.Boot())-1)
	g.mu.Unlock()
	first := make(chan struct{})
	if ok, leaving := g.listed(e); !ok || leaving {
		g.noteBroken(request, p, e, beside, "leaving", err)
		close(first)
		return first
	}
	g.mu.Lock()
	if g.table.Broke(p, e.Boot(), time.Now()) {
		g.noteStruck(p)
	}
	_, isLookedAt := g.broken[e.Boot()]
	g.broken[e.Boot()] = e
	g.mu.Unlock()
	go func() {
		outcome := "listening"
		if g.look(e) {
			outcome = "ended"
			g.Gone(e)
		}
		close(first)
		if outcome == "listening" && !isLookedAt && g.lookLater(e) {
			outcome = "ended"
			g.Gone(e)
		}
		g.noteBroken(request, p, e, beside, outcome, err)
	}()
	return first
}

// BrokeAndWait is Broke, and waits until the endpoint was looked at. Sent again before that,
// the request would take the next endpoint before the crash of this one counts.
func (g *Guard) BrokeAndWait(ctx context.Context, request string, p finger.Print, e endpt.Endpoint, err error) {
	looked := g.Broke(request, p, e, err)
	timer := time.NewTimer(lookMost)
	defer timer.Stop()
	select {
	case <-looked:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// Share brings in the strikes of instances that gossip doesn't reach, for a request that was
// struck and may be sent again at once.
func (g *Guard) Share(ctx context.Context, p finger.Print) {
	if !g.IsSuspect(p) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, shareMost)
	defer cancel()
	g.share(ctx, p)
}

// look reports whether nothing listens at an endpoint's address, once all connections that
// broke with it are known.
func (g *Guard) look(e endpt.Endpoint) bool {
	time.Sleep(lookAfter)
	ctx, cancel := context.WithTimeout(context.Background(), lookTimeout)
	defer cancel()
	return g.closed(ctx, e)
}

// lookLater looks again: a process that ends slowly may listen for a while.
func (g *Guard) lookLater(e endpt.Endpoint) bool {
	time.Sleep(lookAgain)
	return g.look(e)
}

func (g *Guard) noteBroken(request string, p finger.Print, e endpt.Endpoint, beside int, outcome string, err error) {
	g.mu.Lock()
	strikes := g.table.Strikes(p)
	g.mu.Unlock()
	g.meter.Count("broken_sends_total", 1, "service", e.Service, "outcome", outcome)
	g.logger.Info("Endpoint broke off.", "request", request, "print", p, "endpoint", e.ID, "born", e.Born, "beside", beside,
		"outcome", outcome, "strikes", strikes, "error", err)
}

// Gone takes that a boot of an endpoint is no more. It counts against the requests whose
// connections broke with it a moment ago.
func (g *Guard) Gone(e endpt.Endpoint) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.broken, e.Boot())
	for _, p := range g.table.Ended(e.Boot(), time.Now()) {
		g.meter.Count("endpoints_ended_total", 1, "service", e.Service)
		g.logger.Warn("Endpoint ended under a request.", "print", p, "endpoint", e.ID, "born", e.Born, "strikes", g.table.Strikes(p))
		g.noteStruck(p)
	}
}

// noteStruck has a new strike told on, and logs if the request is held back by it. The
// lock is held.
func (g *Guard) noteStruck(p finger.Print) {
	g.noteChange(p)
	g.noteHeld(p, "here")
}

// noteHeld logs that a request is held back from now on. The lock is held.
func (g *Guard) noteHeld(p finger.Print, learnt string) {
	var held *poison.HeldError
	if errors.As(g.table.Held(p, time.Now()), &held) && held.Strikes >= poison.Limit {
		g.meter.Count("requests_held_total", 1, "learnt", learnt)
		g.logger.Warn("Request is held back.", "print", p, "strikes", held.Strikes, "until", held.RetryAfter.Round(time.Second), "learnt", learnt)
	}
}

// noteChange has what is known about a request told on and kept. The lock is held.
func (g *Guard) noteChange(p finger.Print) {
	g.fresh[p], g.own[p] = true, true
	wake(g.changed)
	wake(g.ownChanged)
}

func wake(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// Take merges what another instance knows, and tells on what was new here.
func (g *Guard) Take(records []strike.Record, from string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, r := range g.table.Merge(records, time.Now()) {
		g.logger.Info("Crashes told.", "print", r.Print, "from", from, "strikes", g.table.Strikes(r.Print))
		g.noteHeld(r.Print, from)
		g.fresh[r.Print] = true
		wake(g.changed)
	}
}

// Changed says that Fresh has something to tell.
func (g *Guard) Changed() <-chan struct{} { return g.changed }

// Fresh returns what is known about the requests for which something is new since the last
// call.
func (g *Guard) Fresh() []strike.Record { return g.drain(g.fresh) }

// OwnChanged says that Own has something.
func (g *Guard) OwnChanged() <-chan struct{} { return g.ownChanged }

// Own returns what is known about the requests for which this instance itself has changed
// something since the last call.
func (g *Guard) Own() []strike.Record { return g.drain(g.own) }

func (g *Guard) drain(changed map[finger.Print]bool) []strike.Record {
	g.mu.Lock()
	defer g.mu.Unlock()
	var out []strike.Record
	for p := range changed {
		if r, ok := g.table.Record(p, time.Now()); ok {
			out = append(out, r)
		}
	}
	clear(changed)
	return out
}

// Record returns what is known about a request.
func (g *Guard) Record(p finger.Print) (r strike.Record, ok bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.table.Record(p, time.Now())
}

// Records returns all that is known.
func (g *Guard) Records() []strike.Record {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.table.Records(time.Now())
}

// List returns the requests under which endpoints ended, those with the most first.
func (g *Guard) List() []views.Held {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	var out []views.Held
	for _, r := range g.table.Records(now) {
		h := views.Held{Print: r.Print.String(), Strikes: g.table.Strikes(r.Print), Ended: r.Ended}
		var held *poison.HeldError
		if errors.As(g.table.Held(r.Print, now), &held) {
			h.RetryMs = held.RetryAfter.Milliseconds()
		}
		out = append(out, h)
	}
	slices.SortStableFunc(out, func(a, b views.Held) int { return cmp.Compare(b.Strikes, a.Strikes) })
	return out
}

// Digest is the same at two instances that know the same, and 0 where nothing is known.
func (g *Guard) Digest() uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.table.Digest()
}

// Clear lets a request through again, at all instances, and returns how many crashes
// counted against it.
func (g *Guard) Clear(p finger.Print) int {
	g.mu.Lock()
	n := g.table.Clear(p)
	if n > 0 {
		g.noteChange(p)
	}
	g.mu.Unlock()
	g.logger.Warn("Request cleared by an operator.", "print", p, "strikes", n)
	return n
}
