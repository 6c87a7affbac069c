// Package rendez orders candidates by rendezvous hashing: each key gives every
// candidate a score of its own, and the greatest scores win.
//
// All who know the same candidates find the same order without a word between
// them, and when one candidate goes only the keys that it led move, each to its
// own next one. The system picks hubs, homes of idempotency keys, holders of
// jobs and subsets of endpoints with it.
package rendez

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// separator stands between key and candidate, so that "a"+"bc" and "ab"+"c"
	// score apart.
	separator = "\x00"
	// unitBits is how many of a score's bits a share uses: a float64 holds no more.
	unitBits = 53
)

// Score returns the weight of candidate for key.
func Score(key, candidate string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(key)
	_, _ = d.WriteString(separator)
	_, _ = d.WriteString(candidate)
	return d.Sum64()
}

// Share returns a number in [0, 1) that is the same for the same key and
// candidate everywhere, for instance to spread instances over a period.
func Share(key, candidate string) float64 {
	return float64(Score(key, candidate)>>(64-unitBits)) / (1 << unitBits)
}

// Order returns candidates with the best for key first. The ids must differ;
// candidates itself is left as it is.
//
//	hubs := rendez.Order("tln-a", entries, func(e insts.Instance) string { return e.ID })
//	first := hubs[0]
func Order[T any](key string, candidates []T, id func(T) string) []T {
	type scored struct {
		item  T
		id    string
		score uint64
	}
	all := make([]scored, 0, len(candidates))
	for _, c := range candidates {
		name := id(c)
		all = append(all, scored{item: c, id: name, score: Score(key, name)})
	}
	slices.SortFunc(all, func(a, b scored) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.id, b.id))
	})
	out := make([]T, 0, len(all))
	for _, s := range all {
		out = append(out, s.item)
	}
	return out
}

// First returns the n best of candidates for key, or all when there are fewer.
func First[T any](key string, candidates []T, n int, id func(T) string) []T {
	all := Order(key, candidates, id)
	return all[:min(max(n, 0), len(all))]
}

// Rank returns the place of name among candidates for key, from 0, or -1 when
// it is not among them.
func Rank(key string, candidates []string, name string) int {
	if !slices.Contains(candidates, name) {
		return -1
	}
	score := Score(key, name)
	rank := 0
	for _, c := range candidates {
		s := Score(key, c)
		if s > score || (s == score && c < name) {
			rank++
		}
	}
	return rank
}
