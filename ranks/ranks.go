// Package ranks decides which scoring calls go first, and how many go at once.
//
// The load it answers: the short items of a step, eighty texts of seven events each,
// end within a second, and each then takes a place at a scoring service for a fifth of
// a second; callers who wait for an answer in 150 ms share these places. Without a
// bound such a burst fills every place and the queues behind them, and answers to
// callers come late. Without an order the calls that do go are those of many groups, and
// a group is worth nothing until its last item is scored.
//
// The package has no clock and no network.
package ranks

import (
	"cmp"
	"slices"
)

// share is the part of a service's places that scoring calls of one instance may take.
// At half, a burst of three steps of eighty calls each, of 200 ms, passes through 45
// places in 1.1 s, and callers find places free.
const share = 0.5

// Call is a scoring call that waits.
type Call struct {
	// Missing is how many items of the call's group lack their score, this one
	// included.
	Missing int
	// Order is the order in which the texts became whole.
	Order int
}

// Sort puts the calls first whose group is nearest to whole, and of those the ones
// that wait for longest.
//
//	ranks.Sort(calls, func(c waiting) ranks.Call { return c.rank })
//	calls = calls[:min(len(calls), ranks.Most(places))]
func Sort[T any](waiting []T, rank func(T) Call) {
	slices.SortStableFunc(waiting, func(a, b T) int {
		x, y := rank(a), rank(b)
		return cmp.Or(cmp.Compare(x.Missing, y.Missing), cmp.Compare(x.Order, y.Order))
	})
}

// Most is how many calls one instance has under way at a service with so many places;
// at least one, so that a service with a single place is used.
func Most(places int) int { return max(1, int(share*float64(places))) }
