// Package subset chooses which endpoints one entry talks to.
//
// The load it answers: 350 entries before 700 workers. If all talk to all there
// are 245,000 pairs, each with a connection, a load to remember and a last
// reply that is seconds old because an entry sends to each worker only about
// once in 70 s. With a few endpoints each, the load that an entry remembers is
// fresh. Without care in the choice some endpoints are in many subsets and some
// in few, and the latter stay idle while the former refuse.
//
// Peers and endpoints are each put in an order by a hash of their name, and the
// peers' subsets are laid side by side over the endpoints (a deterministic
// aperture): each endpoint is then in as many subsets as any other, give or
// take one. A change of one member moves the borders by a fraction of a place,
// so that a subset changes in a few endpoints at most. Figures are in
// docs/measured/load.md.
package subset

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

type (
	// Subset computes subsets of one size. It isn't safe for concurrent use.
	Subset struct {
		size  int
		ranks []rank
	}

	rank struct {
		hash uint64
		name string
	}
)

// New returns a chooser of subsets of at least size endpoints.
//
//	s := subset.New(24)
//	mine := s.Pick("entry-7", entries, endpoints)
func New(size int) *Subset {
	return &Subset{size: size}
}

// Pick returns the endpoints that self talks to, in the order of their hash.
// Peers are all entries that choose among the same endpoints; self is added
// when it is missing. Few endpoints are all returned.
func (s *Subset) Pick(self string, peers, endpoints []string) []string {
	return s.pick(self, s.size, peers, endpoints)
}

func (s *Subset) pick(self string, size int, peers, endpoints []string) []string {
	if len(endpoints) <= size {
		return slices.Clone(endpoints)
	}
	place, n := s.place(self, peers)
	ring := s.order(endpoints)
	m := len(ring)
	// The first peer begins at the first endpoint; each other begins where an
	// even spread of n beginnings over m endpoints puts it.
	begin := place * m / n
	picked := make([]string, size)
	for i := range picked {
		picked[i] = ring[(begin+i)%m].name
	}
	return picked
}

// place returns where self stands among its peers, and how many there are.
func (s *Subset) place(self string, peers []string) (place, n int) {
	own := rank{hash: xxhash.Sum64String(self), name: self}
	known := false
	for _, p := range peers {
		if p == self {
			known = true
			continue
		}
		if compare(rank{hash: xxhash.Sum64String(p), name: p}, own) < 0 {
			place++
		}
	}
	n = len(peers)
	if !known {
		n++
	}
	return place, n
}

func (s *Subset) order(endpoints []string) []rank {
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
