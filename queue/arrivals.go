package queue

import (
	"math/bits"
	"time"

	"github.com/lavendermux/lavendermux/work"
)

const (
	// kinds are live work and rollouts.
	kinds = 2
	// classes are those of work by how long after its arrival it is due, each
	// twice as long as the one before, from a millisecond on.
	classes = 28
)

// arrivals measures the slot time that was let in each second, by kind and class.
type arrivals [kinds][classes]meter

func kind(w work.Work) int {
	if w.Live() {
		return 0
	}
	return 1
}

func class(due time.Duration) int {
	return min(bits.Len64(uint64(max(due, 0)/time.Millisecond)), classes-1)
}

func (a *arrivals) add(w work.Work, due time.Duration, seconds float64, now time.Time, memory float64) {
	a[kind(w)][class(due)].add(seconds, now, memory)
}

// forecast fills in the share of the slots that is left to each class by what is
// due sooner, and to rollouts by all live work as well.
func (a *arrivals) forecast(left *[kinds][classes]float64, now time.Time, memory, slots float64) {
	taken := 0.0
	for k := range kinds {
		for c := range classes {
			left[k][c] = max(1-taken/max(slots, 1), leastLeft)
			if memory > 0 {
				taken += a[k][c].at(now, memory)
			}
		}
	}
}
