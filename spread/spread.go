// Package spread holds how far a revision of the configuration has got.
package spread

import "time"

// Report says on how many instances a revision is in force. The zero Report
// says that nothing is known yet.
type Report struct {
	// Instances hold the revision or a greater one; at most Of.
	Instances int `json:"instances"`
	// Of is how many instances live, as far as this instance has heard.
	Of int `json:"of"`
	// Since is when the last of them reported the revision; zero while some
	// lag, or when this instance did not see it happen.
	Since time.Time `json:"since,omitzero"`
	// Lagging names instances that hold a lesser revision; a few examples when
	// there are many.
	Lagging []string `json:"lagging"`
	// AsOf is when the oldest report behind these numbers was made; zero when
	// nothing has been heard.
	AsOf time.Time `json:"asOf,omitzero"`
	// Silent names data centres whose report is too old to rely on.
	Silent []string `json:"silent,omitempty"`
}

// Everywhere reports whether the revision is in force on all live instances.
// While a data centre is silent nobody can tell.
func (r Report) Everywhere() bool {
	return r.Of > 0 && r.Instances == r.Of && len(r.Silent) == 0
}
