// Package goal holds a service-level objective as a policy declares it.
package goal

import (
	"time"

	"github.com/lavendermux/lavendermux/fault"
	"github.com/lavendermux/lavendermux/span"
)

const (
	// DefaultWindow is the time over which an objective that names no window
	// has to hold.
	DefaultWindow = span.Duration(28 * 24 * time.Hour)
	minWindow     = span.Duration(time.Hour)
)

// Objective is a promise to one caller, to the callers of one service, or to
// one trainer's subscription. What it promises is whichever of Success,
// Freshness and IdleShare is set.
type Objective struct {
	// Name is unique within the policy; not empty.
	Name string `json:"name"`
	// Caller names the caller; exactly one of Caller, Service and Subscription
	// is set.
	Caller string `json:"caller,omitempty"`
	// Service names the pool's or plain service whose live requests count.
	Service string `json:"service,omitempty"`
	// Subscription names the trainer's subscription.
	Subscription string `json:"subscription,omitempty"`
	// Success is the share of live requests, above 0 and below 1, that get
	// their whole answer, within Latency when that is set. Caller or Service.
	Success float64 `json:"success,omitempty"`
	// Latency is how soon the whole answer comes. The default is 0, which
	// counts only whether it came.
	Latency span.Duration `json:"latency,omitzero"`
	// Freshness is the share of samples, above 0 and below 1, that come within
	// half the staleness bound. Subscription only.
	Freshness float64 `json:"freshness,omitempty"`
	// IdleShare is the greatest share of a trainer's time, above 0 and below 1,
	// that is spent waiting for samples. Subscription only.
	IdleShare float64 `json:"idleShare,omitempty"`
	// Window is the time over which the promise has to hold; at least 1h. Zero
	// takes the default of 28d.
	Window span.Duration `json:"window,omitzero"`
}

// Validate returns a *fault.FieldsError that names all fields which break their
// invariant.
//
//	o := goal.Objective{Name: "status", Service: "case-desk", Success: 0.999}
//	err := o.Validate()
func (o Objective) Validate() error {
	var bad fault.FieldsError
	bad.Check(o.Name != "", "name", "is empty")
	bad.Check(count(o.Caller != "", o.Service != "", o.Subscription != "") == 1,
		"caller", "exactly one of caller, service and subscription must be set")
	bad.Check(count(o.Success != 0, o.Freshness != 0, o.IdleShare != 0) == 1,
		"success", "exactly one of success, freshness and idleShare must be set; declare one objective for each")
	trains := o.Subscription != ""
	bad.Check(o.Success == 0 || !trains, "success", "is for live requests; a subscription has freshness or idleShare")
	bad.Check(o.Freshness == 0 || trains, "freshness", "needs a subscription")
	bad.Check(o.IdleShare == 0 || trains, "idleShare", "needs a subscription")
	bad.Check(isShare(o.Success), "success", "is a share above 0 and below 1")
	bad.Check(isShare(o.Freshness), "freshness", "is a share above 0 and below 1")
	bad.Check(isShare(o.IdleShare), "idleShare", "is a share above 0 and below 1")
	bad.Check(o.Latency >= 0, "latency", "is negative")
	bad.Check(o.Latency == 0 || o.Success != 0, "latency", "needs success: the share of answers that come within it")
	bad.Check(o.Window == 0 || o.Window >= minWindow, "window", "is below 1h")
	return bad.Err()
}

// Filled returns o with defaults in place of zeros.
func (o Objective) Filled() Objective {
	if o.Window == 0 {
		o.Window = DefaultWindow
	}
	return o
}

func isShare(v float64) bool {
	return v >= 0 && v < 1
}

func count(set ...bool) int {
	n := 0
	for _, ok := range set {
		if ok {
			n++
		}
	}
	return n
}
