// Package jobs names the jobs that one entry at a time does.
package jobs

import "strings"

const (
	poolPrefix = "pool/"
	homePrefix = "home/"

	// Sweep names the job that removes the marks of deleted resources once
	// nothing can bring them back.
	Sweep = "sweep"
)

// Pool names the job that runs a pool: its subscriptions' delivery, the starts
// of its rollouts and its weight roll-outs.
func Pool(name string) string {
	return poolPrefix + name
}

// Home names the job that keeps the list of a plain service's endpoints which
// remember idempotency keys.
func Home(service string) string {
	return homePrefix + service
}

// PoolOf returns the pool whose job it is.
func PoolOf(job string) (string, bool) {
	return strings.CutPrefix(job, poolPrefix)
}

// ServiceOf returns the plain service whose list of homes the job keeps.
func ServiceOf(job string) string {
	return strings.TrimPrefix(job, homePrefix)
}
