// Package kinds knows the spec of every kind of resource: how it is read, with
// which defaults, and which other resources it names.
package kinds

import (
	"encoding/json"
	"slices"

	"github.com/lavendermux/lavendermux/fault"
	"github.com/lavendermux/lavendermux/homes"
	"github.com/lavendermux/lavendermux/object"
	"github.com/lavendermux/lavendermux/policy"
	"github.com/lavendermux/lavendermux/pool"
	"github.com/lavendermux/lavendermux/servce"
	"github.com/lavendermux/lavendermux/strict"
	"github.com/lavendermux/lavendermux/subscr"
)

// Spec is a pool.Pool, subscr.Subscription, servce.Service, policy.Policy or
// homes.Homes.
type Spec interface {
	// Validate returns a *fault.FieldsError that names all wrong fields.
	Validate() error
}

// Accept reads a spec that an operator sends: unknown fields, wrong types and
// broken invariants are refused. Absent fields have their defaults.
//
//	spec, err := kinds.Accept(object.KindPool, raw)
//	p := spec.(pool.Pool)
func Accept(kind string, raw json.RawMessage) (Spec, error) {
	return read(kind, raw, func(raw []byte, out any) error {
		return strict.Decode(raw, out)
	})
}

// Read reads a spec that was accepted earlier, maybe by a newer program. It
// passes over unknown fields: while a release goes out instances of two
// releases run side by side, and if the older ones refused what the newer have
// accepted, a change would be in force on half the fleet only, which status
// would show as lagging without end.
func Read(kind string, raw json.RawMessage) (Spec, error) {
	if kind == object.KindHome {
		return into(homes.Homes{}, raw, json.Unmarshal)
	}
	return read(kind, raw, json.Unmarshal)
}

// Refer checks that what spec names exists, and returns a *fault.FieldsError.
// The lookup returns the spec of another resource.
func Refer(spec Spec, lookup func(kind, name string) (Spec, bool)) error {
	var bad fault.FieldsError
	switch s := spec.(type) {
	case subscr.Subscription:
		referPool(&bad, s, lookup)
	case policy.Policy:
		referSubscriptions(&bad, s, lookup)
	}
	return bad.Err()
}

// Uses reports whether spec names the resource, which then must not be deleted
// before spec is.
func Uses(spec Spec, kind, name string) bool {
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

func read(kind string, raw json.RawMessage, decode func([]byte, any) error) (Spec, error) {
	switch kind {
	case object.KindPool:
		return into(pool.Default(), raw, decode)
	case object.KindSubscription:
		return into(subscr.Default(), raw, decode)
	case object.KindService:
		return into(servce.Default(), raw, decode)
	case object.KindPolicy:
		return into(policy.Default(), raw, decode)
	}
	return nil, &fault.FieldError{Field: "kind", Problem: "is unknown: " + kind}
}

func into[T Spec](spec T, raw json.RawMessage, decode func([]byte, any) error) (Spec, error) {
	if err := decode(raw, &spec); err != nil {
		return nil, err
	}
	if err := spec.Validate(); err != nil {
		return nil, err
	}
	return spec, nil
}

func referPool(bad *fault.FieldsError, s subscr.Subscription, lookup func(kind, name string) (Spec, bool)) {
	found, ok := lookup(object.KindPool, s.Pool)
	if !ok {
		bad.Addf("pool", "there is no pool %q; create it first", s.Pool)
		return
	}
	p, ok := found.(pool.Pool)
	if ok && !slices.Contains(p.Models, s.Model) {
		bad.Addf("model", "pool %q does not serve %q; it serves %q", s.Pool, s.Model, p.Models)
	}
}

func referSubscriptions(bad *fault.FieldsError, p policy.Policy, lookup func(kind, name string) (Spec, bool)) {
	for _, o := range p.Objectives {
		if o.Subscription == "" {
			continue
		}
		if _, ok := lookup(object.KindSubscription, o.Subscription); !ok {
			bad.Addf("objectives", "%q names subscription %q, which does not exist", o.Name, o.Subscription)
		}
	}
}
