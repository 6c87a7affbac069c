package firsts

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	. "github.com/onsi/gomega"
)

// step is a step of groups of two; lengths has the longer item of each.
func step(lengths map[string]int, again ...string) []Item {
	var items []Item
	for _, g := range []string{"a", "b", "c", "d"} {
		isAgain := false
		for _, x := range again {
			isAgain = isAgain || x == g
		}
		for n, length := range []int{lengths[g], 1} {
			items = append(items, Item{ID: fmt.Sprint(g, n), Group: g, Expected: length, Again: isAgain})
		}
	}
	return items
}

func ids(items []Item, order []int) []string {
	var out []string
	for _, i := range order {
		out = append(out, items[i].ID)
	}
	return out
}

// The trainer waits for three groups of four. The group with the longest item is the
// one that it can do without, and starts last; of the others the longest item starts
// first, as it ends the step.
func TestLongestOfTheNeededFirst(t *testing.T) {
	items := step(map[string]int{"a": 50, "b": 900, "c": 200, "d": 100})
	NewWithT(t).Expect(ids(items, Order(items, 3, math.MaxInt))).To(Equal([]string{"c0", "d0", "a0", "a1", "c1", "d1", "b0", "b1"}))
}

// The group with the longest item comes again from an earlier step, and the trainer
// waits for it now. When it starts last, as the one to do without, it finds the engines
// full, and the step ends seconds later.
func TestGroupsThatComeAgainAreNeeded(t *testing.T) {
	items := step(map[string]int{"a": 50, "b": 900, "c": 200, "d": 100}, "b")
	NewWithT(t).Expect(ids(items, Order(items, 3, math.MaxInt))[:2]).To(Equal([]string{"b0", "d0"}))
}

// A trainer that asks for nothing, or for more groups than there are, still has every
// item started once.
func TestEveryItemOnce(t *testing.T) {
	items := step(map[string]int{"a": 1, "b": 2, "c": 3, "d": 4})
	for _, desired := range []int{-1, 0, 4, 99} {
		NewWithT(t).Expect(ids(items, Order(items, desired, math.MaxInt))).To(ConsistOf("a0", "a1", "b0", "b1", "c0", "c1", "d0", "d1"))
	}
}

// The engines can make half of a step until its results are due, as after the loss of
// half of them. With the longest items first hardly any group is whole in time, and the
// trainer gets next to nothing of a step that was half made.
func TestGroupsOneAfterTheOtherWhenThereIsTooMuch(t *testing.T) {
	g := NewWithT(t)
	const (
		groups, size, places = 40, 8, 20
		longest              = 150
	)
	for seed := range uint64(10) {
		random := rand.New(rand.NewPCG(seed, 7))
		var items []Item
		all := 0
		for i := range groups * size {
			length := 5 + random.IntN(20)
			if random.IntN(20) == 0 {
				length = longest
			}
			all += length
			items = append(items, Item{ID: fmt.Sprint(i), Group: fmt.Sprint(i / size), Expected: length})
		}
		room := all / 2
		due := room / places
		before := wholeBy(items, Order(items, groups*9/10, math.MaxInt), places, due)
		after := wholeBy(items, Order(items, groups*9/10, room), places, due)
		g.Expect(after).To(BeNumerically(">=", groups*2/5), "seed %d", seed)
		g.Expect(after).To(BeNumerically(">", 2*before), "seed %d", seed)
	}
}

// A step that fits is ordered by length, however tight: it ends as soon as its longest
// item does.
func TestStepThatFits(t *testing.T) {
	g := NewWithT(t)
	items := step(map[string]int{"a": 50, "b": 900, "c": 200, "d": 100})
	g.Expect(Order(items, 3, 353)).To(Equal(Order(items, 3, math.MaxInt)))
	g.Expect(ids(items, Order(items, 3, 352))).To(Equal([]string{"a0", "a1", "d0", "d1", "c0", "c1", "b0", "b1"}))
}

// wholeBy plays items in an order on places that make one unit of output a tick each,
// and returns how many groups are whole at the time due.
func wholeBy(items []Item, order []int, places, due int) int {
	missing := make(map[string]int)
	for _, it := range items {
		missing[it.Group]++
	}
	free := make([]int, places) // when each place is free
	for _, i := range order {
		at := 0
		for p := range free {
			if free[p] < free[at] {
				at = p
			}
		}
		free[at] += items[i].Expected
		if free[at] <= due {
			missing[items[i].Group]--
		}
	}
	whole := 0
	for _, n := range missing {
		if n == 0 {
			whole++
		}
	}
	return whole
}
