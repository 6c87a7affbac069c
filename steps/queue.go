package steps

import (
	"container/heap"
	"time"
)

type (
	event struct {
		at time.Time
		do func()
		n  int
	}

	// queue is a heap of events by time, those of one time in the order in which
	// they were added.
	queue []event
)

func (q queue) Len() int { return len(q) }

func (q queue) Less(i, j int) bool {
	if q[i].at.Equal(q[j].at) {
		return q[i].n < q[j].n
	}
	return q[i].at.Before(q[j].at)
}

func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push is part of heap.Interface.
func (q *queue) Push(x any) { *q = append(*q, x.(event)) }

// Pop is part of heap.Interface.
func (q *queue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

func (p *Play) at(t time.Time, do func()) {
	p.order++
	heap.Push(&p.events, event{at: t, do: do, n: p.order})
}
