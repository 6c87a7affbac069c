// Package prio determines the order in which the items of a step start.
//
// A typical step has eighty items in ten groups. One item in twenty is twenty times as
// long as the median, and half of the items can run at once. The trainer continues when
// nine groups are complete, so the longest item of those groups determines the step time.
// An item that queues for a second ends a second later and delays every dependent step.
// The order is therefore longest processing time first among the required groups.
//
// Groups resubmitted from an earlier step are those that step did not need, mostly the
// ones with the longest items; now the trainer requires them regardless of the others.
// Ordered by length alone they would count as optional again and start last, two seconds
// late on full engines.
//
// A step may exceed what the engines can generate before its results are due, after the
// loss of half of the engines or on an undersized fleet. Starting the longest items first
// then starts every group and completes few in time, and an incomplete group is worthless.
// In this case groups run one after the other, the one with the least work first: with
// engines for half of a step, half of its groups complete in time instead of one in eight.
//
// The package uses neither a clock nor the network.
package prio

import (
	"cmp"
	"slices"
)

// Item describes an item of a step for ordering.
type Item struct {
	ID    string
	Group string
	// RemainingTokens is the expected remaining output in tokens. It is accurate only at the
	// median; 0 if unknown.
	RemainingTokens int
	// Resubmitted marks items of groups that were resubmitted from an earlier step.
	Resubmitted bool
}

// Order returns the indexes of items in starting order. The required groups come first:
// resubmitted groups and then those expected to end soonest, up to desired groups in
// total. Among the items of required groups, and among all others, the longest come
// first.
//
// capacity is the output in tokens that can be generated before the results are due, or
// math.MaxInt without a deadline. If the expected output of the required groups exceeds
// it, the order is by group, the one with the least work first.
//
//	for _, i := range prio.Order(items, 9, capacity) {
//		start(items[i])
//	}
func Order(items []Item, desired, capacity int) []int {
	needed := requiredGroups(items, desired)
	order := make([]int, len(items))
	for i := range order {
		order[i] = i
	}
	work, sum := make(map[string]int), 0
	for _, it := range items {
		work[it.Group] += it.RemainingTokens
		if needed[it.Group] {
			sum += it.RemainingTokens
		}
	}
	if sum > capacity {
		slices.SortStableFunc(order, func(a, b int) int {
			x, y := items[a], items[b]
			return cmp.Or(
				cmp.Compare(work[x.Group], work[y.Group]),
				cmp.Compare(x.Group, y.Group),
				-cmp.Compare(x.RemainingTokens, y.RemainingTokens))
		})
		return order
	}
	slices.SortStableFunc(order, func(a, b int) int {
		x, y := items[a], items[b]
		return cmp.Or(
			-cmp.Compare(boolToInt(needed[x.Group]), boolToInt(needed[y.Group])),
			-cmp.Compare(x.RemainingTokens, y.RemainingTokens))
	})
	return order
}

// group summarizes a group by its longest item.
type group struct {
	id          string
	resubmitted bool
	longest     int
}

// requiredGroups returns the IDs of the groups that the trainer requires: at most desired,
// resubmitted groups first, then those whose longest item is shortest.
func requiredGroups(items []Item, desired int) map[string]bool {
	index := make(map[string]int)
	var groups []group
	for _, it := range items {
		i, ok := index[it.Group]
		if !ok {
			i = len(groups)
			index[it.Group] = i
			groups = append(groups, group{id: it.Group})
		}
		groups[i].longest = max(groups[i].longest, it.RemainingTokens)
		groups[i].resubmitted = groups[i].resubmitted || it.Resubmitted
	}
	slices.SortFunc(groups, func(a, b group) int {
		return cmp.Or(
			-cmp.Compare(boolToInt(a.resubmitted), boolToInt(b.resubmitted)),
			cmp.Compare(a.longest, b.longest),
			cmp.Compare(a.id, b.id))
	})
	needed := make(map[string]bool)
	for _, g := range groups[:min(max(0, desired), len(groups))] {
		needed[g.id] = true
	}
	return needed
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}
