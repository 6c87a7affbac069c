// Package queue holds requests that wait at a sidecar for a slot of its endpoint,
// and refuses those that can't finish in time.
//
// It is built for overload with requests of very different length, each worthless
// after its deadline. First come, first served without a limit finishes
// everything late: slots are spent on answers that nobody reads, and callers
// learn of it only when their deadline passes. Shortest job first finishes the
// most requests in time but starves long ones.
//
// The queue predicts when each request would finish, from the tokens it is
// expected to generate, the observed token rate of the slots and the live work
// expected to arrive meanwhile. It refuses at once what would finish too late,
// with the time after which the same request could finish in time. It orders by
// kind, then priority, then whether the work can still end by its objective, then
// arrival time plus a multiple of the expected service time. Admitted work is
// given up only when work that precedes it arrives later or when running work
// takes longer than predicted, and it is refused as soon as starting it could no
// longer help.
//
// See docs/measured/load.md for figures and the effect of the thresholds.
package queue

import (
	"slices"
	"time"

	"github.com/lavendermux/lavendermux/fault"
	"github.com/lavendermux/lavendermux/slots"
	"github.com/lavendermux/lavendermux/wire"
	"github.com/lavendermux/lavendermux/work"
)

const (
	// CauseSaturated is the refusal cause when the work would finish after its
	// deadline, or when too much work waits already.
	CauseSaturated = "saturated"
	// CauseTooLong is the cause when the work would finish after its deadline even on
	// an idle endpoint.
	CauseTooLong = "tooLong"
	// CauseDisplaced is the cause when higher-ranked work arrived later.
	CauseDisplaced = "displaced"

	reasonNoSlot = "every slot is kept for other work"
)

type (
	// Queue is the work waiting for and running on one endpoint. It is not safe for
	// concurrent use.
	Queue[T any] struct {
		settings   settings
		slots      *slots.Allocator
		estimator  estimator
		waiting    []*entry[T]
		running    map[uint64]*entry[T]
		dropped    []rejection[T]
		lastTicket uint64
		plan       planner
		arrivals   arrivals
		lastProbe  time.Time
		// lastDone is when work last ended, and resumedAt when that happened after an
		// interruption. Starts don't count: endpoints may refuse what is sent to them.
		lastDone, resumedAt time.Time
		// waitingSince is the time since which work has waited.
		waitingSince time.Time
		paused       bool
	}

	entry[T any] struct {
		item     T
		work     work.Work
		ticket   uint64
		pushedAt time.Time
		// due orders work of the same kind and priority.
		due    time.Time
		charge time.Duration
		// late is set once the work can no longer end by its objective; overShare if its
		// caller is so far above its share that the work is due only after its objective.
		late, overShare bool
		// reviewed is set once Expire has decided whether late work may wait on.
		reviewed bool
		// probe is set for work that was admitted although it is too long by the
		// estimate.
		probe     bool
		startedAt time.Time
	}

	rejection[T any] struct {
		item T
		err  *fault.NotRunError
	}
)

// New returns an empty queue for the slots of one endpoint.
//
//	q := queue.New[*request](slots.New(32))
//	ticket, err := q.Push(r, w, now)
func New[T any](s *slots.Allocator, opts ...Option) *Queue[T] {
	set := settings{
		limit:      defaultLimit,
		tokenRate:  defaultTokenRate,
		meanTokens: defaultMeanTokens,
		stretch:    defaultStretch,
		margin:     defaultMargin,
		forecast:   defaultForecastWindow.Seconds(),

		probeInterval: defaultProbeInterval,
	}
	for _, opt := range opts {
		opt(&set)
	}
	return &Queue[T]{
		settings:  set,
		slots:     s,
		estimator: newEstimator(set.tokenRate, set.meanTokens),
		running:   map[uint64]*entry[T]{},
	}
}

// SetLimit sets the maximum amount of waiting work from now on. Work that already
// waits is not dropped.
func (q *Queue[T]) SetLimit(n int) {
	q.settings.limit = n
}

// Push admits work, or refuses it at once with a *fault.NotRunError. The ticket
// identifies the work in Done and Cancel. Work that Push displaced is returned by
// the following Expire.
func (q *Queue[T]) Push(item T, w work.Work, now time.Time) (uint64, error) {
	e := &entry[T]{item: item, work: w, pushedAt: now, ticket: q.lastTicket + 1}
	if !w.Arrived.IsZero() {
		e.pushedAt = w.Arrived
	}
	q.demote(now)
	q.rank(e, now)
	if err := q.refuse(e, now); err != nil {
		return 0, err
	}
	q.lastTicket++
	q.insert(e)
	if q.settings.forecast > 0 && w.Arrived.IsZero() {
		q.arrivals.add(e.class(), w, e.due.Sub(now), q.estimator.serviceTime(w).Seconds(), now, q.settings.forecast)
	}
	if q.settings.admit != nil {
		e.charge = q.estimator.serviceTime(w)
		q.settings.admit.Charge(w, e.charge, now)
	}
	return e.ticket, nil
}

// Pop returns the work to start now and counts it as running until Done or
// Cancel. It returns false when nothing waits or no slot is free for what waits.
func (q *Queue[T]) Pop(now time.Time) (item T, ticket uint64, ok bool) {
	if q.paused {
		return item, 0, false
	}
	q.demote(now)
	for i, e := range q.waiting {
		if q.tooLate(e, now) || !q.slots.Fits(e.work) {
			continue
		}
		q.waiting = slices.Delete(q.waiting, i, i+1)
		q.resizeWaiting(-e.work.Bytes)
		q.slots.Start(e.work)
		e.startedAt = now
		q.running[e.ticket] = e
		return e.item, e.ticket, true
	}
	return item, 0, false
}

// Expire passes the waiting work that is given up to refuse, with its refusal,
// which is to be sent at once. None of it has run.
func (q *Queue[T]) Expire(now time.Time, refuse func(T, *fault.NotRunError)) {
	q.demote(now)
	var excluded, late, overtaken []*entry[T]
	q.waiting = slices.DeleteFunc(q.waiting, func(e *entry[T]) bool {
		switch {
		case q.excluded(e):
			// The endpoint was reserved for live work after this work arrived.
			// Without a deadline it would wait for as long as that lasts.
			excluded = append(excluded, e)
		case q.tooLate(e, now):
			late = append(late, e)
		case q.overtaken(e, now):
			overtaken = append(overtaken, e)
		default:
			return false
		}
		return true
	})
	for _, e := range excluded {
		q.drop(e, CauseSaturated, reasonNoSlot, noSlotDelay, now)
	}
	for _, e := range late {
		q.drop(e, CauseSaturated, "the work can no longer end before its deadline", q.backlog(now), now)
	}
	for _, e := range overtaken {
		q.drop(e, CauseSaturated, "work that can end by its objective takes the slots", q.backlog(now), now)
	}
	dropped := q.dropped
	q.dropped = nil
	for _, d := range dropped {
		refuse(d.item, d.err)
	}
}

// NextExpiry returns when Expire will next give up work, and false when no waiting work
// has a deadline.
func (q *Queue[T]) NextExpiry() (at time.Time, ok bool) {
	for _, e := range q.waiting {
		if e.work.Deadline.IsZero() || e.probe {
			continue
		}
		t := e.work.Deadline.Add(-q.estimator.serviceTime(e.work))
		if review := reviewAt(e); !e.reviewed && !e.work.Objective.IsZero() && review.Before(t) {
			t = review
		}
		if !ok || t.Before(at) {
			at, ok = t, true
		}
	}
	return at, ok
}

// Done ends running work that generated the given number of tokens, and updates
// the estimates with it.
func (q *Queue[T]) Done(ticket uint64, generated int64, now time.Time) {
	e, ok := q.running[ticket]
	if !ok {
		return
	}
	delete(q.running, ticket)
	q.slots.Finish(e.work)
	took := now.Sub(e.startedAt)
	if f := q.settings.maxObservation; f > 0 {
		took = min(took, scale(q.estimator.serviceTime(e.work), f))
	}
	if generated > 0 {
		if !e.work.Objective.IsZero() && len(q.waiting) > 0 && q.stalled(now) >= q.interruption(e) {
			q.resumedAt = now
		}
		q.lastDone = now
	}
	q.estimator.observe(e.work, generated, took)
}

// Withdraw removes running work that has not run after all, and reverses its
// caller's charge.
func (q *Queue[T]) Withdraw(ticket uint64, now time.Time) {
	e, ok := q.running[ticket]
	if !ok {
		return
	}
	delete(q.running, ticket)
	q.slots.Finish(e.work)
	q.refund(e, now)
}

// Pause sets whether work may start. While it may not, it waits, and is given up
// as any other work is.
func (q *Queue[T]) Pause(paused bool) {
	q.paused = paused
}

// Paused reports whether Pause keeps work from starting.
func (q *Queue[T]) Paused() bool { return q.paused }

// Idle reports whether new work would start at once: a slot is open to it and nothing
// waits.
func (q *Queue[T]) Idle(w work.Work) bool {
	return !q.paused && len(q.waiting) == 0 && q.slots.Fits(w)
}

// Waiting returns the amount of waiting work.
func (q *Queue[T]) Waiting() int { return len(q.waiting) }

// ServiceTime returns the estimated time that the work takes on a slot.
func (q *Queue[T]) ServiceTime(w work.Work) time.Duration { return q.estimator.serviceTime(w) }

// Cancel removes waiting or running work without updating the estimates. It
// reports whether the work was found.
func (q *Queue[T]) Cancel(ticket uint64, now time.Time) bool {
	if e, ok := q.running[ticket]; ok {
		delete(q.running, ticket)
		q.slots.Finish(e.work)
		return true
	}
	i := slices.IndexFunc(q.waiting, func(e *entry[T]) bool { return e.ticket == ticket })
	if i < 0 {
		return false
	}
	q.refund(q.waiting[i], now)
	q.resizeWaiting(-q.waiting[i].work.Bytes)
	q.waiting = slices.Delete(q.waiting, i, i+1)
	return true
}

// Load returns the load that the sidecar reports with each reply.
func (q *Queue[T]) Load(now time.Time) *wire.DoorLoad {
	ahead := 0.0
	live := int64(0)
	for _, e := range q.running {
		ahead += q.estimator.remaining(e.work, now.Sub(e.startedAt)).Seconds() * q.estimator.rate()
		live += liveCount(e.work)
	}
	for _, e := range q.waiting {
		ahead += q.estimator.tokens(e.work)
		live += liveCount(e.work)
	}
	return &wire.DoorLoad{
		Slots:       int64(q.slots.Total()),
		Running:     int64(len(q.running)),
		Waiting:     int64(len(q.waiting)),
		AheadTokens: int64(ahead),
		LiveWork:    live,
	}
}

func liveCount(w work.Work) int64 {
	if w.Live() {
		return 1
	}
	return 0
}

func (q *Queue[T]) insert(e *entry[T]) {
	// Work that returns has waited since it arrived.
	if len(q.waiting) == 0 || e.pushedAt.Before(q.waitingSince) {
		q.waitingSince = e.pushedAt
	}
	i, _ := slices.BinarySearchFunc(q.waiting, e, q.compare)
	q.waiting = slices.Insert(q.waiting, i, e)
	q.resizeWaiting(e.work.Bytes)
}

func (q *Queue[T]) resizeWaiting(bytes int64) {
	if q.settings.waitingBytes != nil {
		q.settings.waitingBytes.Add(bytes)
	}
}

// excluded reports whether the division of the slots leaves none to the work.
func (q *Queue[T]) excluded(e *entry[T]) bool {
	return q.slots.Reserved(e.work) >= q.slots.Total()
}

// tooLate reports whether work would miss its deadline if it started now.
func (q *Queue[T]) tooLate(e *entry[T], now time.Time) bool {
	if e.work.Deadline.IsZero() || e.probe {
		return false
	}
	return now.Add(q.estimator.serviceTime(e.work)).After(e.work.Deadline)
}

// refund reverses the caller's charge for work that did not run.
func (q *Queue[T]) refund(e *entry[T], now time.Time) {
	if q.settings.admit != nil {
		q.settings.admit.Refund(e.work, e.charge, now)
	}
}

func (q *Queue[T]) drop(e *entry[T], cause, reason string, after time.Duration, now time.Time) {
	q.refund(e, now)
	q.resizeWaiting(-e.work.Bytes)
	q.dropped = append(q.dropped, rejection[T]{item: e.item, err: &fault.NotRunError{
		Cause:      cause,
		Reason:     reason,
		RetryAfter: after,
	}})
}
