// Package blame attributes the bad events of an error budget to parties and causes.
package blame

import (
	"cmp"
	"slices"
)

const (
	// Other is the party and cause of all events beyond the limit of pairs.
	Other = "other"
	// CauseLate is the cause of a complete response after the latency objective.
	CauseLate = "late"
	// CauseStale is the cause of a sample that is not fresh.
	CauseStale = "stale"
	// CauseIdle is the cause of a trainer's time spent waiting.
	CauseIdle = "idle"
)

// Blame is the number of bad events of one party and cause.
type Blame struct {
	// Who is the party: a caller, a service, a pool or an endpoint, whichever the
	// objective does not name itself.
	Who string `json:"who"`
	// Cause is the cause code of the rejection or error, or one of the constants above.
	Cause string `json:"cause"`
	// Bad is the number of bad events: requests, samples or milliseconds, depending on
	// the objective.
	Bad int64 `json:"bad"`
}

// Add adds one to the element of all with the same party and cause, or appends it. If
// all already has limit elements, one is added as Other instead.
//
//	all = blame.Add(all, blame.Blame{Who: "case-officer", Cause: blame.CauseLate, Bad: 1}, 16)
func Add(all []Blame, one Blame, limit int) []Blame {
	i := indexOf(all, one.Who, one.Cause)
	if i < 0 && len(all) >= limit {
		one.Who, one.Cause = Other, Other
		i = indexOf(all, Other, Other)
	}
	if i < 0 {
		return append(all, one)
	}
	all[i].Bad += one.Bad
	return all
}

// Sort sorts by decreasing number of bad events, then by party and cause.
func Sort(all []Blame) {
	slices.SortFunc(all, func(a, b Blame) int {
		return cmp.Or(cmp.Compare(b.Bad, a.Bad), cmp.Compare(a.Who, b.Who), cmp.Compare(a.Cause, b.Cause))
	})
}

func indexOf(all []Blame, who, cause string) int {
	return slices.IndexFunc(all, func(b Blame) bool { return b.Who == who && b.Cause == cause })
}
