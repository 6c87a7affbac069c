package brun

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lavendermux/lavendermux/batch"
	"github.com/lavendermux/lavendermux/bstore"
	"github.com/lavendermux/lavendermux/seal"
)

const (
	// replicateAfter is how long a write may take before finished results go to the replicas.
	// The store answers in 4 ms, or in a quarter of a second when it is slow; a trainer reads
	// twice a second.
	replicateAfter = 300 * time.Millisecond
	// replicateRetryDelay is the delay after a replication that failed.
	replicateRetryDelay = 300 * time.Millisecond
)

type (
	// Replicas replicates results to several disks while the metadata store is unavailable; see
	// package replog.
	Replicas interface {
		// Choose returns the replicas that a batch should use, given the present ones. It returns
		// nil if there are no better ones, and an empty slice if the batch must have none.
		Choose(id string, current []batch.Replica) []batch.Replica
		// Append appends results, which begin at position stored, to the replicas and returns nil
		// once enough of them have the results. Those before position from were appended
		// earlier.
		Append(ctx context.Context, id string, epoch int64, replicas []batch.Replica, from, stored int, results []batch.Result) error
		// Confirm returns nil if no later owner can have sealed the replicas when it was called, a
		// *seal.FencedError if one has, and another error if too few of them answer.
		Confirm(ctx context.Context, id string, epoch int64, replicas []batch.Replica) error
		// Drop has the replicas delete the results, of which the store has the first stored ones.
		Drop(ctx context.Context, id string, epoch int64, replicas []batch.Replica, stored int)
	}

	// noReplicas is used if there are no disks: results then wait for the store.
	noReplicas struct{}
)

// Choose implements Replicas.
func (noReplicas) Choose(string, []batch.Replica) []batch.Replica { return nil }

// Append implements Replicas; it is never called, as there are no replicas.
func (noReplicas) Append(context.Context, string, int64, []batch.Replica, int, int, []batch.Result) error {
	return nil
}

// Confirm implements Replicas; it is never called, as there are no replicas.
func (noReplicas) Confirm(context.Context, string, int64, []batch.Replica) error { return nil }

// Drop implements Replicas.
func (noReplicas) Drop(context.Context, string, int64, []batch.Replica, int) {}

// WithReplicas makes results readable while the store is unavailable, by replicating them. By
// default they wait for the store.
func WithReplicas(c Replicas) Option {
	return func(r *Runner) { r.replicas = c }
}

// reassignReplicas adds new replicas to a write if one of the present ones is unreachable or to be emptied. A
// batch without other changes is written for this alone: if disks were replaced one after the
// other, it would otherwise be left without a replica.
func (r *Runner) reassignReplicas(b *tracked, change *bstore.Change) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if change.End || b.replicating || b.replicated > b.record.Results || b.record.Results == len(b.items) {
		return
	}
	if c := r.replicas.Choose(b.sub.ID, b.record.Replicas); c != nil && !sameReplicas(c, b.record.Replicas) {
		change.Replicas = c
	}
}

// beginWrite records that a write is in flight.
func (r *Runner) beginWrite(b *tracked, change bstore.Change) {
	r.mu.Lock()
	defer r.mu.Unlock()
	b.writing, b.movingReplicas = true, change.Replicas != nil
	b.outgrowsReplicas = b.movingReplicas || change.End || b.record.Results+len(change.Results) == len(b.items)
}

func sameReplicas(a, b []batch.Replica) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if a[i] != b[i] {
			return false
		}
	}
	return true
}

// replicateOverdue sends finished results to the replicas while a write gets no answer and the
// trainer waits for them. The caller holds r.mu.
func (r *Runner) replicateOverdue(ctx context.Context, b *tracked, now time.Time) {
	isBlocked := b.writing && now.Sub(b.writtenAt) > replicateAfter && !b.movingReplicas
	if !isBlocked || b.replicating || b.ended || b.dropped || now.Before(b.nextReplication) || len(b.record.Replicas) == 0 {
		return
	}
	if len(b.results) <= b.published || r.resultDelay(b, now) > 0 {
		return
	}
	b.replicating = true
	record := b.record
	from, to := max(record.Results, b.replicated), len(b.results)
	go r.replicate(ctx, b, record, from, b.results[record.Results:to:to], now)
}

// replicate appends the results that the store lacks to the replicas, and makes them readable
// once enough replicas have them. The replicas already have those before position from.
func (r *Runner) replicate(ctx context.Context, b *tracked, record bstore.Record, from int, results []batch.Result, start time.Time) {
	err := r.replicas.Append(ctx, record.ID, record.Epoch, record.Replicas, from, record.Results, results)
	took := time.Since(start)
	var fenced *seal.FencedError
	if errors.As(err, &fenced) {
		r.drop(b, err.Error())
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	b.replicating = false
	if err != nil {
		b.nextReplication = time.Now().Add(replicateRetryDelay)
		r.meter.Count("results_copied_total", int64(len(results)), "outcome", "failed")
		r.logger.Warn("Results on too few copies.", "batch", record.ID, "epoch", record.Epoch, "from", from, "results", len(results),
			"error", err, "took", took.Round(time.Millisecond))
		return
	}
	r.meter.Count("results_copied_total", int64(len(results)), "outcome", "ok")
	r.meter.Observe("results_copied_seconds", took)
	b.confirm(start)
	b.replicated = record.Results + len(results)
	if b.dropped || b.ended {
		return
	}
	b.published = max(b.published, b.replicated)
	b.resultsWrittenAt = time.Now()
	b.notifyReaders()
	r.notePublished(b)
	r.logger.Info("Results stored on copies.", "batch", record.ID, "epoch", record.Epoch, "from", from, "results", len(results),
		"copies", len(record.Replicas), "all", b.published, "took", took.Round(time.Millisecond))
	r.dropReplicas(ctx, b)
}

// dropReplicas has the replicas delete their results once the store has all of them. The
// caller holds r.mu.
func (r *Runner) dropReplicas(ctx context.Context, b *tracked) {
	if b.replicating || b.replicated == 0 || b.record.Results < b.replicated {
		return
	}
	b.replicated = 0
	record := b.record
	go r.replicas.Drop(ctx, record.ID, record.Epoch, record.Replicas, record.Results)
}
