package confs

import (
	"cmp"
	"encoding/json"
	"slices"
	"strings"

	"github.com/lavendermux/lavendermux/keyown"
	"github.com/lavendermux/lavendermux/object"
	"github.com/lavendermux/lavendermux/policy"
	"github.com/lavendermux/lavendermux/pool"
	"github.com/lavendermux/lavendermux/record"
	"github.com/lavendermux/lavendermux/schema"
	"github.com/lavendermux/lavendermux/servce"
	"github.com/lavendermux/lavendermux/subscr"
	"github.com/lavendermux/lavendermux/wire"
)

// FromRecord converts a record of the metadata store to a resource. It returns false
// if the key is not a resource's.
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

// isTombstone reports whether the stored resource is marked as deleted. A value that
// cannot be parsed is not.
func isTombstone(value []byte) bool {
	var o object.Object
	return json.Unmarshal(value, &o) == nil && o.Deleted
}

// Object returns the resource as it was accepted, and whether it exists.
func (c *Cache) Object(kind, name string) (object.Object, bool) {
	e, ok := c.entry(kind, name)
	return e.object, ok && e.spec != nil
}

// Objects returns the resources of a kind, sorted by name. An empty kind means all kinds,
// sorted by kind first.
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

// Tombstone returns the revision at which a resource was deleted, and false if it was
// not or its tombstone has been evicted.
func (c *Cache) Tombstone(kind, name string) (int64, bool) {
	e, ok := c.entry(kind, name)
	return e.resource.GetRevision(), ok && e.resource.GetDeleted()
}

// Spec returns the spec of a resource.
func (c *Cache) Spec(kind, name string) (schema.Spec, bool) {
	e, ok := c.entry(kind, name)
	return e.spec, ok && e.spec != nil
}

// Pool returns the named pool.
func (c *Cache) Pool(name string) (pool.Pool, bool) {
	return specOf[pool.Pool](c, object.KindPool, name)
}

// Subscription returns the named subscription.
func (c *Cache) Subscription(name string) (subscr.Subscription, bool) {
	return specOf[subscr.Subscription](c, object.KindSubscription, name)
}

// Service returns the named plain service.
func (c *Cache) Service(name string) (servce.Service, bool) {
	return specOf[servce.Service](c, object.KindService, name)
}

// Policy returns the named policy, or the default one and false.
func (c *Cache) Policy(name string) (policy.Policy, bool) {
	p, ok := specOf[policy.Policy](c, object.KindPolicy, name)
	if !ok {
		p = policy.Default()
	}
	return p, ok
}

// Pools returns all pools by name.
func (c *Cache) Pools() map[string]pool.Pool {
	return specsOf[pool.Pool](c)
}

// Subscriptions returns all subscriptions by name.
func (c *Cache) Subscriptions() map[string]subscr.Subscription {
	return specsOf[subscr.Subscription](c)
}

// Services returns all plain services by name.
func (c *Cache) Services() map[string]servce.Service {
	return specsOf[servce.Service](c)
}

// Policies returns all policies by name.
func (c *Cache) Policies() map[string]policy.Policy {
	return specsOf[policy.Policy](c)
}

// ParseError returns the error with which the newest revision of a resource failed to
// parse, so that an older one stays in use; nil if it did not fail.
func (c *Cache) ParseError(kind, name string) error {
	e, _ := c.entry(kind, name)
	return e.parseErr
}

func (c *Cache) entry(kind, name string) (entry, bool) {
	c.mu.RLock()
	defer c.mu.RUnlock()
	e, ok := c.entries[key{kind: kind, name: name}]
	return e, ok
}

func specOf[T schema.Spec](c *Cache, kind, name string) (T, bool) {
	e, _ := c.entry(kind, name)
	spec, ok := e.spec.(T)
	return spec, ok
}

func specsOf[T schema.Spec](c *Cache) map[string]T {
	c.mu.RLock()
	defer c.mu.RUnlock()
	specs := make(map[string]T)
	for k, e := range c.entries {
		if spec, ok := e.spec.(T); ok {
			specs[k.name] = spec
		}
	}
	return specs
}

// Owners returns the list of a plain service's key owners, the endpoints that remember
// idempotency keys; it is empty until the list is first written.
func (c *Cache) Owners(service string) keyown.Owners {
	h, _ := specOf[keyown.Owners](c, object.KindKeyOwners, service)
	return h
}
