// Package goal defines a service-level objective (SLO) of a policy.
package goal

import (
	"time"

	"github.com/lavendermux/lavendermux/fault"
	"github.com/lavendermux/lavendermux/xtime"
)

const (
	// DefaultWindow is the window of an objective that sets none.
	DefaultWindow = xtime.Duration(28 * 24 * time.Hour)
	minWindow     = xtime.Duration(time.Hour)
)

// Objective is a service-level objective for one caller, for the callers of one service
// or for one trainer's subscription. Exactly one of Success, Freshness and IdleShare is
// set, which is the indicator.
type Objective struct {
	// Name is unique within the policy; not empty.
	Name string `json:"name"`
	// Caller is the name of the caller; exactly one of Caller, Service and Subscription
	// is set.
	Caller string `json:"caller,omitempty"`
	// Service is the name of the pool's or plain service whose live requests count.
	Service string `json:"service,omitempty"`
	// Subscription is the name of the trainer's subscription.
	Subscription string `json:"subscription,omitempty"`
	// Success is the minimum share of live requests, above 0 and below 1, that get a
	// complete response, within Latency if that is set. For Caller or Service only.
	Success float64 `json:"success,omitempty"`
	// Latency is the maximum time to the complete response; 0 means no maximum.
	Latency xtime.Duration `json:"latency,omitzero"`
	// Freshness is the minimum share of samples, above 0 and below 1, with a staleness
	// of at most half the bound. For Subscription only.
	Freshness float64 `json:"freshness,omitempty"`
	// IdleShare is the maximum share of a trainer's time, above 0 and below 1, that is
	// spent waiting for samples. For Subscription only.
	IdleShare float64 `json:"idleShare,omitempty"`
	// Window is the time over which the objective is measured, at least 1h; 0 means the
	// default of 28d.
	Window xtime.Duration `json:"window,omitzero"`
}

// Validate returns a *fault.FieldsError with all invalid fields, or nil.
//
//	o := goal.Objective{Name: "status", Service: "case-desk", Success: 0.999}
//	err := o.Validate()
func (o Objective) Validate() error {
	var bad fault.FieldsError
	bad.Check(o.Name != "", "name", "is empty")
	bad.Check(countTrue(o.Caller != "", o.Service != "", o.Subscription != "") == 1,
		"caller", "exactly one of caller, service and subscription must be set")
	bad.Check(countTrue(o.Success != 0, o.Freshness != 0, o.IdleShare != 0) == 1,
		"success", "exactly one of success, freshness and idleShare must be set; declare one objective for each")
	isTrainer := o.Subscription != ""
	bad.Check(o.Success == 0 || !isTrainer, "success", "is for live requests; a subscription has freshness or idleShare")
	bad.Check(o.Freshness == 0 || isTrainer, "freshness", "needs a subscription")
	bad.Check(o.IdleShare == 0 || isTrainer, "idleShare", "needs a subscription")
	bad.Check(isShare(o.Success), "success", "is a share above 0 and below 1")
	bad.Check(isShare(o.Freshness), "freshness", "is a share above 0 and below 1")
	bad.Check(isShare(o.IdleShare), "idleShare", "is a share above 0 and below 1")
	bad.Check(o.Latency >= 0, "latency", "is negative")
	bad.Check(o.Latency == 0 || o.Success != 0, "latency", "needs success: the share of answers that come within it")
	bad.Check(o.Window == 0 || o.Window >= minWindow, "window", "is below 1h")
	return bad.Err()
}

// WithDefaults returns o with defaults applied to zero fields.
func (o Objective) WithDefaults() Objective {
	if o.Window == 0 {
		o.Window = DefaultWindow
	}
	return o
}

func isShare(v float64) bool {
	return v >= 0 && v < 1
}

func countTrue(set ...bool) int {
	n := 0
	for _, ok := range set {
		if ok {
			n++
		}
	}
	return n
}
