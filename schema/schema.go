// Package schema decodes and validates the specs of all kinds of resources, applies
// their defaults, and checks their references to other resources.
package schema

import (
	"encoding/json"
	"slices"

	"github.com/lavendermux/lavendermux/fault"
	"github.com/lavendermux/lavendermux/keyown"
	"github.com/lavendermux/lavendermux/object"
	"github.com/lavendermux/lavendermux/policy"
	"github.com/lavendermux/lavendermux/pool"
	"github.com/lavendermux/lavendermux/servce"
	"github.com/lavendermux/lavendermux/strict"
	"github.com/lavendermux/lavendermux/subscr"
)

// Spec is a pool.Pool, subscr.Subscription, servce.Service, policy.Policy or
// keyown.Owners.
type Spec interface {
	// Validate returns a *fault.FieldsError that lists all invalid fields.
	Validate() error
}

// Accept decodes a spec that an operator sends. It rejects unknown fields, wrong types
// and violated invariants. Absent fields get their defaults.
//
//	spec, err := schema.Accept(object.KindPool, raw)
//	p := spec.(pool.Pool)
func Accept(kind string, raw json.RawMessage) (Spec, error) {
	return decodeSpec(kind, raw, func(raw []byte, out any) error {
		return strict.Decode(raw, out)
	})
}

// Read decodes a spec that was accepted earlier, possibly by a newer version of the
// program. It ignores unknown fields: during a rolling update instances of two versions
// run concurrently. If the older ones rejected what the newer ones have accepted, a
// change would be applied on half of the fleet only and be reported as lagging forever.
func Read(kind string, raw json.RawMessage) (Spec, error) {
	if kind == object.KindKeyOwners {
		return decodeAndValidate(keyown.Owners{}, raw, json.Unmarshal)
	}
	return decodeSpec(kind, raw, json.Unmarshal)
}

// CheckReferences returns a *fault.FieldsError if spec refers to resources that do not exist or
// do not fit. lookup returns the spec of another resource.
func CheckReferences(spec Spec, lookup func(kind, name string) (Spec, bool)) error {
	var bad fault.FieldsError
	switch s := spec.(type) {
	case subscr.Subscription:
		checkPool(&bad, s, lookup)
	case policy.Policy:
		checkSubscriptions(&bad, s, lookup)
	}
	return bad.Err()
}

// References reports whether spec refers to the resource, which then must not be deleted
// before spec is.
func References(spec Spec, kind, name string) bool {
	switch s := spec.(type) {
	case subscr.Subscription:
		return kind == object.KindPool && s.Pool == name
	case policy.Policy:
		for _, o := range s.Objectives {
			if kind == object.KindSubscription && o.Subscription == name {
				return true
			}
		}
	}
	return false
}

func decodeSpec(kind string, raw json.RawMessage, decode func([]byte, any) error) (Spec, error) {
	switch kind {
	case object.KindPool:
		return decodeAndValidate(pool.Default(), raw, decode)
	case object.KindSubscription:
		return decodeAndValidate(subscr.Default(), raw, decode)
	case object.KindService:
		return decodeAndValidate(servce.Default(), raw, decode)
	case object.KindPolicy:
		return decodeAndValidate(policy.Default(), raw, decode)
	}
	return nil, &fault.FieldError{Field: "kind", Problem: "is unknown: " + kind}
}

func decodeAndValidate[T Spec](spec T, raw json.RawMessage, decode func([]byte, any) error) (Spec, error) {
	if err := decode(raw, &spec); err != nil {
		return nil, err
	}
	if err := spec.Validate(); err != nil {
		return nil, err
	}
	return spec, nil
}

func checkPool(bad *fault.FieldsError, s subscr.Subscription, lookup func(kind, name string) (Spec, bool)) {
	spec, ok := lookup(object.KindPool, s.Pool)
	if !ok {
		bad.Addf("pool", "there is no pool %q; create it first", s.Pool)
		return
	}
	p, ok := spec.(pool.Pool)
	if ok && !slices.Contains(p.Models, s.Model) {
		bad.Addf("model", "pool %q does not serve %q; it serves %q", s.Pool, s.Model, p.Models)
	}
}

func checkSubscriptions(bad *fault.FieldsError, p policy.Policy, lookup func(kind, name string) (Spec, bool)) {
	for _, o := range p.Objectives {
		if o.Subscription == "" {
			continue
		}
		if _, ok := lookup(object.KindSubscription, o.Subscription); !ok {
			bad.Addf("objectives", "%q names subscription %q, which does not exist", o.Name, o.Subscription)
		}
	}
}
