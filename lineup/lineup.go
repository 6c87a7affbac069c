// Package lineup hands out the slots of many endpoints in the order of their scores.
//
// A batch of two hundred items that starts on four hundred engines asks for the best
// endpoint two hundred times. With a scan of all endpoints for each item the cost is the
// product of the two; a heap of endpoints makes it n log n.
//
// The package uses neither a clock nor the network.
package lineup

import (
	"cmp"
	"container/heap"

	"github.com/lavendermux/lavendermux/place"
)

type (
	// Lineup holds candidates in the order of their scores, which follow the runs that are
	// added. It is not safe for concurrent use. See New.
	Lineup struct {
		picker *place.Picker
		order  order
	}

	// order is a heap of candidates with a free slot.
	order struct {
		candidates []place.Candidate
		// scores has the score of each candidate, heap the indices of those with a free
		// slot, and positions the place of each index in heap; -1 for full ones.
		scores    []float64
		heap      []int
		positions []int
	}
)

// New returns a lineup of candidates, which it modifies. Like the picker it prefers those
// that need not be avoided, and then those with the lowest score.
//
//	l := lineup.New(place.New(), candidates)
//	i, ok := l.Take()
func New(picker *place.Picker, candidates []place.Candidate) *Lineup {
	l := &Lineup{picker: picker, order: order{
		candidates: candidates,
		scores:     make([]float64, len(candidates)),
		heap:       make([]int, 0, len(candidates)),
		positions:  make([]int, len(candidates)),
	}}
	for i, c := range candidates {
		l.order.scores[i], l.order.positions[i] = picker.Score(c), -1
		if c.Running < c.Slots {
			l.order.positions[i] = len(l.order.heap)
			l.order.heap = append(l.order.heap, i)
		}
	}
	heap.Init(&l.order)
	return l
}

// Take returns the index of the best candidate and adds a run to it. ok is false if none
// has a free slot.
func (l *Lineup) Take() (index int, ok bool) {
	if len(l.order.heap) == 0 {
		return 0, false
	}
	index = l.order.heap[0]
	l.Add(index)
	return index, true
}

// Add adds a run to a candidate.
func (l *Lineup) Add(index int) {
	o := &l.order
	o.candidates[index].Running++
	o.scores[index] = l.picker.Score(o.candidates[index])
	at := o.positions[index]
	switch {
	case at < 0:
	case o.candidates[index].Running >= o.candidates[index].Slots:
		heap.Remove(o, at)
	default:
		heap.Fix(o, at)
	}
}

// Best returns the index of the best candidate other than except, and adds nothing to it.
// ok is false if no other one has a free slot.
func (l *Lineup) Best(except int) (index int, ok bool) {
	const children = 2
	o := &l.order
	if len(o.heap) > 0 && o.heap[0] != except {
		return o.heap[0], true
	}
	// The second best is a child of the root.
	for at := 1; at <= children && at < len(o.heap); at++ {
		if !ok || o.before(o.heap[at], index) {
			index, ok = o.heap[at], true
		}
	}
	return index, ok
}

// before reports whether candidate i is better than candidate j.
func (o *order) before(i, j int) bool {
	a, b := o.candidates[i], o.candidates[j]
	if a.Avoid != b.Avoid {
		return b.Avoid
	}
	return cmp.Or(cmp.Compare(o.scores[i], o.scores[j]), cmp.Compare(i, j)) < 0
}

// Len implements heap.Interface.
func (o *order) Len() int { return len(o.heap) }

// Less implements heap.Interface.
func (o *order) Less(a, b int) bool { return o.before(o.heap[a], o.heap[b]) }

// Swap implements heap.Interface.
func (o *order) Swap(a, b int) {
	o.heap[a], o.heap[b] = o.heap[b], o.heap[a]
	o.positions[o.heap[a]], o.positions[o.heap[b]] = a, b
}

// Push implements heap.Interface. Candidates never come back: slots are only taken.
func (o *order) Push(any) { panic("lineup: candidates are never pushed") }

// Pop implements heap.Interface.
func (o *order) Pop() any {
	last := o.heap[len(o.heap)-1]
	o.heap = o.heap[:len(o.heap)-1]
	o.positions[last] = -1
	return last
}
