package tiers

import (
	"fmt"
	"maps"
	"slices"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/lavendermux/lavendermux/mesh"
)

// fleet returns n entries of several data centres, every fourth of them on a large machine.
func fleet(n int) []mesh.Node {
	nodes := make([]mesh.Node, n)
	for i := range nodes {
		nodes[i] = mesh.Node{Name: fmt.Sprintf("entry-%03d", i), Power: 0.144, DataCentre: dataCentre(i)}
		if i%4 == 3 {
			nodes[i].Power = 0.8
		}
	}
	return nodes
}

// dataCentre returns the data centre of entry i: one has twice as many entries as each of
// the other four.
func dataCentre(i int) string {
	const centres = 6
	return fmt.Sprint("dc-", max(1, i/4%centres))
}

// follower returns entry i, or an instance of the same data centre that isn't an entry.
func follower(i int) mesh.Node {
	return mesh.Node{Name: fmt.Sprintf("entry-%03d", i), DataCentre: dataCentre(i)}
}

// fleets are the fleets of one and of several data centres.
var fleets = map[string]func(n int) []mesh.Node{
	"one": func(n int) []mesh.Node {
		nodes := fleet(n)
		for i := range nodes {
			nodes[i].DataCentre = ""
		}
		return nodes
	},
	"several": fleet,
}

// A fleet grows to 350 entries and some data instances. Instances that serve others must
// not be overloaded by their requests, and small machines must not serve at all while
// there are large ones: their own callers would wait behind the fleet's requests.
func TestNobodyServesTooMany(t *testing.T) {
	for centres, fleet := range fleets {
		for n, limit := range map[int]int{3: 30, 6: 10, 27: 18, 68: 16, 350: 32} {
			t.Run(fmt.Sprintf("%d/%s", n, centres), func(t *testing.T) { testFollowers(t, fleet(n), n, limit, centres == "one") })
		}
	}
}

func testFollowers(t *testing.T, nodes []mesh.Node, n, limit int, oneCentre bool) {
	t.Helper()
	g, followers := NewWithT(t), make(map[string]int)
	for i := range n + 5 {
		self := follower(i) // the last five are not entries
		if oneCentre {
			self.DataCentre = ""
		}
		if sources := Upstreams(self, nodes); len(sources) > 0 {
			followers[sources[0].Name]++
		}
	}
	for name, count := range followers {
		g.Expect(count).To(BeNumerically("<=", limit), name)
		if n >= 68 {
			i := slices.IndexFunc(nodes, func(m mesh.Node) bool { return m.Name == name })
			g.Expect(nodes[i].Power).To(Equal(0.8), name)
		}
	}
}

// Every instance must reach the store over its sources, over at most two others: a cycle
// of instances that read from each other would confirm stale replicas forever.
func TestAllComeToTheStore(t *testing.T) {
	for _, n := range []int{1, 2, 3, 4, 27, 28, 68, 350} {
		g := NewWithT(t)
		nodes := fleet(n)
		for i := range n + 2 {
			at, hops := follower(i), 0
			for sources := Upstreams(at, nodes); len(sources) > 0; sources = Upstreams(at, nodes) {
				at = sources[0]
				hops++
				g.Expect(hops).To(BeNumerically("<=", 2), "from %d of %d", i, n)
			}
		}
		direct := 0
		for _, m := range nodes {
			if len(Upstreams(m, nodes)) == 0 {
				direct++
			}
		}
		g.Expect(direct).To(Equal(min(n, readerCount)))
	}
}

// A source is partitioned. Its followers must have another one.
func TestThereIsAnotherSource(t *testing.T) {
	for _, n := range []int{5, 27, 28, 350} {
		g := NewWithT(t)
		for _, m := range fleet(n) {
			sources := Upstreams(m, fleet(n))
			g.Expect(len(sources) == 0 || len(sources) >= 3).To(BeTrue())
		}
	}
}

// All instances of a fleet read the same. If most of them read in another data centre, the
// bytes between data centres grow with the fleet; they may grow with the relays only.
func TestOnlyRelaysReadElsewhere(t *testing.T) {
	for _, n := range []int{50, 400, 800} {
		g := NewWithT(t)
		nodes, elsewhere := fleet(n), 0
		for _, m := range nodes {
			if sources := Upstreams(m, nodes); len(sources) > 0 && sources[0].DataCentre != m.DataCentre {
				elsewhere++
			}
		}
		g.Expect(elsewhere).To(BeNumerically("<=", readerCount+relayCount(n)), "of %d", n)
	}
}

// A data centre loses power. The readers must not all stand there, and whoever reads from a
// relay there must not try all of its relays first.
func TestSourcesInSeveralDataCentres(t *testing.T) {
	for _, n := range []int{50, 400} {
		g := NewWithT(t)
		nodes, readers := fleet(n), make(map[string]bool)
		for _, m := range nodes {
			sources := Upstreams(m, nodes)
			if len(sources) == 0 {
				readers[m.DataCentre] = true
				continue
			}
			g.Expect(sources[0].DataCentre == sources[1].DataCentre && sources[1].DataCentre == sources[2].DataCentre).To(BeFalse(), m.Name)
		}
		g.Expect(readers).To(HaveLen(readerCount))
	}
}

// BenchmarkUpstreams is what an instance spends to find its sources, ten times a second in calm
// and up to two hundred while it starts.
func BenchmarkUpstreams(b *testing.B) {
	for _, n := range []int{50, 400, 800} {
		nodes := fleet(n)
		b.Run(fmt.Sprintf("entries=%d", n), func(b *testing.B) {
			for b.Loop() {
				Upstreams(follower(0), nodes)
			}
		})
	}
}

// Guards against readers that learn changes from nobody but the store, and against two that read from
// each other only: each must read from another one, and all of them from each other by some way.
func TestReadersReadFromEachOther(t *testing.T) {
	for n := 2; n <= 80; n++ {
		g, entries := NewWithT(t), fleet(n)
		next := make(map[string]string)
		for _, e := range entries {
			others := OtherReaders(e, entries)
			g.Expect(others).NotTo(ContainElement(e))
			if len(Upstreams(e, entries)) == 0 {
				g.Expect(others).To(HaveLen(min(readerCount, n) - 1))
				next[e.Name] = others[0].Name
			}
		}
		start := slices.Sorted(maps.Keys(next))[0]
		seen := []string{start}
		for at := next[start]; at != start; at = next[at] {
			seen = append(seen, at)
		}
		g.Expect(seen).To(HaveLen(len(next)), "%d entries", n)
	}
}
