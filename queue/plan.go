package queue

import (
	"fmt"
	"slices"
	"time"

	"github.com/lavendermux/lavendermux/fault"
)

// planner predicts when the slots come free. It keeps its memory between
// predictions, so that one costs no allocation.
type planner struct {
	free []time.Duration
}

// refuse returns why the work can't be let in, or nil. Work of a lower rank
// that the new work pushes past its deadline is given up at once.
func (q *Queue[T]) refuse(e *entry[T], now time.Time) error {
	if len(q.waiting) >= q.settings.limit && !q.displaceLast(e, now) {
		return q.saturated(q.backlog(now), "as much work waits as may wait")
	}
	if e.work.Deadline.IsZero() {
		return nil
	}
	service := q.pace.service(e.work)
	budget := e.work.Deadline.Sub(now)
	if service > budget {
		return &fault.NotRunError{
			Cause:      CauseTooLong,
			Reason:     fmt.Sprintf("the work takes about %s and has %s", service, budget),
			RetryAfter: q.backlog(now),
		}
	}
	late, victims := q.predict(e, now)
	if late > 0 {
		return q.saturated(late, "the work would end after its deadline")
	}
	for _, v := range victims {
		q.waiting = slices.DeleteFunc(q.waiting, func(w *entry[T]) bool { return w == v })
		q.drop(v, CauseDisplaced, "work of a higher rank came later", now)
	}
	return nil
}

func (q *Queue[T]) saturated(after time.Duration, reason string) error {
	return &fault.NotRunError{Cause: CauseSaturated, Reason: reason, RetryAfter: after}
}

// displaceLast gives up the last waiting work for work that outranks it.
func (q *Queue[T]) displaceLast(e *entry[T], now time.Time) bool {
	if len(q.waiting) == 0 {
		return false
	}
	last := q.waiting[len(q.waiting)-1]
	if !q.outranks(e, last) {
		return false
	}
	q.waiting = q.waiting[:len(q.waiting)-1]
	q.drop(last, CauseDisplaced, "work of a higher rank came later", now)
	return true
}

// predict returns by how much the work, or work of its own or a higher rank
// behind it, would be late, and which work of a lower rank it would make late.
func (q *Queue[T]) predict(e *entry[T], now time.Time) (late time.Duration, victims []*entry[T]) {
	q.start(now)
	e.ticket = q.last + 1
	at, _ := slices.BinarySearchFunc(q.waiting, e, q.compare)
	for _, w := range q.waiting[:at] {
		q.place(w)
	}
	late = q.lateness(e, now)
	if late > 0 {
		return late, nil
	}
	for _, w := range q.waiting[at:] {
		behind := q.lateness(w, now)
		if behind <= 0 {
			continue
		}
		if !q.outranks(e, w) {
			return behind, nil
		}
		victims = append(victims, w)
	}
	return 0, victims
}

// start sets up the slots as they will come free from the running work.
func (q *Queue[T]) start(now time.Time) {
	free := q.plan.free[:0]
	for _, r := range q.running {
		free = append(free, q.pace.left(r.work, now.Sub(r.started)))
	}
	for len(free) < q.slots.Total() {
		free = append(free, 0)
	}
	slices.Sort(free)
	q.plan.free = free
}

// place puts work on the first slot that it may take and returns when it ends.
func (q *Queue[T]) place(e *entry[T]) time.Duration {
	free := q.plan.free
	if len(free) == 0 {
		return noDeadline
	}
	i := min(q.slots.Kept(e.work), len(free)-1)
	end := free[i] + q.pace.service(e.work)
	free = slices.Delete(free, i, i+1)
	at, _ := slices.BinarySearch(free, end)
	q.plan.free = slices.Insert(free, at, end)
	return end
}

func (q *Queue[T]) lateness(e *entry[T], now time.Time) time.Duration {
	end := q.place(e)
	if e.work.Deadline.IsZero() {
		return 0
	}
	return now.Add(end).Sub(e.work.Deadline)
}

// backlog is how long all that runs and waits will keep every slot taken.
func (q *Queue[T]) backlog(now time.Time) time.Duration {
	q.start(now)
	for _, w := range q.waiting {
		q.place(w)
	}
	if len(q.plan.free) == 0 {
		return noDeadline
	}
	return q.plan.free[0]
}
