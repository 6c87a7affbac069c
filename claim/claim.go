// Package claim describes the allocation and demand of one user of shared workers.
package claim

// Claim is a role or pool that shares workers with others.
type Claim struct {
	// Name is unique among the claims on the same workers.
	Name string
	// Priority orders claims; a claim of greater priority takes workers from lesser
	// ones.
	Priority int
	// MinWorkers is the number of workers that are never taken away. The sum of all
	// minima is at most the number of workers.
	MinWorkers int
	// GuaranteedWorkers is the number of workers up to which the claim may reclaim workers
	// from those of lower priority; at least the minimum.
	GuaranteedWorkers int
	// Workers is the number of assigned workers, including those that are moving to
	// the claim.
	Workers int
	// NeededWorkers is the current load, running and waiting, in workers that it takes to
	// serve it.
	NeededWorkers float64
}
