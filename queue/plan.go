package queue

import (
	"fmt"
	"slices"
	"time"

	"github.com/lavendermux/lavendermux/fault"
)

const (
	// minShareLeft is the lower bound of the share of the slots that the forecast
	// leaves to work, so that a prediction stays finite.
	minShareLeft = 0.02
	// minLateShareLeft is that for work that can't end by its objective. With 0.02, a single
	// one waits until its deadline at an entry with one slot that others take.
	minLateShareLeft = 0.001
	// noSlotDelay is the predicted wait when there is no slot at all: a minute, in
	// which an operator or the platform may have changed that.
	noSlotDelay = time.Minute
	// defaultProbeInterval is the minimum time between two requests that are admitted
	// although the estimate says they are too long. If all of them were, each holding
	// a slot for the 10 s of a short deadline, an endpoint of 32 slots would lose 1%
	// of its capacity.
	defaultProbeInterval = 30 * time.Second
	// maxRetryAfter limits the retry delay sent with a refusal for saturation. A
	// forecast of hours is uncertain while the overload lasts and wrong once a burst is
	// over; delays beyond four minutes did not let more of the returning callers be
	// served.
	maxRetryAfter = 4 * time.Minute
)

// planner predicts when the slots become free. It reuses its memory, so that a
// prediction does not allocate.
type planner struct {
	freeIn []time.Duration
	// remaining is the share of the slots that remains, for each kind and class of
	// due time, after the expected arrivals that precede it.
	remaining shares
	// stalled is the time since work last ended.
	stalled time.Duration
}

// refuse returns why the work can't be admitted, or nil. Admitting it drops
// waiting work that it precedes and that would now finish too late.
func (q *Queue[T]) refuse(e *entry[T], now time.Time) error {
	if q.settings.admit != nil {
		if err := q.settings.admit.Admit(e.work, q.slots.Total(), now); err != nil {
			return err
		}
	}
	// Work to which no slot is open would wait until its deadline, or forever without
	// one.
	if q.excluded(e) {
		return saturated(noSlotDelay, reasonNoSlot)
	}
	if len(q.waiting) >= q.settings.limit && !q.displaceLast(e, now) {
		return saturated(q.backlog(now), "as much work waits as may wait")
	}
	if !q.fitBytes(e, now) {
		return saturated(q.backlog(now), "the requests that wait take as much memory as they may")
	}
	if e.work.Deadline.IsZero() {
		return nil
	}
	serviceTime, budget := q.estimator.serviceTime(e.work), e.work.Deadline.Sub(now)
	if serviceTime > budget && q.mayProbe(e, now) {
		return nil
	}
	if serviceTime > budget {
		return &fault.NotRunError{
			Cause:      CauseTooLong,
			Reason:     fmt.Sprintf("the work takes about %s and has %s", serviceTime, budget),
			RetryAfter: q.backlog(now),
		}
	}
	late, victims := q.predict(e, now)
	if late > 0 {
		return saturated(min(late, maxRetryAfter), "the work would end after its deadline")
	}
	for _, v := range victims {
		q.waiting = slices.DeleteFunc(q.waiting, func(w *entry[T]) bool { return w == v })
	}
	for _, v := range victims {
		q.drop(v, CauseDisplaced, "work that goes before it came later", q.backlog(now), now)
	}
	return nil
}

// mayProbe occasionally admits work that is too long by the estimate, when a slot
// is free and nothing waits. Otherwise a queue whose estimates have grown far too
// great would refuse everything and never observe the finished work that corrects
// them.
func (q *Queue[T]) mayProbe(e *entry[T], now time.Time) bool {
	if !q.Idle(e.work) || now.Sub(q.lastProbe) < q.settings.probeInterval {
		return false
	}
	q.lastProbe = now
	e.probe = true
	return true
}

func saturated(after time.Duration, reason string) error {
	return &fault.NotRunError{Cause: CauseSaturated, Reason: reason, RetryAfter: after}
}

// mayDisplace reports whether e takes the place of waiting work at a limit.
func (q *Queue[T]) mayDisplace(e, waiting *entry[T]) bool {
	return q.outranks(e, waiting) || (q.settings.displaceByDue && q.compare(e, waiting) < 0)
}

// displaceLast drops the last waiting work if e may displace it, and reports whether
// it did.
func (q *Queue[T]) displaceLast(e *entry[T], now time.Time) bool {
	if len(q.waiting) == 0 {
		return false
	}
	last := q.waiting[len(q.waiting)-1]
	if !q.mayDisplace(e, last) {
		return false
	}
	q.waiting = q.waiting[:len(q.waiting)-1]
	q.drop(last, CauseDisplaced, "work that goes before it came later", q.backlog(now), now)
	return true
}

// fitBytes reports whether the size of the work is within the bound if it has to wait. It
// drops waiting work that e may displace if that makes room.
func (q *Queue[T]) fitBytes(e *entry[T], now time.Time) bool {
	if q.settings.waitingBytes == nil || q.Idle(e.work) {
		return true
	}
	excess := q.settings.waitingBytes.Load() + e.work.Bytes - q.settings.maxBytes
	first := len(q.waiting)
	for first > 0 && excess > 0 && q.mayDisplace(e, q.waiting[first-1]) {
		first--
		excess -= q.waiting[first].work.Bytes
	}
	if excess > 0 {
		return false
	}
	for len(q.waiting) > first && q.displaceLast(e, now) {
		continue
	}
	return true
}

// predict returns by how much the work would miss its deadline or, if it meets
// it, the waiting work that would miss its own because of it.
func (q *Queue[T]) predict(e *entry[T], now time.Time) (late time.Duration, victims []*entry[T]) {
	q.planRunning(now)
	at, _ := slices.BinarySearchFunc(q.waiting, e, q.compare)
	for _, w := range q.waiting[:at] {
		q.schedule(w)
	}
	if !e.late && q.missesObjective(e, now.Add(q.nextBegin(e))) {
		e.late = true
		later, _ := slices.BinarySearchFunc(q.waiting, e, q.compare)
		for _, w := range q.waiting[at:later] {
			q.schedule(w)
		}
		at = later
	}
	late = q.lateness(e, now)
	if late > 0 {
		return late, nil
	}
	for _, w := range q.waiting[at:] {
		if q.lateness(w, now) > 0 {
			victims = append(victims, w)
		}
	}
	return 0, victims
}

// planRunning initializes the plan with the times until the running work frees
// its slots.
func (q *Queue[T]) planRunning(now time.Time) {
	freeIn := q.plan.freeIn[:0]
	for _, r := range q.running {
		freeIn = append(freeIn, q.estimator.remaining(r.work, now.Sub(r.startedAt)))
	}
	for len(freeIn) < q.slots.Total() {
		freeIn = append(freeIn, 0)
	}
	slices.Sort(freeIn)
	// After the slots have become fewer, the work that ends first frees none.
	freeIn = freeIn[max(0, len(freeIn)-max(q.slots.Total(), 1)):]
	q.plan.freeIn = freeIn
	q.plan.stalled = q.stalled(now)
	q.arrivals.forecast(&q.plan.remaining, now, q.settings.forecast, float64(q.slots.Total()))
}

// plannedShare returns the share of the slots that the expected arrivals leave to the work.
// For late work it is 1 in an interruption and for what has waited through one: the arrivals
// meanwhile and the slots at its end say nothing about the time after it.
func (q *Queue[T]) plannedShare(e *entry[T]) float64 {
	if e.late && (q.plan.stalled >= scale(q.interruption(e), stallPart) || !e.pushedAt.After(q.resumedAt)) {
		return 1
	}
	return q.plan.remaining[kindIndex(e.work)][e.class()][classIndex(e.due.Sub(e.pushedAt))]
}

// shareLeft returns the share of the slots that the expected arrivals leave to the work.
func (q *Queue[T]) shareLeft(e *entry[T], now time.Time) float64 {
	q.arrivals.forecast(&q.plan.remaining, now, q.settings.forecast, float64(q.slots.Total()))
	return q.plan.remaining[kindIndex(e.work)][e.class()][classIndex(e.due.Sub(e.pushedAt))]
}

// nextBegin returns the time until a slot is free for the work, if it is scheduled next.
func (q *Queue[T]) nextBegin(e *entry[T]) time.Duration {
	freeIn := q.plan.freeIn
	if len(freeIn) == 0 {
		return noSlotDelay
	}
	return freeIn[min(q.slots.Reserved(e.work), len(freeIn)-1)]
}

// schedule assigns the work to the first slot open to it and returns the time
// until it finishes.
func (q *Queue[T]) schedule(e *entry[T]) time.Duration {
	freeIn := q.plan.freeIn
	if len(freeIn) == 0 {
		return noSlotDelay
	}
	i := min(q.slots.Reserved(e.work), len(freeIn)-1)
	begin := freeIn[i]
	serviceTime := q.estimator.serviceTime(e.work)
	if begin > 0 {
		// Trying on a free slot costs nobody anything; only work that has to wait
		// must be likely to finish in time.
		serviceTime = scale(serviceTime, q.settings.margin)
	}
	end := begin + serviceTime
	freeIn = slices.Delete(freeIn, i, i+1)
	at, _ := slices.BinarySearch(freeIn, end)
	q.plan.freeIn = slices.Insert(freeIn, at, end)
	// While work waits, work that precedes it keeps arriving, so the queue ahead
	// drains only with the share of the slots that those arrivals leave. Without this
	// correction rollouts would wait for almost all of their time before the queue
	// knows that they will be late.
	return scale(begin, 1/q.plannedShare(e)) + serviceTime
}

// lateness schedules the work and returns by how much it misses its deadline; a
// result of 0 or less means that it does not.
func (q *Queue[T]) lateness(e *entry[T], now time.Time) time.Duration {
	end := q.schedule(e)
	if e.work.Deadline.IsZero() {
		return 0
	}
	return now.Add(end).Sub(e.work.Deadline)
}

// backlog returns how long running and waiting work will occupy every slot.
func (q *Queue[T]) backlog(now time.Time) time.Duration {
	q.planRunning(now)
	for _, w := range q.waiting {
		q.schedule(w)
	}
	if len(q.plan.freeIn) == 0 {
		return noSlotDelay
	}
	return q.plan.freeIn[0]
}
