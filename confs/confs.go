// Package confs caches the configuration of one instance.
//
// Its revisions only increase: a resource never replaces one of a higher revision,
// and a response older than the cache changes nothing. Otherwise a peer that was
// partitioned for a while and reconnects could restore an old configuration, and
// operators would see a change disappear that was reported as applied.
package confs

import (
	"encoding/json"
	"slices"
	"strings"
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/lavendermux/lavendermux/fault"
	"github.com/lavendermux/lavendermux/object"
	"github.com/lavendermux/lavendermux/schema"
	"github.com/lavendermux/lavendermux/wire"
)

// defaultMaxTombstones bounds the deletions that are remembered. Even if all of 1,800
// changes a day are deletions, 8,192 of them cover more than four days. A reader that
// is further behind gets the full configuration instead.
const defaultMaxTombstones = 8192

type (
	// Cache holds the resources that are known to the instance. It is safe for
	// concurrent use. See New.
	Cache struct {
		mu       sync.RWMutex
		entries  map[key]entry
		revision int64
		loaded   bool
		// tombstoneFloor is the revision before which tombstones have been evicted.
		tombstoneFloor int64
		tombstones     int
		maxTombstones  int
		changed        chan struct{}
	}

	// Option configures a Cache; see New.
	Option func(*Cache)

	key struct {
		kind string
		name string
	}

	entry struct {
		// resource is the newest known version.
		resource *wire.Resource
		object   object.Object
		// spec is the newest spec that could be parsed; nil for a deleted resource.
		spec schema.Spec
		// parseErr is the reason why resource could not be parsed, or nil.
		parseErr error
	}
)

// New returns an empty cache at revision 0.
//
//	c := confs.New()
//	c.Apply(resp) // A *wire.FetchResponse for c.Revision().
func New(opts ...Option) *Cache {
	c := &Cache{
		entries:       make(map[key]entry),
		maxTombstones: defaultMaxTombstones,
		changed:       make(chan struct{}),
	}
	for _, opt := range opts {
		opt(c)
	}
	return c
}

// WithMaxTombstones sets the maximum number of deletions that are remembered. The default
// is 8192.
func WithMaxTombstones(n int) Option {
	return func(c *Cache) { c.maxTombstones = n }
}

// Apply merges a response to a fetch of the changes after a revision that Revision
// returned earlier, and reports whether it changed the cache. The response holds every
// change after that revision up to its own.
func (c *Cache) Apply(resp *wire.FetchResponse) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.loaded = true
	if resp.GetRevision() < c.revision || (resp.GetRevision() == c.revision && resp.GetWhole()) {
		return false
	}
	updated := false
	for _, r := range resp.GetResources() {
		updated = c.putNewer(r) || updated
	}
	if resp.GetWhole() {
		updated = c.deleteAbsent(resp) || updated
		c.tombstoneFloor = max(c.tombstoneFloor, c.initialFloor(resp))
	}
	updated = updated || resp.GetRevision() > c.revision
	c.revision = resp.GetRevision()
	if updated {
		c.notifyChanged()
	}
	return updated
}

// ApplyWrite merges one resource that was just written, before a fetch returns it, so that
// a writer reads its own writes. It does not advance Revision, since changes in between
// may be missing.
func (c *Cache) ApplyWrite(r *wire.Resource) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.putNewer(r) {
		return false
	}
	c.notifyChanged()
	return true
}

// Revision returns the highest revision up to which the cache holds every change; 0
// before the first response.
func (c *Cache) Revision() int64 {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.revision
}

// Loaded reports whether any response has been received, which distinguishes an empty
// configuration from one that is not known yet. An instance without a loaded
// configuration is not ready.
func (c *Cache) Loaded() bool {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.loaded
}

// Changed returns a channel that is closed at the next change. Call it before reading
// the cache, so that no change is missed in between.
func (c *Cache) Changed() <-chan struct{} {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.changed
}

// Fetch returns the changes after a revision, including deletions, or the full
// configuration if tombstones in between have been evicted.
func (c *Cache) Fetch(after int64) *wire.FetchResponse {
	c.mu.RLock()
	defer c.mu.RUnlock()
	resp := &wire.FetchResponse{Revision: c.revision, Whole: after < c.tombstoneFloor || after == 0}
	for _, e := range c.entries {
		r := e.resource
		if (resp.Whole && !r.GetDeleted()) || (!resp.Whole && r.GetRevision() > after) {
			resp.Resources = append(resp.Resources, r)
		}
	}
	slices.SortFunc(resp.Resources, byRevision)
	return resp
}

// putNewer stores r if it is newer than what the cache holds. The caller holds the lock.
func (c *Cache) putNewer(r *wire.Resource) bool {
	k := key{kind: r.GetKind(), name: r.GetName()}
	old, known := c.entries[k]
	if known && r.GetRevision() <= old.resource.GetRevision() {
		return false
	}
	// The cache holds everything up to c.revision, so an older resource that it does
	// not hold was deleted meanwhile. Storing it would restore it.
	if r.GetRevision() <= c.revision {
		return false
	}
	e := parse(r, old)
	c.entries[k] = e
	if known && old.resource.GetDeleted() {
		c.tombstones--
	}
	if r.GetDeleted() {
		c.tombstones++
		c.evictTombstone()
	}
	return true
}

// deleteAbsent marks as deleted the resources that a full response does not contain.
func (c *Cache) deleteAbsent(resp *wire.FetchResponse) bool {
	present := make(map[key]bool)
	for _, r := range resp.GetResources() {
		present[key{kind: r.GetKind(), name: r.GetName()}] = true
	}
	updated := false
	for k, e := range c.entries {
		if present[k] || e.resource.GetDeleted() || e.resource.GetRevision() > resp.GetRevision() {
			continue
		}
		tombstone := &wire.Resource{Kind: k.kind, Name: k.name, Revision: resp.GetRevision(), Deleted: true}
		updated = c.putNewer(tombstone) || updated
	}
	return updated
}

// initialFloor returns the revision before which the cache lacks tombstones. The first
// full response contains none, so a reader that is behind it needs a full response too.
func (c *Cache) initialFloor(resp *wire.FetchResponse) int64 {
	if c.revision == 0 {
		return resp.GetRevision()
	}
	return 0
}

// evictTombstone removes the oldest tombstone if there are too many.
func (c *Cache) evictTombstone() {
	if c.tombstones <= c.maxTombstones {
		return
	}
	var oldest *wire.Resource
	for _, e := range c.entries {
		r := e.resource
		if r.GetDeleted() && (oldest == nil || r.GetRevision() < oldest.GetRevision()) {
			oldest = r
		}
	}
	c.tombstoneFloor = max(c.tombstoneFloor, oldest.GetRevision())
	delete(c.entries, key{kind: oldest.GetKind(), name: oldest.GetName()})
	c.tombstones--
}

func (c *Cache) notifyChanged() {
	close(c.changed)
	c.changed = make(chan struct{})
}

// parse parses r. If that fails, the last good spec stays in use and the entry records
// the error, so that one corrupt byte in the metadata store does not remove a pool from
// all instances at once.
func parse(r *wire.Resource, old entry) entry {
	if r.GetDeleted() {
		return entry{resource: r}
	}
	e := entry{resource: r, object: old.object, spec: old.spec}
	var o object.Object
	if err := json.Unmarshal(r.GetBody(), &o); err != nil {
		e.parseErr = errors.Wrap(err, "reading the stored resource")
		return e
	}
	if o.Kind != r.GetKind() || o.Name != r.GetName() {
		e.parseErr = &fault.FieldError{Field: "name", Problem: "the stored resource calls itself " + o.Kind + "/" + o.Name}
		return e
	}
	spec, err := schema.Read(o.Kind, o.Spec)
	if err != nil {
		e.parseErr = err
		return e
	}
	o.Revision = r.GetRevision()
	o.PriorOperations = nil
	return entry{resource: r, object: o, spec: spec}
}

func byRevision(a, b *wire.Resource) int {
	if a.GetRevision() != b.GetRevision() {
		return int(min(max(a.GetRevision()-b.GetRevision(), -1), 1))
	}
	return strings.Compare(a.GetKind()+a.GetName(), b.GetKind()+b.GetName())
}
