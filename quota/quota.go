// Package quota holds what a policy grants to one caller.
package quota

import "github.com/lavendermux/lavendermux/fault"

const (
	minPriority = -100
	maxPriority = 100
)

// Quota is one caller's part of the service under load. A caller without one
// counts as Default.
type Quota struct {
	// Caller is the name that the caller's token or header gives; not empty.
	Caller string `json:"caller"`
	// Weight is the caller's part against the others' when there is not enough
	// for all; above 0. Zero takes the default of 1.
	Weight float64 `json:"weight"`
	// Priority orders live requests; greater goes first, -100 to 100. The
	// default is 0.
	Priority int `json:"priority"`
	// MaxShare is the greatest share of a pool's slots that the caller holds
	// while others wait, 0 to 1. Zero takes the default of 1.
	MaxShare float64 `json:"maxShare"`
}

// Default returns the quota of a caller whom no policy names.
//
//	q := quota.Default("case-officer")
//	weight := q.Weight
func Default(caller string) Quota {
	return Quota{Caller: caller, Weight: 1, MaxShare: 1}
}

// Filled returns q with defaults in place of zeros.
func (q Quota) Filled() Quota {
	d := Default(q.Caller)
	if q.Weight == 0 {
		q.Weight = d.Weight
	}
	if q.MaxShare == 0 {
		q.MaxShare = d.MaxShare
	}
	return q
}

// Validate returns a *fault.FieldsError that names all fields which break their
// invariant.
func (q Quota) Validate() error {
	var bad fault.FieldsError
	bad.Check(q.Caller != "", "caller", "is empty")
	bad.Check(q.Weight >= 0, "weight", "is negative")
	bad.Check(q.Priority >= minPriority && q.Priority <= maxPriority, "priority", "lies between -100 and 100")
	bad.Check(q.MaxShare >= 0 && q.MaxShare <= 1, "maxShare", "lies between 0 and 1")
	return bad.Err()
}
