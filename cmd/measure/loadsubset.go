package main

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/lavendermux/lavendermux/grid"
	"github.com/lavendermux/lavendermux/stat"
	"github.com/lavendermux/lavendermux/subset"
)

// The size of the largest deployment to design for.
const (
	manyEntries   = 350
	manyEndpoints = 700
	// membershipChanges is how many single membership changes are sampled.
	membershipChanges = 20
)

type subsetFunc func(self string, entries, endpoints []string) []string

// subsetTable compares how evenly subsets select endpoints, and how much one
// membership change alters them.
func subsetTable() string {
	t := grid.New("way", "connections", "entries for each endpoint", "endpoints of no entry",
		"changed for each entry: an endpoint leaves", "an entry leaves")
	for _, size := range []int{8, 16, 24} {
		aperture := subset.New(size)
		t.Add(subsetRow(fmt.Sprintf("random %d", size), randomSubset(size))...)
		t.Add(subsetRow(fmt.Sprintf("rendezvous %d", size), rendezvousSubset(size))...)
		t.Add(subsetRow(fmt.Sprintf("lavendermux %d", size), aperture.Pick)...)
	}
	return t.Markdown()
}

func subsetRow(name string, choose subsetFunc) []string {
	entries, endpoints := numbered("entry", manyEntries), numbered("worker", manyEndpoints)
	count := map[string]int{}
	before := map[string][]string{}
	for _, e := range entries {
		before[e] = choose(e, entries, endpoints)
		for _, w := range before[e] {
			count[w]++
		}
	}
	least, most := manyEntries, 0
	for _, w := range endpoints {
		least, most = min(least, count[w]), max(most, count[w])
	}
	var endpointLeft, entryLeft stat.Series
	for i := range membershipChanges {
		endpointLeft.Add(meanChanged(choose, before, entries, without(endpoints, i*manyEndpoints/membershipChanges)))
		entryLeft.Add(meanChanged(choose, before, without(entries, i*manyEntries/membershipChanges), endpoints))
	}
	return []string{
		name,
		fmt.Sprint(manyEntries * len(before[entries[0]])),
		fmt.Sprintf("%d to %d", least, most),
		fmt.Sprint(manyEndpoints - len(count)),
		fmt.Sprintf("%.2f ± %.2f", endpointLeft.Mean(), endpointLeft.StdDev()),
		fmt.Sprintf("%.2f ± %.2f", entryLeft.Mean(), entryLeft.StdDev()),
	}
}

// meanChanged returns the mean number of endpoints that are new in an entry's subset.
func meanChanged(choose subsetFunc, before map[string][]string, entries, endpoints []string) float64 {
	n := 0
	for _, e := range entries {
		for _, w := range choose(e, entries, endpoints) {
			if !slices.Contains(before[e], w) {
				n++
			}
		}
	}
	return float64(n) / float64(len(entries))
}

func randomSubset(size int) subsetFunc {
	rng := rand.New(rand.NewPCG(1, 4))
	return func(_ string, _, endpoints []string) []string {
		all := slices.Clone(endpoints)
		rng.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
		return all[:size]
	}
}

func rendezvousSubset(size int) subsetFunc {
	return func(self string, _, endpoints []string) []string {
		all := slices.Clone(endpoints)
		slices.SortFunc(all, func(a, b string) int {
			return cmp.Compare(xxhash.Sum64String(self+"/"+a), xxhash.Sum64String(self+"/"+b))
		})
		return all[:size]
	}
}

func without(all []string, i int) []string {
	return slices.Delete(slices.Clone(all), i, i+1)
}

func numbered(kind string, n int) []string {
	all := make([]string, n)
	for i := range all {
		all[i] = fmt.Sprintf("%s-%d", kind, i)
	}
	return all
}
