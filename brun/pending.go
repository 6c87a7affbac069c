package brun

import (
	"context"
	"time"

	"github.com/lavendermux/lavendermux/batch"
	"github.com/lavendermux/lavendermux/bstore"
)

// AddPending starts running a batch that was accepted while the metadata store is unavailable,
// and that the store lacks until store has succeeded. record has the epoch and the replicas
// under which the batch was accepted, and the time of that.
//
// store is called before any other write of the batch, each time with a copy of record, until it
// returns nil or a *bstore.FencedError, which drops the batch. It must return once its ctx is
// done, and is called again after flushRetryDelay. Until it has succeeded, results are listed
// once enough replicas have them, as during any other write without an answer.
//
// A pending batch isn't expired or removed. Its end stops the items at once, and is acknowledged
// only once the store has the batch and its end. Stop waits for it as for a stored batch, at
// most stopSaveTimeout; store is called on until ctx is done. A drop ends the calls of store and
// leaves what the replicas have to the next owner.
//
// Unlike with Add, a batch that is added after Stop is tracked without starting its items: it was
// accepted, so its caller must be able to read it, and the store should get it. If the batch is
// on this instance already, AddPending does nothing.
func (r *Runner) AddPending(ctx context.Context, record bstore.Record, sub *batch.Submission, store func(ctx context.Context, rec *bstore.Record) error) {
	b := newTracked(record, sub, nil)
	b.create = store
	b.writing, b.writtenAt = true, time.Now()
	r.add(ctx, b, 0)
}

// isPending reports whether the store lacks the batch. The caller holds Runner.mu.
func (b *tracked) isPending() bool { return b.create != nil }

// storePending creates a pending batch in the store and reports whether to continue.
func (r *Runner) storePending(ctx context.Context, b *tracked) bool {
	r.mu.Lock()
	create, accepted := b.create, b.record
	r.mu.Unlock()
	if create == nil {
		return true
	}
	var record bstore.Record
	start := time.Now()
	ok := r.persist(ctx, b, "Batch not stored yet.", func(ctx context.Context) error {
		record = accepted
		return create(ctx, &record)
	})
	if !ok {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	b.record = record
	b.create, b.writing = nil, false
	b.confirm(record.ConfirmedAt)
	r.logger.Info("Batch stored.", "batch", record.ID, "epoch", record.Epoch, "revision", record.Revision, "results", len(b.results),
		"listed", b.published, "ended", b.ended, "took", time.Since(start).Round(time.Millisecond))
	return true
}
