// Package policy defines the policy resource: per-caller quotas, service-level
// objectives and the retry budget.
package policy

import (
	"fmt"

	"github.com/lavendermux/lavendermux/fault"
	"github.com/lavendermux/lavendermux/goal"
	"github.com/lavendermux/lavendermux/quota"
)

const (
	defaultRetryBudget = 0.1
)

// Policy is the spec of a resource of kind "policy".
type Policy struct {
	// Callers are the quotas of callers that differ from the default; caller
	// names are unique.
	Callers []quota.Quota `json:"callers,omitempty"`
	// Objectives are the service-level objectives that the burn report tracks;
	// names are unique.
	Objectives []goal.Objective `json:"objectives,omitempty"`
	// RetryBudget is the maximum fraction of requests, 0 to 1, that are retried.
	// 0 disables retries. The default is 0.1.
	RetryBudget float64 `json:"retryBudget"`
}

// Default returns a Policy with default values.
//
//	p := policy.Default()
//	err := strict.Decode(raw, &p)
func Default() Policy {
	return Policy{RetryBudget: defaultRetryBudget}
}

// Validate returns a *fault.FieldsError that lists every invalid field.
func (p Policy) Validate() error {
	var bad fault.FieldsError
	callers := make(map[string]bool)
	for i, q := range p.Callers {
		path := fmt.Sprintf("callers[%d]", i)
		bad.Merge(path, q.Validate())
		bad.Check(!callers[q.Caller], path+".caller", "stands twice")
		callers[q.Caller] = true
	}
	names := make(map[string]bool)
	for i, o := range p.Objectives {
		path := fmt.Sprintf("objectives[%d]", i)
		bad.Merge(path, o.Validate())
		bad.Check(!names[o.Name], path+".name", "stands twice")
		names[o.Name] = true
	}
	bad.Check(p.RetryBudget >= 0 && p.RetryBudget <= 1, "retryBudget", "is a share and lies between 0 and 1")
	return bad.Err()
}

// Quota returns the quota of caller, or the default if the policy lists none.
func (p Policy) Quota(caller string) quota.Quota {
	for _, q := range p.Callers {
		if q.Caller == caller {
			return q.WithDefaults()
		}
	}
	return quota.Default(caller)
}
