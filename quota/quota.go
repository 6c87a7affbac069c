// Package quota defines the share of capacity that a policy grants to one caller.
package quota

import "github.com/lavendermux/lavendermux/fault"

const (
	minPriority = -100
	maxPriority = 100
)

// Quota is one caller's share of the service under load. Callers without one
// get Default.
type Quota struct {
	// Caller is the name from the caller's token or header; not empty.
	Caller string `json:"caller"`
	// Weight is the caller's relative share under contention; above 0. Zero
	// means the default of 1.
	Weight float64 `json:"weight"`
	// Priority orders live requests, -100 to 100; higher runs first. The default
	// is 0.
	Priority int `json:"priority"`
	// MaxShare is the maximum fraction of a pool's slots, 0 to 1, that the caller
	// may hold while others wait. Zero means the default of 1.
	MaxShare float64 `json:"maxShare"`
}

// Default returns the quota of a caller that no policy lists.
//
//	q := quota.Default("case-officer")
//	weight := q.Weight
func Default(caller string) Quota {
	return Quota{Caller: caller, Weight: 1, MaxShare: 1}
}

// WithDefaults returns q with zero fields set to their defaults.
func (q Quota) WithDefaults() Quota {
	d := Default(q.Caller)
	if q.Weight == 0 {
		q.Weight = d.Weight
	}
	if q.MaxShare == 0 {
		q.MaxShare = d.MaxShare
	}
	return q
}

// Validate returns a *fault.FieldsError that lists every invalid field.
func (q Quota) Validate() error {
	var bad fault.FieldsError
	bad.Check(q.Caller != "", "caller", "is empty")
	bad.Check(q.Weight >= 0, "weight", "is negative")
	bad.Check(q.Priority >= minPriority && q.Priority <= maxPriority, "priority", "lies between -100 and 100")
	bad.Check(q.MaxShare >= 0 && q.MaxShare <= 1, "maxShare", "lies between 0 and 1")
	return bad.Err()
}
