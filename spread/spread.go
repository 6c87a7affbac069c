// Package spread defines the report on the propagation of a configuration revision.
package spread

import "time"

// Report says on how many instances a revision is applied. The zero Report means that
// nothing is known yet.
type Report struct {
	// Instances is the number of instances that have the revision or a higher one; at
	// most Total.
	Instances int `json:"instances"`
	// Total is the number of live instances that this instance knows of.
	Total int `json:"of"`
	// Since is when the last of them reported the revision; zero while some lag, or
	// when this instance did not observe it.
	Since time.Time `json:"since,omitzero"`
	// Lagging lists instances that have a lower revision, or examples if there are
	// many.
	Lagging []string `json:"lagging"`
	// AsOf is the time of the oldest digest that contributed to these numbers; zero
	// if there is none.
	AsOf time.Time `json:"asOf,omitzero"`
	// Stale lists the data centres whose digests are stale.
	Stale []string `json:"silent,omitempty"`
}

// Complete reports whether the revision is applied on all live instances. While the
// digest of a data centre is stale it returns false, since that is unknown.
func (r Report) Complete() bool {
	return r.Total > 0 && r.Instances == r.Total && len(r.Stale) == 0
}
