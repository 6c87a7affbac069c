// Package claim holds what one user of shared workers has and needs.
package claim

// Claim is one role, or one pool, that shares workers with others.
type Claim struct {
	// Name is unique among those that share.
	Name string
	// Priority orders them; the greater one takes workers from the lesser.
	Priority int
	// Minimum workers are never taken away; the minima of all that share are
	// together at most the workers there are.
	Minimum int
	// Guarantee is how many workers it may take back from those of lower
	// priority; at least Minimum.
	Guarantee int
	// Workers is how many it has, those on their way to it included.
	Workers int
	// Need is its load now, running and waiting, in workers that would carry it.
	Need float64
}
