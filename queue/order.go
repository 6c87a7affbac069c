package queue

import (
	"cmp"
	"slices"
	"time"
)

const (
	// objectiveMargin is the multiple of its estimated service time that work needs to end
	// by its objective: plain requests take 1.5 times their mean in one case of seven.
	objectiveMargin = 1.5
	// maxReserve is the greatest part of the time from arrival to objective that is kept
	// for the service itself.
	maxReserve = 0.6
	// reviewFactor is the multiple of the time until its objective after which late work is
	// refused if other work goes before it all the time: callers learn of it in time for
	// another attempt. Work that has waited through an interruption may wait on.
	reviewFactor = 5.0 / 3
	// interruptionServices is the least duration of an interruption in service times. At an
	// entry with a single slot of overloaded endpoints, work ends every two or three.
	interruptionServices = 5
	// stallPart is the part of an interruption after which predictions allow for it.
	stallPart = 0.4
	// minLateShare is the share of the slots that must be left to such work.
	minLateShare = 0.1
)

// outranks reports whether a always precedes b because of its kind or priority.
func (q *Queue[T]) outranks(a, b *entry[T]) bool {
	if a.work.Live() != b.work.Live() {
		return a.work.Live()
	}
	return a.work.Priority > b.work.Priority
}

// compare orders by kind, priority, class and then due time, which is the arrival time
// plus a multiple of the estimated service time. Short work thus overtakes long
// work until the long work has waited in proportion to its length. The multiple
// is greater for callers above their fair share.
func (q *Queue[T]) compare(a, b *entry[T]) int {
	switch {
	case q.outranks(a, b):
		return -1
	case q.outranks(b, a):
		return 1
	}
	if c := cmp.Compare(a.class(), b.class()); c != 0 {
		return c
	}
	if c := a.due.Compare(b.due); c != 0 {
		return c
	}
	return cmp.Compare(a.ticket, b.ticket)
}

// class orders work of the same kind and priority: 0 for work that can end by its
// objective and work without one, 1 for work that can't any more, and 2 and 3 likewise
// for callers above their share. Were work of these in classes 0 and 1, it would go
// before work of other callers that has become late because of it.
func (e *entry[T]) class() int {
	c := 0
	if e.overShare {
		c = 2
	}
	if e.late {
		c++
	}
	return c
}

// rank sets what the order depends on.
func (q *Queue[T]) rank(e *entry[T], now time.Time) {
	unpenalized := scale(q.estimator.serviceTime(e.work), q.settings.stretch)
	penalty := time.Duration(0)
	if q.settings.admit != nil {
		penalty = scale(unpenalized, q.settings.admit.Excess(e.work, now))
	}
	e.due = e.pushedAt.Add(unpenalized + penalty)
	if !e.work.Objective.IsZero() {
		q.arrivals.ranks = rankCount
		e.overShare = e.pushedAt.Add(penalty).After(e.work.Objective)
		e.late = q.missesObjective(e, now)
	}
}

// missesObjective reports whether the work would probably end after its objective if it
// started at the given time.
func (q *Queue[T]) missesObjective(e *entry[T], start time.Time) bool {
	if e.work.Objective.IsZero() {
		return false
	}
	return start.After(q.latestStart(e))
}

// latestStart returns until when work with an objective must start to end by it. An
// estimate that exceeds the objective is mostly that of an overloaded endpoint; if it made
// all work late, all would again be served in the order of arrival.
func (q *Queue[T]) latestStart(e *entry[T]) time.Time {
	reserve := scale(q.estimator.serviceTime(e.work), objectiveMargin)
	reserve = min(reserve, scale(e.objective(), maxReserve))
	return e.work.Objective.Add(-reserve)
}

// objective returns the time from the arrival of the work to its objective.
func (e *entry[T]) objective() time.Duration {
	return e.work.Objective.Sub(e.pushedAt)
}

// interruption returns the time in which no work ends that is an interruption to the work.
func (q *Queue[T]) interruption(e *entry[T]) time.Duration {
	return max(scale(e.objective(), reviewFactor), scale(q.estimator.serviceTime(e.work), interruptionServices))
}

// stalled returns for how long no work has ended while work waited.
func (q *Queue[T]) stalled(now time.Time) time.Duration {
	return min(now.Sub(q.lastDone), now.Sub(q.waitingSince))
}

// reviewAt returns when late work is refused if work that can end by its objective
// has gone before it all the time.
func reviewAt[T any](e *entry[T]) time.Time {
	return e.pushedAt.Add(scale(e.objective(), reviewFactor))
}

// overtaken reports whether work that can end by its objective takes the slots, so that
// waiting on is of no use to late work.
func (q *Queue[T]) overtaken(e *entry[T], now time.Time) bool {
	if !e.late || !now.After(reviewAt(e)) {
		return false
	}
	e.reviewed = true
	if q.stalled(now) >= q.interruption(e) {
		return false
	}
	return e.pushedAt.After(q.resumedAt) || q.shareLeft(e, now) < minLateShare
}

// demote moves waiting work that can no longer end by its objective behind the work that
// can.
func (q *Queue[T]) demote(now time.Time) {
	changed := false
	for _, e := range q.waiting {
		if !e.late && q.missesObjective(e, now) {
			e.late, changed = true, true
		}
	}
	if changed {
		slices.SortStableFunc(q.waiting, q.compare)
	}
}

func scale(d time.Duration, factor float64) time.Duration {
	return time.Duration(float64(d) * factor)
}
