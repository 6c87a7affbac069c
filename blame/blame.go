// Package blame holds who spent how much of an error budget, and through what.
package blame

import (
	"cmp"
	"slices"
)

const (
	// Other stands for all that a bound left out.
	Other = "other"
	// Late is the cause of an answer that came whole but after its time.
	Late = "late"
	// Stale is the cause of a sample that came too old.
	Stale = "stale"
	// Idle is the cause of a trainer's waiting time.
	Idle = "idle"
)

// Blame is what one party spent through one cause.
type Blame struct {
	// Who is a caller, a service, a pool or an endpoint, whichever the
	// objective does not itself name.
	Who string `json:"who"`
	// Cause is the short word of the refusal or error, or Late, Stale or Idle.
	Cause string `json:"cause"`
	// Bad counts requests, samples or milliseconds, as the objective does.
	Bad int64 `json:"bad"`
}

// Add returns all with one more, counted together with its like. At most limit
// pairs are kept apart; what is beyond counts as Other.
//
//	all = blame.Add(all, blame.Blame{Who: "case-officer", Cause: blame.Late, Bad: 1}, 16)
func Add(all []Blame, one Blame, limit int) []Blame {
	i := find(all, one.Who, one.Cause)
	if i < 0 && len(all) >= limit {
		one.Who, one.Cause = Other, Other
		i = find(all, Other, Other)
	}
	if i < 0 {
		return append(all, one)
	}
	all[i].Bad += one.Bad
	return all
}

// Sort puts the worst first; equal ones go by name.
func Sort(all []Blame) {
	slices.SortFunc(all, func(a, b Blame) int {
		return cmp.Or(cmp.Compare(b.Bad, a.Bad), cmp.Compare(a.Who, b.Who), cmp.Compare(a.Cause, b.Cause))
	})
}

func find(all []Blame, who, cause string) int {
	return slices.IndexFunc(all, func(b Blame) bool { return b.Who == who && b.Cause == cause })
}
