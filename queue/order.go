package queue

import "cmp"

// order is how work of one kind and priority is ordered; the measurements
// compare the ones that were weighed.
type order int

const (
	orderLatestStart order = iota
	orderArrival
	orderDeadline
	orderShortest
)

// outranks reports whether the first kind and priority always go before the
// second.
func (q *Queue[T]) outranks(a, b *entry[T]) bool {
	if a.work.Live() != b.work.Live() {
		return a.work.Live()
	}
	return a.work.Priority > b.work.Priority
}

func (q *Queue[T]) compare(a, b *entry[T]) int {
	switch {
	case q.outranks(a, b):
		return -1
	case q.outranks(b, a):
		return 1
	}
	if c := cmp.Compare(q.key(a), q.key(b)); c != 0 {
		return c
	}
	return cmp.Compare(a.ticket, b.ticket)
}

// key is least for what goes first.
func (q *Queue[T]) key(e *entry[T]) int64 {
	deadline := e.work.Deadline
	if deadline.IsZero() {
		deadline = e.pushed.Add(noDeadline)
	}
	switch q.settings.order {
	case orderArrival:
		return 0
	case orderDeadline:
		return deadline.UnixNano()
	case orderShortest:
		return int64(q.pace.tokens(e.work))
	default:
		return deadline.Add(-q.pace.service(e.work)).UnixNano()
	}
}
