package steps

import (
	"container/heap"
	"time"
)

type (
	event struct {
		at  time.Time
		do  func()
		seq int
	}

	// queue is a heap of events by time; events of the same time keep the order in
	// which they were added.
	queue []event
)

func (q queue) Len() int { return len(q) }

func (q queue) Less(i, j int) bool {
	if q[i].at.Equal(q[j].at) {
		return q[i].seq < q[j].seq
	}
	return q[i].at.Before(q[j].at)
}

func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *queue) Push(x any) { *q = append(*q, x.(event)) }

// Pop implements heap.Interface.
func (q *queue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

func (p *Scenario) at(t time.Time, do func()) {
	p.eventSeq++
	heap.Push(&p.events, event{at: t, do: do, seq: p.eventSeq})
}
