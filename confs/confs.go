// Package confs holds the configuration of one instance.
//
// It only ever moves forward: a resource of a lesser revision never replaces
// one of a greater, and an answer as a whole that is older than what is held
// changes nothing. Without this a peer that was cut off for a while and comes
// back would put an old configuration in force again; operators would see a
// change that status had called in force disappear.
package confs

import (
	"encoding/json"
	"slices"
	"strings"
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/lavendermux/lavendermux/fault"
	"github.com/lavendermux/lavendermux/kinds"
	"github.com/lavendermux/lavendermux/object"
	"github.com/lavendermux/lavendermux/wire"
)

// defaultTombstones is how many deletions are remembered. At 1,800 changes a
// day, all of them deletions, 8,192 last more than four days; a reader that is
// further behind gets the whole configuration instead.
const defaultTombstones = 8192

type (
	// Cache is safe for concurrent use. See New.
	Cache struct {
		mu       sync.RWMutex
		entries  map[key]entry
		revision int64
		loaded   bool
		// floor is the revision before which deletions have been forgotten.
		floor      int64
		tombstones int
		maxTombs   int
		changed    chan struct{}
	}

	// Option changes a Cache as New makes it.
	Option func(*Cache)

	key struct {
		kind string
		name string
	}

	entry struct {
		// resource is the newest that is known.
		resource *wire.Resource
		object   object.Object
		// spec is the newest that could be read; nil for a deleted resource.
		spec kinds.Spec
		// problem says why resource could not be read, nil if it could.
		problem error
	}
)

// New returns an empty cache at revision 0.
//
//	c := confs.New()
//	c.Apply(resp) // A *wire.FetchResponse for c.Revision().
func New(opts ...Option) *Cache {
	c := &Cache{
		entries:  make(map[key]entry),
		maxTombs: defaultTombstones,
		changed:  make(chan struct{}),
	}
	for _, opt := range opts {
		opt(c)
	}
	return c
}

// WithTombstones sets how many deletions are remembered. The default is 8192.
func WithTombstones(n int) Option {
	return func(c *Cache) { c.maxTombs = n }
}

// Apply takes in what changed after a revision that Revision returned earlier,
// and reports whether anything is new. The answer is complete: it holds every
// change after that revision up to its own.
func (c *Cache) Apply(resp *wire.FetchResponse) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.loaded = true
	if resp.GetRevision() < c.revision || (resp.GetRevision() == c.revision && resp.GetWhole()) {
		return false
	}
	moved := false
	for _, r := range resp.GetResources() {
		moved = c.put(r) || moved
	}
	if resp.GetWhole() {
		moved = c.dropAbsent(resp) || moved
		c.floor = max(c.floor, c.lostBefore(resp))
	}
	moved = moved || resp.GetRevision() > c.revision
	c.revision = resp.GetRevision()
	if moved {
		c.announce()
	}
	return moved
}

// Learn takes in one resource that was just written, ahead of the answer that
// will bring it, so that a writer reads its own write. It leaves Revision as it
// is, since other changes may lie between.
func (c *Cache) Learn(r *wire.Resource) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.put(r) {
		return false
	}
	c.announce()
	return true
}

// Revision is the greatest up to which every change is held; 0 when nothing has
// been received yet.
func (c *Cache) Revision() int64 {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.revision
}

// Loaded reports whether any answer has been received, so that a configuration
// without resources is told from one that has not come yet. An instance that is
// not loaded has nothing to decide by and is not ready.
func (c *Cache) Loaded() bool {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.loaded
}

// Changed returns a channel that is closed at the next change. Take it before
// reading, so that no change falls between.
func (c *Cache) Changed() <-chan struct{} {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.changed
}

// Fetch returns what changed after a revision, deletions included, or all that
// is held when deletions in between have been forgotten.
func (c *Cache) Fetch(after int64) *wire.FetchResponse {
	c.mu.RLock()
	defer c.mu.RUnlock()
	resp := &wire.FetchResponse{Revision: c.revision, Whole: after < c.floor || after == 0}
	for _, e := range c.entries {
		r := e.resource
		if (resp.Whole && !r.GetDeleted()) || (!resp.Whole && r.GetRevision() > after) {
			resp.Resources = append(resp.Resources, r)
		}
	}
	slices.SortFunc(resp.Resources, byRevision)
	return resp
}

// put takes r in if it is news; the caller holds the lock.
func (c *Cache) put(r *wire.Resource) bool {
	k := key{kind: r.GetKind(), name: r.GetName()}
	old, known := c.entries[k]
	if known && r.GetRevision() <= old.resource.GetRevision() {
		return false
	}
	// Everything up to c.revision is held, so an older resource that is not
	// held was deleted meanwhile. Taking it in would bring it back to life.
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
		c.forget()
	}
	return true
}

// dropAbsent marks as deleted what a whole answer no longer names.
func (c *Cache) dropAbsent(resp *wire.FetchResponse) bool {
	named := make(map[key]bool)
	for _, r := range resp.GetResources() {
		named[key{kind: r.GetKind(), name: r.GetName()}] = true
	}
	moved := false
	for k, e := range c.entries {
		if named[k] || e.resource.GetDeleted() || e.resource.GetRevision() > resp.GetRevision() {
			continue
		}
		gone := &wire.Resource{Kind: k.kind, Name: k.name, Revision: resp.GetRevision(), Deleted: true}
		moved = c.put(gone) || moved
	}
	return moved
}

// lostBefore returns the revision before which this cache cannot tell
// deletions. A first whole answer brings none, so a reader that is behind it
// needs a whole answer too.
func (c *Cache) lostBefore(resp *wire.FetchResponse) int64 {
	if c.revision == 0 {
		return resp.GetRevision()
	}
	return 0
}

// forget drops the oldest deletion once there are too many.
func (c *Cache) forget() {
	if c.tombstones <= c.maxTombs {
		return
	}
	var oldest *wire.Resource
	for _, e := range c.entries {
		r := e.resource
		if r.GetDeleted() && (oldest == nil || r.GetRevision() < oldest.GetRevision()) {
			oldest = r
		}
	}
	c.floor = max(c.floor, oldest.GetRevision())
	delete(c.entries, key{kind: oldest.GetKind(), name: oldest.GetName()})
	c.tombstones--
}

func (c *Cache) announce() {
	close(c.changed)
	c.changed = make(chan struct{})
}

// parse reads r. A resource that cannot be read leaves the last good spec in
// force, so that one wrong byte in the key-value service does not take a pool
// away from all instances at once; Problems shows it.
func parse(r *wire.Resource, old entry) entry {
	if r.GetDeleted() {
		return entry{resource: r}
	}
	e := entry{resource: r, object: old.object, spec: old.spec}
	var o object.Object
	if err := json.Unmarshal(r.GetBody(), &o); err != nil {
		e.problem = errors.Wrap(err, "reading the stored resource")
		return e
	}
	if o.Kind != r.GetKind() || o.Name != r.GetName() {
		e.problem = &fault.FieldError{Field: "name", Problem: "the stored resource calls itself " + o.Kind + "/" + o.Name}
		return e
	}
	spec, err := kinds.Read(o.Kind, o.Spec)
	if err != nil {
		e.problem = err
		return e
	}
	o.Revision = r.GetRevision()
	o.Earlier = nil
	return entry{resource: r, object: o, spec: spec}
}

func byRevision(a, b *wire.Resource) int {
	if a.GetRevision() != b.GetRevision() {
		return int(min(max(a.GetRevision()-b.GetRevision(), -1), 1))
	}
	return strings.Compare(a.GetKind()+a.GetName(), b.GetKind()+b.GetName())
}
