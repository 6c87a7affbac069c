package hubs

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lavendermux/lavendermux/confs"
	"github.com/lavendermux/lavendermux/fault"
	"github.com/lavendermux/lavendermux/object"
	"github.com/lavendermux/lavendermux/sleep"
	"github.com/lavendermux/lavendermux/wire"
)

const (
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
		if !sleep.For(ctx, h.jitter(wait, wide)) {
			return
		}
		wait = min(2*wait, defaultBackoff*2/3)
	}
}

// list reads everything, and puts it in force at the service's revision even
// when nothing differs. With the revision of the last change that is still
// visible, a peer that was cut off could bring back a resource which it saw
// made and did not see deleted; operators would meet it again days later.
//
// An answer that is older than what the instance holds is an error: it comes from
// a service that was set back. The cache would refuse it without a word, and
// operators would wonder why nothing that they write comes into force.
func (h *Hub) list(ctx context.Context) (int64, error) {
	records, revision, err := h.store.List(ctx, object.KeyPrefix)
	if err != nil {
		return 0, err
	}
	if held := h.config.Revision(); revision < held {
		h.log.Error("key-value service is behind what is in force", "service", revision, "held", held)
		return 0, errors.Newf("service at revision %d, held %d", revision, held)
	}
	resp := &wire.FetchResponse{Revision: revision, Whole: true}
	for _, rec := range records {
		if res, ok := confs.FromRecord(rec); ok {
			resp.Resources = append(resp.Resources, res)
		}
	}
	h.config.Apply(resp)
	return revision, nil
}

// watch waits for changes and takes them in. The revision in force is that of
// the last change of a resource and not the service's, which each renewal of a
// lease may move: otherwise every write of anything would make all instances
// fetch nothing.
func (h *Hub) watch(ctx context.Context, after int64) (int64, error) {
	records, next, err := h.store.Watch(ctx, object.KeyPrefix, after, h.jitter(h.watchWait, narrow))
	if err != nil {
		return after, err
	}
	resp := &wire.FetchResponse{}
	for _, rec := range records {
		resp.Revision = max(resp.Revision, rec.Revision)
		if res, ok := confs.FromRecord(rec); ok {
			resp.Resources = append(resp.Resources, res)
		}
	}
	if len(records) > 0 {
		h.config.Apply(resp)
	}
	return max(after, next), nil
}
