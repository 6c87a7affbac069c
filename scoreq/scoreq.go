// Package scoreq prioritizes waiting scoring calls and limits their concurrency.
//
// The short items of a step, eighty texts of seven events each, end within a second, and
// each then occupies a slot of a scoring service for a fifth of a second. The service is
// shared with interactive callers who expect a response within 150 ms. Without a
// concurrency limit such a burst fills all slots and queues, and delays these callers.
// Without priorities the calls are spread over many groups, and a group is worthless until
// its last item is scored.
//
// The package uses neither a clock nor the network.
package scoreq

import (
	"cmp"
	"slices"
)

// maxShare is the share of a service's slots that scoring calls of one instance may use.
// At half, a burst of three steps of eighty calls of 200 ms each passes through 45 slots
// in 1.1 s, and other callers still find free slots.
const maxShare = 0.5

// Call holds the priority of a waiting scoring call.
type Call struct {
	// MissingScores is the number of items of the call's group without a score, including
	// this one.
	MissingScores int
	// Order is the sequence number of the text's completion.
	Order int
}

// Sort sorts waiting calls in place: those of the group closest to completion first,
// and among equals the longest-waiting first.
//
//	scoreq.Sort(calls, func(c waiting) scoreq.Call { return c.rank })
//	calls = calls[:min(len(calls), limit)]
func Sort[T any](waiting []T, rank func(T) Call) {
	slices.SortStableFunc(waiting, func(a, b T) int {
		x, y := rank(a), rank(b)
		return cmp.Or(cmp.Compare(x.MissingScores, y.MissingScores), cmp.Compare(x.Order, y.Order))
	})
}

// MaxConcurrent returns the maximum number of concurrent calls from one instance to a service
// with the given number of slots. It is at least 1, so that a service with a single slot
// is used.
func MaxConcurrent(slots int) int { return max(1, int(maxShare*float64(slots))) }
