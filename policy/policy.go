// Package policy holds the resource kind of a policy: what callers get under
// load, what has been promised, and how careful retries and stops are.
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
	// Callers are the callers that differ from the default; none twice.
	Callers []quota.Quota `json:"callers,omitempty"`
	// Objectives are the promises that the report on service-level burn
	// follows; no name twice.
	Objectives []goal.Objective `json:"objectives,omitempty"`
	// RetryBudget is the greatest share of requests, 0 to 1, that are sent a
	// second time. 0 turns retries off. The default is 0.1.
	RetryBudget float64 `json:"retryBudget"`
}

// Default returns a Policy with every default set.
//
//	p := policy.Default()
//	err := strict.Decode(raw, &p)
func Default() Policy {
	return Policy{RetryBudget: defaultRetryBudget}
}

// Validate returns a *fault.FieldsError that names all fields which break their
// invariant.
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

// Quota returns what the policy grants to caller.
func (p Policy) Quota(caller string) quota.Quota {
	for _, q := range p.Callers {
		if q.Caller == caller {
			return q.Filled()
		}
	}
	return quota.Default(caller)
}
