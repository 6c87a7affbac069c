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
	// initialBackoff is the delay after the first failed call; it doubles.
	initialBackoff = 250 * time.Millisecond
	// failureJitter changes delays after failures by up to half in either direction, so
	// that the hubs of all data centres don't reconnect at once after an outage.
	failureJitter = 0.5
	// normalJitter is the relative jitter of delays in normal operation.
	normalJitter = 0.1
	// confirmTimeout bounds a check with the store, which answers in milliseconds. The
	// instance that waits for it has time left to ask the other entries instead.
	confirmTimeout = 500 * time.Millisecond
	// confirmDelay is how long such a check waits for more instances that start. When all of a
	// large fleet start, each hub calls the store ten times a second instead of once for each
	// of its members.
	confirmDelay = 100 * time.Millisecond
)

// followConfig applies the configuration from the metadata store until ctx ends: one
// full list, then one watch after another.
func (h *Hub) followConfig(ctx context.Context) {
	listed := false
	after := int64(0)
	backoff := initialBackoff
	for ctx.Err() == nil {
		var err error
		if !listed {
			after, err = h.listConfig(ctx)
			listed = err == nil
		} else {
			after, err = h.watchConfig(ctx, after, h.jitter(h.watchWait, normalJitter))
		}
		if err == nil {
			h.setCursor(after)
		}
		var gap *fault.CompactedError
		if errors.As(err, &gap) {
			listed = false
		}
		if err == nil {
			backoff = initialBackoff
			continue
		}
		if !sleep.For(ctx, h.jitter(backoff, failureJitter)) {
			return
		}
		backoff = min(2*backoff, maxBackoff*2/3)
	}
}

// listConfig lists all resources and applies them at the store's revision, even if
// nothing differs. With the revision of the last change that is still visible, a peer
// that was cut off could bring back a resource that it saw created and didn't see
// deleted; operators would find it again days later.
//
// A response that is older than the applied configuration is an error: the store was
// restored from an older state. The cache would ignore it silently, and operators would
// wonder why their changes don't come into force.
func (h *Hub) listConfig(ctx context.Context) (int64, error) {
	records, revision, err := h.store.List(ctx, object.KeyPrefix)
	if err != nil {
		return 0, err
	}
	if applied := h.config.Revision(); revision < applied {
		h.log.Error("key-value service is behind what is in force", "service", revision, "held", applied)
		return 0, errors.Newf("key-value service is at revision %d, behind the held revision %d", revision, applied)
	}
	resp := &wire.FetchResponse{Revision: revision, Whole: true}
	for _, rec := range records {
		if res, ok := confs.FromRecord(rec); ok {
			resp.Resources = append(resp.Resources, res)
		}
	}
	h.applyFromStore(resp)
	return revision, nil
}

// watchConfig waits for changes and applies them. The revision in force is that of the
// last change of a resource and not the store's, which each renewal of a lease may
// advance: otherwise every write of any key would make all instances fetch nothing.
func (h *Hub) watchConfig(ctx context.Context, after int64, wait time.Duration) (int64, error) {
	records, next, err := h.store.Watch(ctx, object.KeyPrefix, after, wait)
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
		h.applyFromStore(resp)
	}
	return max(after, next), nil
}

func (h *Hub) applyFromStore(resp *wire.FetchResponse) {
	before := h.config.Revision()
	if h.config.Apply(resp) {
		h.log.Info("Configuration updated.", "source", "keyValue", "before", before, "revision", resp.GetRevision())
	}
}

// confirmConfig asks the metadata store for the changes that the last watch has not
// returned yet and applies them. On success the configuration holds every change that was
// accepted before the call. A watch that is still waiting proves nothing: its connection
// may be cut.
func (h *Hub) confirmConfig(ctx context.Context) error {
	h.mu.Lock()
	after := h.cursor
	h.mu.Unlock()
	if after == nil {
		return errNotHub
	}
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	_, err := h.watchConfig(ctx, *after, 0)
	return err
}

func (h *Hub) setCursor(after int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.cursor = &after
}
