// Package ring chooses which instances probe each other directly.
//
// A full mesh of n instances makes n(n-1)/2 exchanges per interval. At 68
// instances that load requires an interval of a second, so that a lost owner is
// noticed after three, and the exchanges are most of the bytes between data
// centres; at 350 instances the interval would be five seconds, and the detection
// time 16 seconds. The overlay of this package gives an instance some 2 log2(n)
// neighbours, 12 of 68 and 16 of 350: a few near ones, which monitor each other
// closely, and far ones at doubling distances, over which news reaches all
// instances in log2(n) hops.
//
// All instances with the same list of names choose the same edges, so
// neighbourhood is symmetric. The package uses no network and no clock.
package ring

import (
	"iter"
	"slices"

	"github.com/lavendermux/lavendermux/rendez"
)

const (
	// MaxFullMesh is the number of names up to which all instances are near neighbours of
	// each other. Each then detects every loss by itself, without waiting for news.
	// At 32 an instance answers some 70 requests a second if each neighbour asks
	// every half second.
	MaxFullMesh = 32
	// nearPerSide is the number of near neighbours on either side. With two, any two
	// of the four may be lost together with the instance that they monitor.
	nearPerSide = 2
	// ringKey is the hash key for the order on the ring. Neighbours share a data
	// centre or a rack only by chance, and so are rarely lost together.
	ringKey = "ring"
)

// Ring is a set of instances in the order of their scores. It is not safe for concurrent use.
// See New.
type Ring struct {
	names  []string
	scores []uint64
}

// New returns the ring of the names.
//
//	r := ring.New("entry-1", "entry-2")
//	near, far := r.Neighbours("entry-1")
func New(names ...string) *Ring {
	r := &Ring{}
	for _, name := range names {
		r.Add(name)
	}
	return r
}

// Len returns the number of instances.
func (r *Ring) Len() int { return len(r.names) }

// Add adds an instance unless it is there.
func (r *Ring) Add(name string) {
	at, ok := r.find(name)
	if !ok {
		r.names = slices.Insert(r.names, at, name)
		r.scores = slices.Insert(r.scores, at, rendez.Score(ringKey, name))
	}
}

// Remove removes an instance if it is there.
func (r *Ring) Remove(name string) {
	at, ok := r.find(name)
	if ok {
		r.names = slices.Delete(r.names, at, at+1)
		r.scores = slices.Delete(r.scores, at, at+1)
	}
}

// find returns the position of an instance, or that at which it would be inserted.
func (r *Ring) find(name string) (at int, ok bool) {
	score := rendez.Score(ringKey, name)
	at, _ = slices.BinarySearch(r.scores, score)
	for at < len(r.names) && r.scores[at] == score && r.names[at] < name {
		at++
	}
	return at, at < len(r.names) && r.names[at] == name
}

// Neighbours returns the near and the far neighbours of an instance.
func (r *Ring) Neighbours(name string) (near, far []string) {
	at, ok := r.find(name)
	n := len(r.names)
	if !ok {
		return nil, nil
	}
	if n <= MaxFullMesh {
		return slices.Concat(r.names[:at], r.names[at+1:]), nil
	}
	seen := map[string]bool{name: true}
	add := func(to []string, i int) []string {
		neighbour := r.names[(i%n+n)%n]
		if seen[neighbour] {
			return to
		}
		seen[neighbour] = true
		return append(to, neighbour)
	}
	for d := 1; d <= nearPerSide; d++ {
		near = add(add(near, at+d), at-d)
	}
	for d := 2 * nearPerSide; d <= n/2; d *= 2 {
		far = add(add(far, at+d), at-d)
	}
	return near, far
}

// Split divides span positions of the ring, the first of which is that of the named instance,
// among those of its neighbours that follow it. It yields the first instance of each share and
// the number of positions in it. If each of them divides its share in the same way, a message
// reaches all positions once, after log2(span) hops at most.
//
//	for name, n := range r.Split("entry-1", r.Len()) {
//		send(name, n)
//	}
func (r *Ring) Split(name string, span int) iter.Seq2[string, int] {
	return func(yield func(string, int) bool) {
		at, ok := r.find(name)
		n := len(r.names)
		span = min(span, n)
		for d, end := 1, 0; ok && d < span && end < span; d *= 2 {
			end = span
			if next := 2 * d; next <= n/2 { // a neighbour is at most half a ring away
				end = min(end, next)
			}
			if !yield(r.names[(at+d)%n], end-d) {
				return
			}
		}
	}
}
