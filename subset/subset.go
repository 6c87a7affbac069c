// Package subset chooses the endpoints that one entry talks to, by deterministic
// subsetting.
//
// With 350 entries and 700 endpoints, full connectivity means 245,000 pairs, each
// with a connection and a remembered load that is stale, because an entry sends
// to each endpoint only about once in 70 s. With a few endpoints per entry, the
// remembered load is fresh. A careless choice puts some endpoints in many subsets
// and others in few, so that the latter are idle while the former refuse.
//
// Peers and endpoints are each sorted by a hash of their name, and the subsets of
// the peers are laid side by side over the endpoints (a deterministic aperture):
// each endpoint is in as many subsets as any other, give or take one. A
// membership change shifts the bounds by a fraction of a position, so that a
// subset changes in a few endpoints at most. See docs/measured/load.md for
// figures.
package subset

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

type (
	// Selector computes the subset of an entry. It is not safe for concurrent use.
	Selector struct {
		size  int
		ranks []rank
	}

	rank struct {
		hash uint64
		name string
	}
)

// New returns a selector of at least size endpoints.
//
//	s := subset.New(24)
//	mine := s.Pick("entry-7", entries, endpoints)
func New(size int) *Selector {
	return &Selector{size: size}
}

// Pick returns the endpoints that self talks to, in the order of their hash.
// peers are all entries that choose among the same endpoints; self counts as one
// also when it is not listed. If there are no more than size endpoints, Pick
// returns all of them.
func (s *Selector) Pick(self string, peers, endpoints []string) []string {
	return s.pick(self, s.size, peers, endpoints)
}

func (s *Selector) pick(self string, size int, peers, endpoints []string) []string {
	if len(endpoints) <= size {
		return slices.Clone(endpoints)
	}
	position, n := s.position(self, peers)
	sorted := s.sortByHash(endpoints)
	m := len(sorted)
	// The first peer begins at the first endpoint, and the others where an even
	// spread of n beginnings over m endpoints puts them.
	begin := position * m / n
	picked := make([]string, size)
	for i := range picked {
		picked[i] = sorted[(begin+i)%m].name
	}
	return picked
}

// position returns the position of self among its peers, and the number of peers.
func (s *Selector) position(self string, peers []string) (position, n int) {
	own := rank{hash: xxhash.Sum64String(self), name: self}
	listed := false
	for _, p := range peers {
		if p == self {
			listed = true
			continue
		}
		if compare(rank{hash: xxhash.Sum64String(p), name: p}, own) < 0 {
			position++
		}
	}
	n = len(peers)
	if !listed {
		n++
	}
	return position, n
}

func (s *Selector) sortByHash(endpoints []string) []rank {
	s.ranks = s.ranks[:0]
	for _, e := range endpoints {
		s.ranks = append(s.ranks, rank{hash: xxhash.Sum64String(e), name: e})
	}
	slices.SortFunc(s.ranks, compare)
	return s.ranks
}

func compare(a, b rank) int {
	if c := cmp.Compare(a.hash, b.hash); c != 0 {
		return c
	}
	return cmp.Compare(a.name, b.name)
}
