// Package leader has one instance at a time do what only one may do: report to the
// platform how many requests of each customer ran, and order how many endpoints a service
// is to have.
//
// The leader is named by a record in the metadata store. It isn't renewed: a leader looks
// at the record when it has something to do, and acts for a moment only (package duty).
// Who becomes leader follows from the peers in touch, instances without callers first,
// as nobody waits for them. Being wrong about a peer is safe, since a new leader waits
// until an old one can't act any more.
//
// Each instance counts what it sends to endpoints and tells the leader and its heir. A
// report is fixed in the record before it is first sent, so that each repeat of it, also
// by a later leader, says the same.
package leader

import (
	"cmp"
	"context"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"

	"github.com/lavendermux/lavendermux/clocks"
	"github.com/lavendermux/lavendermux/duty"
	"github.com/lavendermux/lavendermux/kvst"
	"github.com/lavendermux/lavendermux/mesh"
	"github.com/lavendermux/lavendermux/meter"
	"github.com/lavendermux/lavendermux/sleep"
	"github.com/lavendermux/lavendermux/uptime"
	"github.com/lavendermux/lavendermux/usage"
)

const (
	// lookEvery is how often the leader looks whether a report is due, and others whether
	// there is a leader. Both ask nobody.
	lookEvery = 250 * time.Millisecond
	// vacantFor is how long no peer says that it leads before the first of the order takes
	// the record: news of a new leader takes a few round trips.
	vacantFor = 600 * time.Millisecond
	// silentFor is how long a live peer that the record names may not say that it leads.
	// It has then lost the store's answer and gone away from the store.
	silentFor = 3 * time.Second

	defaultLease = 3 * time.Second
	defaultLate  = 10 * time.Second
)

type (
	// Leader takes part in choosing the leader and does its duties while it is chosen; safe
	// for concurrent use. See New.
	Leader struct {
		mesh   *mesh.Mesh
		store  kvst.Store
		book   *usage.Book
		clock  *clocks.Clock
		logger *log.Logger
		meter  *meter.Meter
		report func(ctx context.Context, holder string, epoch, window int64, counts map[string]int) error
		due    func() bool
		scale  scale
		steady func() time.Duration
		lease  time.Duration
		late   time.Duration

		// vacant is since when no leader is known, clockOff that the machine's time of day is
		// not its peers'; only Run uses them.
		vacant   time.Time
		clockOff bool

		mu sync.Mutex
		// term is that of this instance while it leads; rec and revision are the record
		// then.
		term     *duty.Term
		rec      record
		revision int64
		// fixed are the reports that the store keeps, by window; taken are those of them
		// that the platform has, which the next write removes.
		fixed map[int64]map[string]int
		taken map[int64]bool
		// told has what instances have counted, by name and boot.
		told map[string]counted
	}

	// unscaled leaves the number of endpoints as it is.
	unscaled struct{}

	// scale decides how many endpoints there should be.
	scale interface {
		// Load is how many requests run or wait for this instance's callers, by service;
		// nil where no number of endpoints is to be ordered.
		Load() map[string]float64
		// Due returns the numbers of endpoints that are to be ordered, by service and data
		// centre, given the load of all instances. Where not all have told theirs it is not
		// whole.
		Due(load map[string]float64, isWhole bool) map[string]map[string]int
		// Order sends one, and notes that it was taken.
		Order(ctx context.Context, holder string, epoch int64, service, dataCentre string, count int) error
	}

	// Option changes a Leader as New makes it.
	Option func(*Leader)

	// record is what the metadata store has.
	record struct {
		// Holder leads, "" if nobody does; Epoch grows with each leader.
		Holder string `json:"holder"`
		Epoch  int64  `json:"epoch"`
		// Fixed is the last window whose report is fixed. Those that the platform may not
		// have are kept beside the record, each under a key of its own.
		Fixed int64 `json:"fixed"`
	}

	// RejectedError says that the platform will never take a report.
	RejectedError struct {
		Status int
	}
)

// Error names the status of the platform's answer.
func (e *RejectedError) Error() string {
	return fmt.Sprintf("the platform rejects the report with status %d", e.Status)
}

// New returns what leads if it is chosen. Counts are in book, its windows in the time of
// clock; report sends one report to the platform.
//
//	l := leader.New(m, store, book, clock, report, logger)
//	go l.Run(ctx)
func New(m *mesh.Mesh, store kvst.Store, book *usage.Book, clock *clocks.Clock,
	report func(ctx context.Context, holder string, epoch, window int64, counts map[string]int) error, logger *log.Logger, opts ...Option) *Leader {
	l := &Leader{
		mesh:   m,
		store:  store,
		book:   book,
		clock:  clock,
		logger: logger,
		meter:  meter.New(),
		report: report,
		due:    func() bool { return true },
		scale:  unscaled{},
		steady: uptime.Now,
		lease:  defaultLease,
		late:   defaultLate,
		fixed:  make(map[int64]map[string]int),
		taken:  make(map[int64]bool),
		told:   make(map[string]counted),
	}
	for _, opt := range opts {
		opt(l)
	}
	return l
}

// WithLease sets the shortest time between two holdings of one instance. The default is
// 3 seconds.
func WithLease(d time.Duration) Option {
	return func(l *Leader) {
		if d > 0 {
			l.lease = d
		}
	}
}

// WithLate sets how long after its window a report may come. The default is 10 seconds.
func WithLate(d time.Duration) Option {
	return func(l *Leader) {
		if d > 0 {
			l.late = d
		}
	}
}

// WithDue says whether there is anything to report. The default is always.
func WithDue(f func() bool) Option {
	return func(l *Leader) { l.due = f }
}

// WithScale sets who decides how many endpoints there should be. By default their number
// is left as it is.
func WithScale(s scale) Option {
	return func(l *Leader) { l.scale = s }
}

// WithSteady sets the clock by which the leader knows how long it may act. The default is
// that of package uptime.
func WithSteady(f func() time.Duration) Option {
	return func(l *Leader) { l.steady = f }
}

// WithMeter sets where reports are counted. The default counts for nobody.
func WithMeter(m *meter.Meter) Option {
	return func(l *Leader) { l.meter = m }
}

// Handler serves peers that tell what they have counted.
func (l *Leader) Handler() (string, http.Handler) { return path, mesh.Handle(path, l.take) }

// Epoch is that of this instance while it leads, and 0 otherwise.
func (l *Leader) Epoch() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.term == nil {
		return 0
	}
	return l.term.Epoch
}

// Run takes part until ctx ends.
func (l *Leader) Run(ctx context.Context) {
	go l.tell(ctx)
	if !l.mesh.Settled(ctx) {
		return
	}
	for sleep.For(ctx, lookEvery) {
		l.noteClock()
		switch {
		case !l.isNeeded():
		case l.Epoch() > 0:
			l.lead(ctx)
		case l.isVacant(time.Now()):
			if err := l.claim(ctx); err != nil {
				l.logger.Warn("Lead not taken.", "error", err)
			}
		}
	}
}

// isNeeded reports whether there is anything to do for a leader.
func (l *Leader) isNeeded() bool { return l.due() || l.scale.Load() != nil }

// noteClock logs when the machine's time of day leaves its peers', and when it is back.
func (l *Leader) noteClock() {
	off, known := l.clock.Off()
	isOff := known && clocks.Doubts(off)
	if isOff != l.clockOff {
		l.clockOff = isOff
		l.logger.Warn("Machine's clock.", "doubted", isOff, "off", off.Round(time.Millisecond))
	}
}

// isVacant reports whether this instance should take the lead.
func (l *Leader) isVacant(now time.Time) bool {
	if _, ok := l.mesh.Leader(); ok {
		l.vacant = time.Time{}
		return false
	}
	if l.vacant.IsZero() {
		l.vacant = now
	}
	order := inOrder(l.mesh.Members())
	return now.Sub(l.vacant) >= vacantFor && len(order) > 0 && order[0].Name == l.mesh.Self().Name
}

// inOrder puts the instances first that should lead: those without callers, as no caller
// waits there while the instance leads, or fails, then the strong ones.
func inOrder(nodes []mesh.Node) []mesh.Node {
	callers := func(n mesh.Node) int {
		if n.Plans {
			return 1
		}
		return 0
	}
	return slices.SortedFunc(slices.Values(nodes), func(a, b mesh.Node) int {
		return cmp.Or(cmp.Compare(callers(a), callers(b)), cmp.Compare(b.Power, a.Power), cmp.Compare(a.Name, b.Name))
	})
}

// heir returns who probably leads next, in another data centre if there is one: it has to
// know what was counted when the leader and its data centre are lost.
func heir(leader mesh.Node, nodes []mesh.Node) (mesh.Node, bool) {
	order := slices.DeleteFunc(inOrder(nodes), func(n mesh.Node) bool { return n.Name == leader.Name })
	for _, n := range order {
		if n.DataCentre != leader.DataCentre {
			return n, true
		}
	}
	if len(order) == 0 {
		return mesh.Node{}, false
	}
	return order[0], true
}

// claim takes the record.
func (l *Leader) claim(ctx context.Context) error {
	asked := l.steady()
	rec, revision, err := l.read(ctx)
	if err != nil {
		return err
	}
	self := l.mesh.Self().Holder()
	if _, alive := l.mesh.Find(rec.Holder); alive && rec.Holder != self && time.Since(l.vacant) < silentFor {
		return nil // its news is on the way
	}
	isFirst, from := revision == 0, rec.Holder
	if rec.Holder != self {
		rec.Holder = self
		rec.Epoch++
		rec.Fixed = l.firstOpen(rec.Fixed) - 1
		asked = l.steady()
		if revision, err = l.write(ctx, change{record: rec, expected: revision}); err != nil {
			return err // if it was written after all, the next look finds this instance named
		}
	}
	reports, err := l.readReports(ctx)
	if err != nil {
		return err // the next look finds this instance named
	}
	term := duty.Begin(rec.Epoch, asked, l.steady(), l.lease, isFirst)
	l.vacant = time.Time{}
	l.mu.Lock()
	l.term, l.rec, l.revision, l.fixed = &term, rec, revision, reports
	clear(l.taken)
	l.mu.Unlock()
	l.logger.Info("Lead taken.", "epoch", rec.Epoch, "from", from, "revision", revision, "fixed", rec.Fixed,
		"unsent", len(reports), "waits", term.Waits(l.steady()).Round(time.Millisecond))
	return nil
}

// resign ends the lead of this instance.
func (l *Leader) resign(cause string, now record) {
	l.mu.Lock()
	epoch := int64(0)
	if l.term != nil {
		epoch = l.term.Epoch
	}
	l.term = nil
	l.mu.Unlock()
	l.logger.Warn("Lead lost.", "cause", cause, "epoch", epoch, "holder", now.Holder, "now", now.Epoch)
}

// HandOver gives the lead up before a planned stop, so that nobody has to notice it.
func (l *Leader) HandOver(ctx context.Context) {
	l.mu.Lock()
	leads := l.term != nil
	c := change{record: l.rec, expected: l.revision, remove: l.removable()}
	c.record.Holder = ""
	l.term = nil
	l.mu.Unlock()
	if !leads {
		return
	}
	_, err := l.write(ctx, c)
	l.logger.Info("Lead handed over.", "epoch", c.record.Epoch, "error", err)
}

// look finds out whether the record still names this instance, and reports whether it
// does.
func (l *Leader) look(ctx context.Context) bool {
	asked := l.steady()
	rec, revision, err := l.read(ctx)
	if err != nil {
		return false
	}
	return l.accept(rec, revision, asked)
}

// accept takes the record as it was read, and reports whether this instance leads by it.
func (l *Leader) accept(rec record, revision int64, asked time.Duration) bool {
	l.mu.Lock()
	if l.term == nil {
		l.mu.Unlock()
		return false
	}
	if rec.Holder == l.mesh.Self().Holder() && rec.Epoch == l.term.Epoch {
		l.rec, l.revision = rec, revision
		l.term.Seen(asked)
		l.mu.Unlock()
		return true
	}
	l.mu.Unlock()
	l.resign("the record names another", rec)
	return false
}

// fix has the store keep the reports of windows, and reports whether it does. A write that
// got no answer is found, or overtaken, by the next one.
func (l *Leader) fix(ctx context.Context, reports map[int64]map[string]int) bool {
	l.mu.Lock()
	c := change{record: l.rec, expected: l.revision, reports: reports, remove: l.removable()}
	l.mu.Unlock()
	for w := range reports {
		c.record.Fixed = max(c.record.Fixed, w)
	}
	asked := l.steady()
	revision, err := l.write(ctx, c)
	var conflict *kvst.ConflictError
	switch {
	case err == nil:
		l.mu.Lock()
		maps.Copy(l.fixed, reports)
		for _, w := range c.remove {
			delete(l.fixed, w)
			delete(l.taken, w)
		}
		l.mu.Unlock()
		return l.accept(c.record, revision, asked)
	case errors.As(err, &conflict) && l.look(ctx):
		l.reload(ctx)
	default:
		l.logger.Warn("Reports not fixed.", "epoch", c.record.Epoch, "fixed", c.record.Fixed, "error", err)
	}
	return false
}

// reload reads the reports anew: an earlier write of this instance has taken effect of
// which it had no answer, and what it fixed stands.
func (l *Leader) reload(ctx context.Context) {
	reports, err := l.readReports(ctx)
	if err != nil {
		l.resign("reports not read: "+err.Error(), record{})
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fixed = reports
}

// removable returns windows whose reports the platform has, as many as one write removes.
// The lock is held.
func (l *Leader) removable() []int64 {
	windows := slices.Sorted(maps.Keys(l.taken))
	return windows[:min(len(windows), removeMost)]
}
