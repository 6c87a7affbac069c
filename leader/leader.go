// Package leader elects one instance for the tasks that only one may perform: reporting
// each customer's request counts to the platform, and ordering the number of endpoints of
// each service.
//
// A record in the metadata store names the leader. It is not renewed: the leader reads the
// record when there is a task, and may then act for a short span only. The instances rank
// the reachable peers, those without callers first, as no caller waits for them. A wrong
// view of a peer is safe, since a new leader waits until its predecessor can no longer act.
//
// Each instance counts the requests that it sends to endpoints and sends the counts to the
// leader and its expected successor. A report is committed to the store before it is first
// sent, so that each retry, also by a later leader, has the same content.
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
	"github.com/lavendermux/lavendermux/elect"
	"github.com/lavendermux/lavendermux/kvst"
	"github.com/lavendermux/lavendermux/mesh"
	"github.com/lavendermux/lavendermux/meter"
	"github.com/lavendermux/lavendermux/sleep"
	"github.com/lavendermux/lavendermux/uptime"
	"github.com/lavendermux/lavendermux/usage"
)

const (
	// checkInterval is how often the leader checks for due tasks, and other instances check
	// for a leader. Neither sends a request.
	checkInterval = 250 * time.Millisecond
	// vacancyTimeout is how long no leader must be known before the first candidate takes
	// leadership. News of a new leader takes a few round trips.
	vacancyTimeout = 600 * time.Millisecond
	// silenceTimeout is how long a live peer that the record names may fail to announce its
	// leadership. A peer that is silent for longer has lost the store's response and then
	// its access to the store.
	silenceTimeout = 3 * time.Second

	defaultLease          = 3 * time.Second
	defaultReportDeadline = 10 * time.Second
)

type (
	// Leader takes part in the election and performs the leader's tasks while elected. It is
	// safe for concurrent use. See New.
	Leader struct {
		mesh           *mesh.Mesh
		store          kvst.Store
		counter        *usage.Counter
		clock          *clocks.Clock
		logger         *log.Logger
		meter          *meter.Meter
		report         func(ctx context.Context, holder string, epoch, window int64, counts map[string]int) error
		isReporting    func() bool
		scaler         scaler
		monotonic      func() time.Duration
		lease          time.Duration
		reportDeadline time.Duration

		// vacantSince is the time since which no leader is known; isClockOff says that the system
		// clock deviates from the peers' clocks. Only Run uses them.
		vacantSince time.Time
		isClockOff  bool

		mu sync.Mutex
		// term is the present term while this instance leads, nil otherwise; rec and revision
		// are the record as last known in it.
		term     *elect.Term
		rec      record
		revision int64
		// committed has the reports in the store, by window; delivered marks those that the
		// platform has received, which later writes remove.
		committed map[int64]map[string]int
		delivered map[int64]bool
		// received has the latest counts of other instances, by name and incarnation.
		received map[string]receivedCounts
	}

	// noScaler orders no endpoints.
	noScaler struct{}

	// scaler decides how many endpoints each service should have.
	scaler interface {
		// Load returns the running and waiting requests of this instance's callers, by
		// service; nil if no endpoints are to be ordered.
		Load() map[string]float64
		// DueOrders returns the numbers of endpoints to order, by service and data centre, for the
		// given load of all instances. The load is complete if every live instance with callers
		// has sent its own.
		DueOrders(load map[string]float64, isComplete bool) map[string]map[string]int
		// Order sends one order and records whether the platform has accepted it.
		Order(ctx context.Context, holder string, epoch int64, service, dataCentre string, count int) error
	}

	// Option is an optional setting of New.
	Option func(*Leader)

	// record is the leadership record in the metadata store.
	record struct {
		// Holder is the leader, "" if there is none. Epoch increases with each leader.
		Holder string `json:"holder"`
		Epoch  int64  `json:"epoch"`
		// Committed is the last window whose report is committed. Reports that the platform may
		// not have received are stored next to the record, each under its own key.
		Committed int64 `json:"fixed"`
	}

	// RejectedError says that the platform permanently rejects a report or an order.
	RejectedError struct {
		Status int
	}
)

// Error implements error.
func (e *RejectedError) Error() string {
	return fmt.Sprintf("platform rejected the report or order with status %d", e.Status)
}

// New returns a candidate that performs the leader's tasks while elected. The counts of this
// instance are in counter, with windows in the time of clock. The function report sends one
// report to the platform.
//
//	l := leader.New(m, store, counter, clock, report, logger)
//	go l.Run(ctx)
func New(m *mesh.Mesh, store kvst.Store, counter *usage.Counter, clock *clocks.Clock,
	report func(ctx context.Context, holder string, epoch, window int64, counts map[string]int) error, logger *log.Logger, opts ...Option) *Leader {
	l := &Leader{
		mesh:           m,
		store:          store,
		counter:        counter,
		clock:          clock,
		logger:         logger,
		meter:          meter.New(),
		report:         report,
		isReporting:    func() bool { return true },
		scaler:         noScaler{},
		monotonic:      uptime.Now,
		lease:          defaultLease,
		reportDeadline: defaultReportDeadline,
		committed:      make(map[int64]map[string]int),
		delivered:      make(map[int64]bool),
		received:       make(map[string]receivedCounts),
	}
	for _, opt := range opts {
		opt(l)
	}
	return l
}

// WithLease sets the shortest time between two terms of one instance. The default is
// 3 seconds.
func WithLease(d time.Duration) Option {
	return func(l *Leader) {
		if d > 0 {
			l.lease = d
		}
	}
}

// WithReportDeadline sets how long after the end of its window a report must be delivered. The default
// is 10 seconds.
func WithReportDeadline(d time.Duration) Option {
	return func(l *Leader) {
		if d > 0 {
			l.reportDeadline = d
		}
	}
}

// WithReporting sets the function that tells whether usage is to be reported. By default it always
// is.
func WithReporting(f func() bool) Option {
	return func(l *Leader) { l.isReporting = f }
}

// WithScaler sets what decides the numbers of endpoints. By default no endpoints are ordered.
func WithScaler(s scaler) Option {
	return func(l *Leader) { l.scaler = s }
}

// WithMonotonicClock sets the clock for the time for which the leader may act. It must advance while
// the machine is suspended. The default is uptime.Now.
func WithMonotonicClock(f func() time.Duration) Option {
	return func(l *Leader) { l.monotonic = f }
}

// WithMeter sets the meter that counts reports and orders. By default the counts are discarded.
func WithMeter(m *meter.Meter) Option {
	return func(l *Leader) { l.meter = m }
}

// Handler returns the path and the handler that receive the counts of peers.
func (l *Leader) Handler() (string, http.Handler) { return path, mesh.Handle(path, l.receive) }

// Epoch returns the epoch of this instance while it leads, and 0 otherwise.
func (l *Leader) Epoch() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.term == nil {
		return 0
	}
	return l.term.Epoch
}

// Run takes part in the election and performs the leader's tasks until ctx ends.
func (l *Leader) Run(ctx context.Context) {
	go l.sendCounts(ctx)
	if !l.mesh.WaitSettled(ctx) {
		return
	}
	for sleep.For(ctx, checkInterval) {
		l.checkClock()
		switch {
		case !l.isNeeded():
		case l.Epoch() > 0:
			l.runTasks(ctx)
		case l.isVacant(time.Now()):
			if err := l.takeLeadership(ctx); err != nil {
				l.logger.Warn("Leadership not taken.", "error", err)
			}
		}
	}
}

// isNeeded reports whether there are tasks for a leader.
func (l *Leader) isNeeded() bool { return l.isReporting() || l.scaler.Load() != nil }

// checkClock logs when the system clock starts or ceases to deviate from the peers' clocks.
func (l *Leader) checkClock() {
	off, known := l.clock.Offset()
	isOff := known && clocks.ExceedsMaxSkew(off)
	if isOff != l.isClockOff {
		l.isClockOff = isOff
		l.logger.Warn("System clock trust changed.", "doubted", isOff, "off", off.Round(time.Millisecond))
	}
}

// isVacant reports whether leadership is vacant and this instance is the first candidate.
func (l *Leader) isVacant(now time.Time) bool {
	if _, ok := l.mesh.Leader(); ok {
		l.vacantSince = time.Time{}
		return false
	}
	if l.vacantSince.IsZero() {
		l.vacantSince = now
	}
	order := rankCandidates(l.mesh.Members())
	return now.Sub(l.vacantSince) >= vacancyTimeout && len(order) > 0 && order[0].Name == l.mesh.Self().Name
}

// rankCandidates sorts instances by preference for leadership. Those without callers come
// first, as no caller is affected by the leader's work or failure, then those with more
// power.
func rankCandidates(nodes []mesh.Node) []mesh.Node {
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

// successor returns the expected next leader. It prefers another data centre, as the
// successor needs the counts when the leader is lost together with its data centre.
func successor(leader mesh.Node, nodes []mesh.Node) (mesh.Node, bool) {
	order := slices.DeleteFunc(rankCandidates(nodes), func(n mesh.Node) bool { return n.Name == leader.Name })
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

// takeLeadership writes this instance into the record and starts its term.
func (l *Leader) takeLeadership(ctx context.Context) error {
	requested := l.monotonic()
	rec, revision, err := l.readRecord(ctx)
	if err != nil {
		return err
	}
	self := l.mesh.Self().Holder()
	if _, alive := l.mesh.FindHolder(rec.Holder); alive && rec.Holder != self && time.Since(l.vacantSince) < silenceTimeout {
		return nil // its announcement is still on the way
	}
	isFirst, from := revision == 0, rec.Holder
	if rec.Holder != self {
		rec.Holder = self
		rec.Epoch++
		rec.Committed = l.firstOpen(rec.Committed) - 1
		requested = l.monotonic()
		if revision, err = l.writeRecord(ctx, recordUpdate{record: rec, expected: revision}); err != nil {
			return err // if the write took effect, the next attempt finds this instance named
		}
	}
	reports, err := l.readReports(ctx)
	if err != nil {
		return err // the next attempt finds this instance named
	}
	term := elect.NewTerm(rec.Epoch, requested, l.monotonic(), l.lease, isFirst)
	l.vacantSince = time.Time{}
	l.mu.Lock()
	l.term, l.rec, l.revision, l.committed = &term, rec, revision, reports
	clear(l.delivered)
	l.mu.Unlock()
	l.logger.Info("Leadership taken.", "epoch", rec.Epoch, "from", from, "revision", revision, "fixed", rec.Committed,
		"unsent", len(reports), "waits", term.StartDelay(l.monotonic()).Round(time.Millisecond))
	return nil
}

// loseLeadership ends the term of this instance.
func (l *Leader) loseLeadership(cause string, current record) {
	l.mu.Lock()
	epoch := int64(0)
	if l.term != nil {
		epoch = l.term.Epoch
	}
	l.term = nil
	l.mu.Unlock()
	l.logger.Warn("Leadership lost.", "cause", cause, "epoch", epoch, "holder", current.Holder, "now", current.Epoch)
}

// HandOver resigns leadership before a planned stop, so that peers need not detect the loss.
func (l *Leader) HandOver(ctx context.Context) {
	l.mu.Lock()
	leads := l.term != nil
	update := recordUpdate{record: l.rec, expected: l.revision, remove: l.removable()}
	update.record.Holder = ""
	l.term = nil
	l.mu.Unlock()
	if !leads {
		return
	}
	_, err := l.writeRecord(ctx, update)
	l.logger.Info("Leadership handed over.", "epoch", update.record.Epoch, "error", err)
}

// confirm reads the record and reports whether it still names this instance.
func (l *Leader) confirm(ctx context.Context) bool {
	requested := l.monotonic()
	rec, revision, err := l.readRecord(ctx)
	if err != nil {
		return false
	}
	return l.adopt(rec, revision, requested)
}

// adopt applies a record as read or written by a request sent at the time requested, and
// reports whether this instance leads according to it.
func (l *Leader) adopt(rec record, revision int64, requested time.Duration) bool {
	l.mu.Lock()
	if l.term == nil {
		l.mu.Unlock()
		return false
	}
	if rec.Holder == l.mesh.Self().Holder() && rec.Epoch == l.term.Epoch {
		l.rec, l.revision = rec, revision
		l.term.Confirm(requested)
		l.mu.Unlock()
		return true
	}
	l.mu.Unlock()
	l.loseLeadership("the record names another holder", rec)
	return false
}

// commitReports commits the reports of windows to the store and reports whether that
// succeeded. A write without a response is detected or superseded by the next one.
func (l *Leader) commitReports(ctx context.Context, reports map[int64]map[string]int) bool {
	l.mu.Lock()
	update := recordUpdate{record: l.rec, expected: l.revision, reports: reports, remove: l.removable()}
	l.mu.Unlock()
	for w := range reports {
		update.record.Committed = max(update.record.Committed, w)
	}
	requested := l.monotonic()
	revision, err := l.writeRecord(ctx, update)
	var conflict *kvst.ConflictError
	switch {
	case err == nil:
		l.mu.Lock()
		maps.Copy(l.committed, reports)
		for _, w := range update.remove {
			delete(l.committed, w)
			delete(l.delivered, w)
		}
		l.mu.Unlock()
		return l.adopt(update.record, revision, requested)
	case errors.As(err, &conflict) && l.confirm(ctx):
		l.reloadReports(ctx)
	default:
		l.logger.Warn("Commit of fixed reports failed.", "epoch", update.record.Epoch, "fixed", update.record.Committed, "error", err)
	}
	return false
}

// reloadReports reads the reports again after a conflict: an earlier write of this instance
// took effect without a response, and the reports that it committed are final.
func (l *Leader) reloadReports(ctx context.Context) {
	reports, err := l.readReports(ctx)
	if err != nil {
		l.loseLeadership("could not read the reports: "+err.Error(), record{})
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.committed = reports
}

// removable returns windows whose reports were delivered, at most as many as one write may
// remove. The caller holds mu.
func (l *Leader) removable() []int64 {
	windows := slices.Sorted(maps.Keys(l.delivered))
	return windows[:min(len(windows), maxRemovals)]
}
