// Package jobs defines the names of the jobs that only one entry at a time may run.
package jobs

import "strings"

const (
	poolPrefix = "pool/"
	homePrefix = "home/"

	// TombstoneGC is the job that removes the tombstones of deleted resources once no
	// delayed write can restore the resources.
	TombstoneGC = "sweep"
)

// Pool returns the name of the job that runs a pool: it delivers to subscriptions,
// starts rollouts and deploys weight versions.
func Pool(name string) string {
	return poolPrefix + name
}

// KeyOwners returns the name of the job that maintains the list of a plain service's key
// owners, which are the endpoints that remember idempotency keys.
func KeyOwners(service string) string {
	return homePrefix + service
}

// ParsePool returns the pool of a job, and whether the job is a pool's.
func ParsePool(job string) (string, bool) {
	return strings.CutPrefix(job, poolPrefix)
}

// ServiceOf returns the plain service whose list of key owners the job maintains.
func ServiceOf(job string) string {
	return strings.TrimPrefix(job, homePrefix)
}
