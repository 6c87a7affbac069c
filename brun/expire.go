package brun

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lavendermux/lavendermux/bstore"
	"github.com/lavendermux/lavendermux/kvst"
)

const (
	// defaultRetention is how long results stay readable after the submission.
	defaultRetention = 2 * time.Minute
	// expiryMargin allows for clock differences between instances and for reads in flight.
	expiryMargin = 30 * time.Second
	// maxOpenAge is how long a batch is kept that its trainer never ends.
	maxOpenAge = time.Hour
	// removeTimeout bounds one removal; a failed one is retried after removeRetryDelay.
	removeTimeout    = 5 * time.Second
	removeRetryDelay = 10 * time.Second
	// maxPendingRemovals bounds the removals that wait for the store to become available again.
	maxPendingRemovals = 4000
)

// WithRetention sets how long results stay readable after the submission. The default is 2
// minutes.
func WithRetention(d time.Duration) Option {
	return func(r *Runner) {
		if d > 0 {
			r.retention = d
		}
	}
}

// takeExpired forgets the batches whose retention is over and returns them, along with the
// removals to retry. Without it every batch would stay in the store, and in the memory of each
// instance that has served it. Pending batches stay: they were accepted, and the store must get
// them. The caller holds r.mu.
func (r *Runner) takeExpired(now time.Time) []bstore.Record {
	var out []bstore.Record
	for id, b := range r.tracked {
		maxAge := r.retention + expiryMargin
		if !b.record.Ended {
			maxAge = max(maxAge, maxOpenAge)
		}
		if b.isPending() || b.record.Age(now) < maxAge {
			continue
		}
		delete(r.tracked, id)
		b.dropped = true
		r.stopItems(b)
		b.signalFlush()
		out = append(out, b.record)
	}
	if now.After(r.nextRemoval) {
		out = append(out, r.pendingRemovals...)
		r.pendingRemovals = nil
	}
	return out
}

// remove deletes batches from the store. Several instances may remove the same batch: the
// first one succeeds, and the others find that the head is gone.
func (r *Runner) remove(ctx context.Context, expired []bstore.Record) {
	for _, record := range expired {
		tryCtx, cancel := context.WithTimeout(ctx, removeTimeout)
		err := r.store.Remove(tryCtx, record)
		cancel()
		r.logger.Info("Batch expired.", "batch", record.ID, "epoch", record.Epoch, "revision", record.Revision, "results", record.Results, "ended", record.Ended, "error", err)
		var gone *kvst.ConflictError
		if err != nil && !errors.As(err, &gone) {
			r.retryRemoval(record)
		}
	}
}

// retryRemoval schedules another attempt at a removal. No other instance would try: the batch
// is on no instance any more, and its keys would stay in the store.
func (r *Runner) retryRemoval(record bstore.Record) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.pendingRemovals) >= maxPendingRemovals {
		r.logger.Warn("Batch left in the store, too many pending removals.", "batch", record.ID, "waiting", len(r.pendingRemovals))
		return
	}
	r.pendingRemovals = append(r.pendingRemovals, record)
	r.nextRemoval = time.Now().Add(removeRetryDelay)
}
