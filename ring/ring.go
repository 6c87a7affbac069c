// Package ring chooses which instances keep in direct touch with each other.
//
// The load it answers: with every instance asking every other one, a fleet of n makes
// n(n-1)/2 exchanges an interval. At 68 instances the interval had to be a second for
// that to stay bearable, so that a lost holder was noticed after three, and the
// exchanges were most of the bytes between data centres; at 350 it would be five
// seconds, and 16 until a loss is known. Here an instance has some 2 log2(n) neighbours,
// 12 of 68 and 16 of 350: a few near ones, which watch each other closely, and far ones
// at doubling distances, through which news reaches everybody in log2(n) hops.
//
// All instances that know the same names choose the same edges, so that each neighbour
// of an instance has that instance as a neighbour too. The package has no network and
// no clock.
package ring

import (
	"cmp"
	"slices"

	"github.com/lavendermux/lavendermux/rendez"
)

const (
	// Few is the number of names up to which everybody is a near neighbour: all others
	// then know a loss by themselves, with no news to wait for. At 32 an instance
	// answers some 70 questions a second if it is asked each half second.
	Few = 32
	// nearEdges are the neighbours on either side that watch each other closely. With
	// two, any two of the four may be lost together with whom they watch.
	nearEdges = 2
	// key orders names on the ring. Neighbours in it share no data centre or rack beyond
	// chance, and so are rarely lost together.
	key = "ring"
)

// Neighbours returns the near and the far neighbours of self among names, which may
// include self.
//
//	near, far := ring.Neighbours("entry-1", names)
func Neighbours(self string, names []string) (near, far []string) {
	others := slices.DeleteFunc(slices.Clone(names), func(n string) bool { return n == self })
	if len(others) < Few {
		return others, nil
	}
	order := sorted(append(others, self))
	at := slices.Index(order, self)
	n := len(order)
	seen := map[string]bool{self: true}
	add := func(to []string, i int) []string {
		name := order[(i%n+n)%n]
		if seen[name] {
			return to
		}
		seen[name] = true
		return append(to, name)
	}
	for d := 1; d <= nearEdges; d++ {
		near = add(add(near, at+d), at-d)
	}
	for d := 2 * nearEdges; d <= n/2; d *= 2 {
		far = add(add(far, at+d), at-d)
	}
	return near, far
}

func sorted(names []string) []string {
	type scored struct {
		name  string
		score uint64
	}
	all := make([]scored, len(names))
	for i, name := range names {
		all[i] = scored{name: name, score: rendez.Score(key, name)}
	}
	slices.SortFunc(all, func(a, b scored) int {
		return cmp.Or(cmp.Compare(a.score, b.score), cmp.Compare(a.name, b.name))
	})
	out := make([]string, len(all))
	for i, s := range all {
		out[i] = s.name
	}
	return out
}
