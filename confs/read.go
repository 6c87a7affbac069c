package confs

import (
	"cmp"
	"encoding/json"
	"slices"
	"strings"

	"github.com/lavendermux/lavendermux/homes"
	"github.com/lavendermux/lavendermux/kinds"
	"github.com/lavendermux/lavendermux/object"
	"github.com/lavendermux/lavendermux/policy"
	"github.com/lavendermux/lavendermux/pool"
	"github.com/lavendermux/lavendermux/record"
	"github.com/lavendermux/lavendermux/servce"
	"github.com/lavendermux/lavendermux/subscr"
	"github.com/lavendermux/lavendermux/wire"
)

// FromRecord turns a record of the key-value service into a resource, and
// reports whether its key is that of a resource.
func FromRecord(rec record.Record) (*wire.Resource, bool) {
	path, ok := strings.CutPrefix(rec.Key, object.KeyPrefix)
	if !ok {
		return nil, false
	}
	kind, name, ok := strings.Cut(path, "/")
	if !ok || kind == "" || name == "" {
		return nil, false
	}
	r := &wire.Resource{Kind: kind, Name: name, Revision: rec.Revision, Deleted: rec.Deleted || isTombstone(rec.Value)}
	if !r.GetDeleted() {
		r.Body = rec.Value
	}
	return r, true
}

// isTombstone reports whether the stored resource was deleted. What cannot be
// read was not.
func isTombstone(value []byte) bool {
	var o object.Object
	return json.Unmarshal(value, &o) == nil && o.Deleted
}

// Object returns the resource as it was accepted.
func (c *Cache) Object(kind, name string) (object.Object, bool) {
	e, ok := c.entry(kind, name)
	return e.object, ok && e.spec != nil
}

// Objects returns the resources of a kind by name; an empty kind means all.
func (c *Cache) Objects(kind string) []object.Object {
	c.mu.RLock()
	defer c.mu.RUnlock()
	var all []object.Object
	for _, e := range c.entries {
		if e.spec != nil && (kind == "" || e.object.Kind == kind) {
			all = append(all, e.object)
		}
	}
	slices.SortFunc(all, func(a, b object.Object) int {
		return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Name, b.Name))
	})
	return all
}

// Tombstone returns the revision at which a resource was deleted, as far as
// deletions are remembered.
func (c *Cache) Tombstone(kind, name string) (int64, bool) {
	e, ok := c.entry(kind, name)
	return e.resource.GetRevision(), ok && e.resource.GetDeleted()
}

// Spec returns the spec of a resource.
func (c *Cache) Spec(kind, name string) (kinds.Spec, bool) {
	e, ok := c.entry(kind, name)
	return e.spec, ok && e.spec != nil
}

// Pool returns the named pool.
func (c *Cache) Pool(name string) (pool.Pool, bool) {
	return typed[pool.Pool](c, object.KindPool, name)
}

// Subscription returns the named subscription.
func (c *Cache) Subscription(name string) (subscr.Subscription, bool) {
	return typed[subscr.Subscription](c, object.KindSubscription, name)
}

// Service returns the named plain service.
func (c *Cache) Service(name string) (servce.Service, bool) {
	return typed[servce.Service](c, object.KindService, name)
}

// Policy returns the named policy, or the defaults when there is none.
func (c *Cache) Policy(name string) (policy.Policy, bool) {
	p, ok := typed[policy.Policy](c, object.KindPolicy, name)
	if !ok {
		p = policy.Default()
	}
	return p, ok
}

// Pools returns all pools by name.
func (c *Cache) Pools() map[string]pool.Pool {
	return all[pool.Pool](c)
}

// Subscriptions returns all subscriptions by name.
func (c *Cache) Subscriptions() map[string]subscr.Subscription {
	return all[subscr.Subscription](c)
}

// Services returns all plain services by name.
func (c *Cache) Services() map[string]servce.Service {
	return all[servce.Service](c)
}

// Policies returns all policies by name.
func (c *Cache) Policies() map[string]policy.Policy {
	return all[policy.Policy](c)
}

// Problem says why the newest revision of a resource could not be read here, so
// that an older one stays in force; nil if it could.
func (c *Cache) Problem(kind, name string) error {
	e, _ := c.entry(kind, name)
	return e.problem
}

func (c *Cache) entry(kind, name string) (entry, bool) {
	c.mu.RLock()
	defer c.mu.RUnlock()
	e, ok := c.entries[key{kind: kind, name: name}]
	return e, ok
}

func typed[T kinds.Spec](c *Cache, kind, name string) (T, bool) {
	e, _ := c.entry(kind, name)
	spec, ok := e.spec.(T)
	return spec, ok
}

func all[T kinds.Spec](c *Cache) map[string]T {
	c.mu.RLock()
	defer c.mu.RUnlock()
	found := make(map[string]T)
	for k, e := range c.entries {
		if spec, ok := e.spec.(T); ok {
			found[k.name] = spec
		}
	}
	return found
}

// Homes returns the endpoints of a plain service that remember idempotency
// keys, and none while no list has been written yet.
func (c *Cache) Homes(service string) homes.Homes {
	h, _ := typed[homes.Homes](c, object.KindHome, service)
	return h
}
