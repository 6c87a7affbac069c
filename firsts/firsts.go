// Package firsts decides in which order the items of a step start.
//
// The load it answers: a step has eighty items in ten groups, one in twenty of them
// twenty times as long as the median, and places for half of them at once. The trainer
// goes on when nine groups are whole, and the longest item among those decides when. An
// item that waits for a place for a second ends a second later, and each step that
// waits for this one with it.
//
// Groups that come again from an earlier step are the ones that step could do without,
// mostly those with the longest items; now the trainer waits for them whatever else is
// whole. Ordered by length alone they count as the ones to do without once more, and
// start last: two seconds late on engines that are full.
//
// Another load is a step that is more than the engines can make until its results are
// due, after half of them were lost or on a fleet that is too small. With the longest
// items first every group is begun and few end in time, and a group that isn't whole is
// worth nothing. The groups then go one after the other, the one with least work first:
// on engines for half of a step, half of its groups end in time instead of one in eight.
//
// The package has no clock and no network.
package firsts

import (
	"cmp"
	"slices"
)

// Item is what is known about an item before it starts.
type Item struct {
	ID    string
	Group string
	// Expected is the expected output, less what is there; right at the median only, 0
	// if unknown.
	Expected int
	// Again marks items of groups that come again.
	Again bool
}

// Order returns the indexes of items in the order in which they should start. First
// come the groups that the trainer waits for: those that come again, and of the others
// the ones expected to end soonest, desired in all. Among these the longest items come
// first, and so they do among the rest.
//
// room is the output that can be made until the results are due, math.MaxInt if there is
// no such time. When the groups that the trainer waits for are more than that, the order
// is by groups, the smallest first.
//
//	for _, i := range firsts.Order(items, 9, room) {
//		start(items[i])
//	}
func Order(items []Item, desired, room int) []int {
	needed := neededGroups(items, desired)
	order := make([]int, len(items))
	for i := range order {
		order[i] = i
	}
	work, sum := make(map[string]int), 0
	for _, it := range items {
		work[it.Group] += it.Expected
		if needed[it.Group] {
			sum += it.Expected
		}
	}
	if sum > room {
		slices.SortStableFunc(order, func(a, b int) int {
			x, y := items[a], items[b]
			return cmp.Or(
				cmp.Compare(work[x.Group], work[y.Group]),
				cmp.Compare(x.Group, y.Group),
				-cmp.Compare(x.Expected, y.Expected))
		})
		return order
	}
	slices.SortStableFunc(order, func(a, b int) int {
		x, y := items[a], items[b]
		return cmp.Or(
			-cmp.Compare(number(needed[x.Group]), number(needed[y.Group])),
			-cmp.Compare(x.Expected, y.Expected))
	})
	return order
}

// group is a group by its longest item.
type group struct {
	id      string
	again   bool
	longest int
}

func neededGroups(items []Item, desired int) map[string]bool {
	at := make(map[string]int)
	var groups []group
	for _, it := range items {
		i, ok := at[it.Group]
		if !ok {
			i = len(groups)
			at[it.Group] = i
			groups = append(groups, group{id: it.Group})
		}
		groups[i].longest = max(groups[i].longest, it.Expected)
		groups[i].again = groups[i].again || it.Again
	}
	slices.SortFunc(groups, func(a, b group) int {
		return cmp.Or(
			-cmp.Compare(number(a.again), number(b.again)),
			cmp.Compare(a.longest, b.longest),
			cmp.Compare(a.id, b.id))
	})
	needed := make(map[string]bool)
	for _, g := range groups[:min(max(0, desired), len(groups))] {
		needed[g.id] = true
	}
	return needed
}

func number(b bool) int {
	if b {
		return 1
	}
	return 0
}
