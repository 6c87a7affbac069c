package firsts

import (
	"fmt"
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
	NewWithT(t).Expect(ids(items, Order(items, 3))).To(Equal([]string{"c0", "d0", "a0", "a1", "c1", "d1", "b0", "b1"}))
}

// The group with the longest item comes again from an earlier step, and the trainer
// waits for it now. When it starts last, as the one to do without, it finds the engines
// full, and the step ends seconds later.
func TestGroupsThatComeAgainAreNeeded(t *testing.T) {
	items := step(map[string]int{"a": 50, "b": 900, "c": 200, "d": 100}, "b")
	NewWithT(t).Expect(ids(items, Order(items, 3))[:2]).To(Equal([]string{"b0", "d0"}))
}

// A trainer that asks for nothing, or for more groups than there are, still has every
// item started once.
func TestEveryItemOnce(t *testing.T) {
	items := step(map[string]int{"a": 1, "b": 2, "c": 3, "d": 4})
	for _, desired := range []int{-1, 0, 4, 99} {
		NewWithT(t).Expect(ids(items, Order(items, desired))).To(ConsistOf("a0", "a1", "b0", "b1", "c0", "c1", "d0", "d1"))
	}
}
