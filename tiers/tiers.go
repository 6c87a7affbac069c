// Package tiers builds the distribution tree by which instances read the metadata store.
//
// A long-polling watch costs the store a call however little changes, so only a few
// instances, the readers, watch it for all others. Every other instance keeps a request
// open at its upstream and repeats it twice a second. With all followers at the first
// reader, that one answered 270 requests per second at 68 instances, and at 350 instances
// it would spend a quarter of a processor on them. Therefore the readers serve relays,
// and the relays serve the others: at 350 instances nobody serves more than 20.
//
// The relays stand in all data centres and serve their neighbours, so that what all
// instances read crosses to another data centre once for each relay, not for each instance.
//
// Each tier adds a round trip to an answer. The staleness after a partition does not add
// up over the tiers: each tier reports the age of its own replica, and an instance that
// gets too old an answer asks another upstream at once.
//
// The package uses no network and no clock.
package tiers

import (
	"cmp"
	"math"
	"slices"

	"github.com/lavendermux/lavendermux/mesh"
	"github.com/lavendermux/lavendermux/rendez"
)

const (
	// readerCount is the number of instances that watch the store. Any two of them may
	// fail or be partitioned at the same time.
	readerCount = 3
	// maxTwoTierEntries is the number of entries up to which all others ask the readers
	// directly: eight followers each.
	maxTwoTierEntries = 27
	// strongPowerRatio is the power, relative to the strongest machine, from which on a
	// machine should serve others.
	strongPowerRatio = 0.75
)

// Upstreams returns the entries that self may read from, in order of preference, or none if
// it reads the store itself. All instances that know the same entries compute the same
// tree.
//
//	sources := tiers.Upstreams(self, entries)
func Upstreams(self mesh.Node, entries []mesh.Node) []mesh.Node {
	readers, others := chooseReaders(entries)
	isSelf := func(n mesh.Node) bool { return n.Name == self.Name }
	if slices.ContainsFunc(readers, isSelf) {
		return nil
	}
	relays := chooseRelays(others, relayCount(len(entries)))
	if len(relays) == 0 || slices.ContainsFunc(relays, isSelf) {
		return orderFor(self, readers)
	}
	return orderFor(self, relays)
}

// OtherReaders returns the readers among entries but self, those after it in the order of names first,
// so that each of them reads from another one.
func OtherReaders(self mesh.Node, entries []mesh.Node) []mesh.Node {
	readers, _ := chooseReaders(entries)
	others := slices.DeleteFunc(readers, func(n mesh.Node) bool { return n.Name == self.Name })
	slices.SortFunc(others, func(a, b mesh.Node) int {
		if before := a.Name < self.Name; before != (b.Name < self.Name) {
			if before {
				return 1
			}
			return -1
		}
		return cmp.Compare(a.Name, b.Name)
	})
	return others
}

// relayCount returns the number of relays among n entries. With the square root of n,
// each tier has as many followers per instance as the next.
func relayCount(n int) int {
	if n <= maxTwoTierEntries {
		return 0
	}
	return min(n-readerCount, int(math.Ceil(math.Sqrt(float64(n)))))
}

// chooseReaders returns the readers, strong machines of different data centres if possible,
// and the other entries.
func chooseReaders(entries []mesh.Node) (readers, others []mesh.Node) {
	order := spread(entries, func(rank, _ int) float64 { return float64(rank) })
	n := min(readerCount, len(order))
	return order[:n], order[n:]
}

// chooseRelays returns n relays among entries, strong machines if possible, from each data
// centre in proportion to its entries: most then have one nearby, and only the relays read
// from another data centre.
func chooseRelays(entries []mesh.Node, n int) []mesh.Node {
	// The quotients of the Sainte-Laguë method give each data centre its share of seats.
	order := spread(entries, func(rank, size int) float64 { return (float64(rank) + 0.5) / float64(size) })
	return order[:min(n, len(order))]
}

// spread sorts entries so that strong machines come first, and those of equal strength by
// turn, which is computed from the rank of an entry among the equally strong ones of its data
// centre and the number of entries there.
func spread(entries []mesh.Node, turn func(rank, size int) float64) []mesh.Node {
	type group struct {
		class      int
		dataCentre string
	}
	type place struct {
		node  *mesh.Node
		class int
		turn  float64
	}
	strongest, size := 0.0, make(map[string]int)
	places := make([]place, len(entries))
	for i := range entries {
		strongest = max(strongest, entries[i].Power)
		size[entries[i].DataCentre]++
		places[i].node = &entries[i]
	}
	slices.SortFunc(places, func(a, b place) int { return cmp.Compare(a.node.Name, b.node.Name) })
	ranks := make(map[group]int)
	for i := range places {
		p := &places[i]
		if p.node.Power < strongPowerRatio*strongest {
			p.class = 1
		}
		g := group{class: p.class, dataCentre: p.node.DataCentre}
		p.turn = turn(ranks[g], size[p.node.DataCentre])
		ranks[g]++
	}
	slices.SortStableFunc(places, func(a, b place) int {
		return cmp.Or(cmp.Compare(a.class, b.class), cmp.Compare(a.turn, b.turn))
	})
	out := make([]mesh.Node, len(places))
	for i, p := range places {
		out[i] = *p.node
	}
	return out
}

// orderFor gives each follower its own order of sources, so that the load is spread over
// them. Sources of its data centre and others take turns: the first is nearby, and if a whole
// data centre doesn't answer, the second is elsewhere.
func orderFor(self mesh.Node, sources []mesh.Node) []mesh.Node {
	near, far := make([]mesh.Node, 0, len(sources)), make([]mesh.Node, 0, len(sources))
	for _, n := range rendez.Order(self.Name, sources, func(n mesh.Node) string { return n.Name }) {
		if n.DataCentre == self.DataCentre {
			near = append(near, n)
		} else {
			far = append(far, n)
		}
	}
	out := make([]mesh.Node, 0, len(sources))
	for i := range max(len(near), len(far)) {
		if i < len(near) {
			out = append(out, near[i])
		}
		if i < len(far) {
			out = append(out, far[i])
		}
	}
	return out
}
