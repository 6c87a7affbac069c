// Package rendez orders candidates by rendezvous hashing (highest random weight):
// each key gives every candidate its own score, and the greatest scores win.
//
// All instances with the same candidates find the same order without
// communication. When a candidate leaves, only the keys for which it was first
// move, each to its own next candidate. Hubs, owners of idempotency keys, holders
// of jobs and subsets of endpoints are chosen this way.
package rendez

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// separator stands between key and candidate, so that "a"+"bc" and "ab"+"c" have
	// different scores.
	separator = "\x00"
	// unitBits is the number of bits of a score that a fraction uses, the precision
	// of a float64.
	unitBits = 53
)

// Score returns the score of candidate for key.
func Score(key, candidate string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(key)
	_, _ = d.WriteString(separator)
	_, _ = d.WriteString(candidate)
	return d.Sum64()
}

// Fraction returns a number in [0, 1) that depends only on key and candidate, for
// instance to spread instances over a period.
func Fraction(key, candidate string) float64 {
	return float64(Score(key, candidate)>>(64-unitBits)) / (1 << unitBits)
}

// Order returns the candidates with the best for key first. Their ids must be
// unique. candidates is not modified.
//
//	hubs := rendez.Order("tln-a", names, func(name string) string { return name })
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

// Top returns the n best candidates for key, or all when there are fewer.
func Top[T any](key string, candidates []T, n int, id func(T) string) []T {
	all := Order(key, candidates, id)
	return all[:min(max(n, 0), len(all))]
}

// Rank returns the position of name among the candidates for key, from 0, or -1
// when name is not a candidate.
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
