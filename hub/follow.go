package hub

import (
	"context"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/lavendermux/lavendermux/fault"
	"github.com/lavendermux/lavendermux/record"
	"github.com/lavendermux/lavendermux/wire"
)

const (
	// prefix is where the resources live in the key-value service, as
	// resources/<kind>/<name>.
	prefix = "resources/"
	// firstBackoff is the wait after the first failed call; it doubles.
	firstBackoff = 250 * time.Millisecond
	// wide spreads waits after a failure by half of their length either way, so
	// that the hubs of all data centres do not return in step after an outage.
	wide = 0.5
	// narrow spreads waits in calm.
	narrow = 0.1
)

// follow feeds the configuration from the key-value service until ctx ends: one
// whole read, then one watch after another.
func (h *Hub) follow(ctx context.Context) {
	listed := false
	after := int64(0)
	wait := firstBackoff
	for ctx.Err() == nil {
		var err error
		if !listed {
			after, err = h.list(ctx)
			listed = err == nil
		} else {
			after, err = h.watch(ctx, after)
		}
		var gap *fault.GapError
		if errors.As(err, &gap) {
			listed = false
		}
		if err == nil {
			wait = firstBackoff
			continue
		}
		if !pause(ctx, h.jitter(wait, wide)) {
			return
		}
		wait = min(2*wait, defaultBackoff*2/3)
	}
}

// list reads everything. An answer that is older than what the instance holds is
// refused: it comes from a service that was set back, and taking it in would put
// a former configuration in force again.
func (h *Hub) list(ctx context.Context) (int64, error) {
	records, revision, err := h.store.List(ctx, prefix)
	if err != nil {
		return 0, err
	}
	if held := h.config.Revision(); revision < held {
		h.log.Error("key-value service is behind what is in force", "service", revision, "held", held)
		return 0, errors.Newf("service at revision %d, held %d", revision, held)
	}
	resp := &wire.FetchResponse{Revision: revision, Whole: true}
	for _, rec := range records {
		if res := resource(rec); res != nil {
			resp.Resources = append(resp.Resources, res)
		}
	}
	if !h.config.Known() || differs(h.config.Since(0), resp) {
		h.config.Apply(resp)
	}
	return revision, nil
}

// watch waits for changes and takes them in. The revision in force is that of
// the last change of a resource and not the service's, which each renewal of a
// lease may move: otherwise every write of anything would make all instances
// fetch nothing.
func (h *Hub) watch(ctx context.Context, after int64) (int64, error) {
	records, next, err := h.store.Watch(ctx, prefix, after, h.jitter(h.watchWait, narrow))
	if err != nil {
		return after, err
	}
	resp := &wire.FetchResponse{}
	for _, rec := range records {
		resp.Revision = max(resp.Revision, rec.Revision)
		if res := resource(rec); res != nil {
			resp.Resources = append(resp.Resources, res)
		}
	}
	if len(records) > 0 {
		h.config.Apply(resp)
	}
	return max(after, next), nil
}

// resource turns a record into a resource, or returns nil for a key that names
// none.
func resource(rec record.Record) *wire.Resource {
	kind, name, ok := strings.Cut(strings.TrimPrefix(rec.Key, prefix), "/")
	if !ok || kind == "" || name == "" {
		return nil
	}
	return &wire.Resource{
		Kind: kind, Name: name, Revision: rec.Revision, Deleted: rec.Deleted, Body: rec.Value,
	}
}

// differs tells whether a whole read brings anything that is not held. A hub
// that reads in calm weather finds what it held as a member, and keeps that
// revision: with the service's, all would have to fetch everything anew.
func differs(held, read *wire.FetchResponse) bool {
	if len(held.GetResources()) != len(read.GetResources()) {
		return true
	}
	revisions := make(map[string]int64, len(held.GetResources()))
	for _, r := range held.GetResources() {
		revisions[r.GetKind()+"/"+r.GetName()] = r.GetRevision()
	}
	for _, r := range read.GetResources() {
		if revisions[r.GetKind()+"/"+r.GetName()] != r.GetRevision() {
			return true
		}
	}
	return false
}
