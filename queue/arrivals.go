package queue

import (
	"math/bits"
	"time"

	"github.com/lavendermux/lavendermux/work"
)

const (
	// kindCount is the number of work kinds: live work and rollouts.
	kindCount = 2
	// rankCount is the number of classes by objective and share: see entry.class.
	rankCount = 4
	// classCount is the number of classes of work by the time from its arrival until
	// it is due. Each class spans twice the time of the one before; the first ends at
	// a millisecond.
	classCount = 28
)

type (
	// arrivals measures the service time of the work admitted per second, by kind, by
	// objective and share, and by due time.
	arrivals struct {
		meters [kindCount][rankCount][classCount]meter
		// ranks is the number of ranks in use: 1 until there is work with an objective.
		ranks int
	}

	// shares has the part of the slots that remains for work.
	shares [kindCount][rankCount][classCount]float64
)

func kindIndex(w work.Work) int {
	if w.Live() {
		return 0
	}
	return 1
}

func classIndex(due time.Duration) int {
	return min(bits.Len64(uint64(max(due, 0)/time.Millisecond)), classCount-1)
}

func (a *arrivals) add(rank int, w work.Work, due time.Duration, seconds float64, now time.Time, timeConstant float64) {
	a.meters[kindIndex(w)][rank][classIndex(due)].add(seconds, now, timeConstant)
}

// forecast sets left to the share of the slots that remains for each class after
// the work that is due sooner and, for rollouts, after all live work.
func (a *arrivals) forecast(left *shares, now time.Time, timeConstant, slots float64) {
	used := 0.0
	for k := range kindCount {
		for r := range max(a.ranks, 1) {
			least := minShareLeft
			if r > 0 {
				least = minLateShareLeft
			}
			share := max(1-used/max(slots, 1), least)
			for c := range classCount {
				left[k][r][c] = share
				if m := &a.meters[k][r][c]; timeConstant > 0 && !m.last.IsZero() {
					used += m.at(now, timeConstant)
					share = max(1-used/max(slots, 1), least)
				}
			}
		}
	}
}
