// Package reads watches the pages of results that an entry returns to callers. It logs which owner
// answered, and warns of a page that lacks results that were returned before. It changes no page.
package reads

import (
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"github.com/lavendermux/lavendermux/brun"
	"github.com/lavendermux/lavendermux/meter"
)

const (
	// defaultCapacity limits the batches that are remembered.
	defaultCapacity = 4000
	// logInterval is the minimum time between two lines about a batch whose results only grow:
	// trainers read twice a second.
	logInterval = 500 * time.Millisecond
	// warnInterval is the time after which the same short page is warned of again: trainers ask an
	// owner until it has more.
	warnInterval = 5 * time.Second
)

type (
	// Tracker remembers what was returned of the batches that were read last. It is safe for
	// concurrent use. See New.
	Tracker struct {
		logger   *log.Logger
		meter    *meter.Meter
		capacity int

		mu sync.Mutex
		// current has the batches that were read since the last rotation, and previous the others.
		current, previous map[string]*history
	}

	// Option configures a Tracker.
	Option func(*Tracker)

	// history is what was returned of one batch.
	history struct {
		// length is that of the last page. furthest is the page with the last result that was
		// returned, at furthestAt.
		length     int
		furthest   state
		furthestAt time.Time
		// logged and warned are the states that were last logged, at loggedAt and warnedAt.
		logged, warned     state
		loggedAt, warnedAt time.Time
	}

	// state is a page without its results.
	state struct {
		source          string
		epoch, revision int64
		length, next    int
		// isBeyond is set if the page was asked for after a position that its source doesn't have.
		isBeyond bool
	}

	// read is one read of a caller. before is what had been returned when it began: pages of
	// concurrent reads may be returned in any order.
	read struct {
		id, customer string
		after        int
		before       history
	}
)

// New returns a tracker that counts short pages in m as pages_short_total.
//
//	t := reads.New(logger, m)
//	done := t.Start(id, customer, after)
//	page, err := read(ctx, id, after)
//	if err == nil {
//		done(page)
//	}
func New(logger *log.Logger, m *meter.Meter, opts ...Option) *Tracker {
	t := &Tracker{
		logger:   logger,
		meter:    m,
		capacity: defaultCapacity,
		current:  make(map[string]*history),
		previous: make(map[string]*history),
	}
	for _, opt := range opts {
		opt(t)
	}
	return t
}

// WithCapacity limits the batches that are remembered. The default is 4,000.
func WithCapacity(n int) Option {
	return func(t *Tracker) { t.capacity = n }
}

// Start begins a read of the results from position after on. done is to be called with the page
// before that is returned to the caller, and not if there is none.
func (t *Tracker) Start(id, customer string, after int) (done func(brun.Page)) {
	r := read{id: id, customer: customer, after: after}
	t.mu.Lock()
	defer t.mu.Unlock()
	if h, ok := t.lookUp(id); ok {
		r.before = *h
	}
	return func(p brun.Page) { t.note(r, p, time.Now()) }
}

func (t *Tracker) note(r read, p brun.Page, now time.Time) {
	if p.Source == "" {
		return // a peer of an earlier version answered, which doesn't tell the length
	}
	s := state{source: p.Source, epoch: p.Epoch, revision: p.Revision, length: p.Length, next: p.Next, isBeyond: r.after > p.Length}
	isShort := p.Length < r.before.furthest.next
	t.mu.Lock()
	h := t.history(r.id)
	mustLog, mustWarn := h.takeLog(s, r.before, now), isShort && h.takeWarning(s, now)
	h.add(s, len(p.Results), now)
	t.mu.Unlock()
	if mustLog {
		t.logger.Info("Page returned.", append(r.fields(p), "total", p.Total, "ended", p.Ended, "pending", p.Pending)...)
	}
	if isShort {
		t.meter.Count("pages_short_total", 1)
	}
	if mustWarn {
		last := r.before.furthest
		t.logger.Warn("Page lacks results that were returned before.", append(r.fields(p), "returned", last.next, "returnedFrom", last.source,
			"returnedEpoch", last.epoch, "returnedRevision", last.revision, "ago", now.Sub(r.before.furthestAt).Round(time.Millisecond))...)
	}
}

func (r read) fields(p brun.Page) []any {
	fields := []any{"batch", r.id}
	if r.customer != "" {
		fields = append(fields, "customer", r.customer)
	}
	return append(fields, "from", p.Source, "epoch", p.Epoch, "revision", p.Revision, "after", r.after, "next", p.Next,
		"length", p.Length, "stored", p.Stored)
}

// lookUp returns the history of a batch. The caller holds t.mu.
func (t *Tracker) lookUp(id string) (*history, bool) {
	if h, ok := t.current[id]; ok {
		return h, true
	}
	h, ok := t.previous[id]
	return h, ok
}

// history returns the history of a batch, which is kept while less than half of the capacity is
// read after it. The caller holds t.mu.
func (t *Tracker) history(id string) *history {
	if h, ok := t.current[id]; ok {
		return h
	}
	h, ok := t.lookUp(id)
	if !ok {
		h = &history{}
	}
	if len(t.current) >= t.capacity/2 {
		t.previous, t.current = t.current, make(map[string]*history)
	}
	delete(t.previous, id)
	t.current[id] = h
	return h
}

// takeLog reports whether a page is to be logged, and takes it as logged. before is what had been
// returned when the read began.
func (h *history) takeLog(s state, before history, now time.Time) bool {
	isOther := s.source != h.logged.source || s.epoch != h.logged.epoch
	isUrgent := isOther || s.length < before.length
	isChanged := s.length != h.logged.length || s.isBeyond != h.logged.isBeyond
	if !isUrgent && (!isChanged || now.Sub(h.loggedAt) < logInterval) {
		return false
	}
	h.logged, h.loggedAt = s, now
	return true
}

// takeWarning reports whether to warn of a short page, and takes that as done.
func (h *history) takeWarning(s state, now time.Time) bool {
	isOther := s.source != h.warned.source || s.epoch != h.warned.epoch || s.length != h.warned.length
	if !isOther && now.Sub(h.warnedAt) < warnInterval {
		return false
	}
	h.warned, h.warnedAt = s, now
	return true
}

func (h *history) add(s state, results int, now time.Time) {
	h.length = s.length
	if results > 0 && s.next > h.furthest.next {
		h.furthest, h.furthestAt = s, now
	}
}
