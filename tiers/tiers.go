// Package tiers chooses from whom an instance reads the metadata store.
//
// The load it answers: a watch that waits costs the store a call however little
// changes, so that a few instances, the readers, watch it for all. Each other instance
// has a question open at its source, and asks again twice a second. With all followers
// at the first reader that one answered 270 questions a second at 68 instances, and at
// 350 it would spend a quarter of a processor on them. Here the readers serve relays,
// and the relays serve the others: at 350 instances nobody serves more than 20.
//
// An answer takes a round trip more for each tier. What it costs in age where somebody
// is cut off doesn't add up: each tier tells how old its own copy is, and whoever gets
// too old an answer asks another source at once.
//
// The package has no network and no clock.
package tiers

import (
	"cmp"
	"math"
	"slices"

	"github.com/lavendermux/lavendermux/mesh"
	"github.com/lavendermux/lavendermux/rendez"
)

const (
	// readers is how many instances watch the store. Any two of them may be lost or
	// cut off at once.
	readers = 3
	// few is the number of entries up to which all others ask the readers themselves:
	// eight followers each.
	few = 27
	// strongShare is the power, as a share of the strongest machine's, from which on a
	// machine should serve others.
	strongShare = 0.75
)

// Sources returns the entries that self may read from, the first one first, or none if it
// reads the store itself. All that know the same entries choose alike.
//
//	sources := tiers.Sources("entry-9", entries)
func Sources(self string, entries []mesh.Node) []mesh.Node {
	order := byStrength(entries)
	first := order[:min(readers, len(order))]
	is := func(n mesh.Node) bool { return n.Name == self }
	if slices.ContainsFunc(first, is) {
		return nil
	}
	rest := order[len(first):]
	relays := rest[:relaysOf(len(entries))]
	if len(relays) == 0 || slices.ContainsFunc(relays, is) {
		return rotated(self, first)
	}
	return rotated(self, relays)
}

// relaysOf is how many of n entries are relays. With the root of n each tier has as many
// followers as the next.
func relaysOf(n int) int {
	if n <= few {
		return 0
	}
	return min(n-readers, int(math.Ceil(math.Sqrt(float64(n)))))
}

// byStrength orders entries so that strong machines come first, equals by name.
func byStrength(entries []mesh.Node) []mesh.Node {
	strongest := 0.0
	for _, n := range entries {
		strongest = max(strongest, n.Power)
	}
	weak := func(n mesh.Node) int {
		if n.Power >= strongShare*strongest {
			return 0
		}
		return 1
	}
	return slices.SortedFunc(slices.Values(entries), func(a, b mesh.Node) int {
		return cmp.Or(cmp.Compare(weak(a), weak(b)), cmp.Compare(a.Name, b.Name))
	})
}

// rotated has each follower begin at a source of its own, so that the sources share them.
func rotated(self string, sources []mesh.Node) []mesh.Node {
	return rendez.Order(self, sources, func(n mesh.Node) string { return n.Name })
}
