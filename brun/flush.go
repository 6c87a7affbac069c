package brun

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lavendermux/lavendermux/bstore"
	"github.com/lavendermux/lavendermux/flush"
	"github.com/lavendermux/lavendermux/sleep"
)

const (
	// progressInterval is the interval at which the partial text of long items is stored while
	// nothing else is written, and minProgressEvents the number of new events that justify a
	// write: under half a second of work. If all instances lose power at once, only what the
	// store has remains of a step, and its longest items determine when it ends.
	progressInterval  = 800 * time.Millisecond
	minProgressEvents = 10
	// stopSaveTimeout bounds how long Stop waits until the partial text of running items is
	// stored.
	stopSaveTimeout = 600 * time.Millisecond
	// flushRetryDelay is the delay after a write that the store refused.
	flushRetryDelay = 150 * time.Millisecond
	// maxWriteBytes is the maximum size of the results of a write, and of its partial text, unless one
	// entry alone has more. A write takes several times its size in memory.
	maxWriteBytes = 1 << 20
	// flushTimeout bounds one write including all its repeats.
	flushTimeout = 5 * time.Second
)

// writePlan is when the next write is due and what it contains.
type writePlan struct {
	// delay is the time until the write.
	delay time.Duration
	// withResults reports whether the write includes finished items, not only partial text.
	withResults bool
}

// flush creates a pending batch in the store, and then writes finished items until the batch has
// ended or is dropped. Results become readable only once the store or enough replicas have them.
func (r *Runner) flush(ctx context.Context, b *tracked) {
	if !r.storePending(ctx, b) {
		return
	}
	for {
		next, ok := r.waitForWrite(ctx, b)
		if !ok || !r.writePending(ctx, b, next.withResults) {
			return
		}
	}
}

// waitForWrite returns the plan of the next write when it is due, or false if ctx is done.
func (r *Runner) waitForWrite(ctx context.Context, b *tracked) (writePlan, bool) {
	for {
		next := r.nextWrite(b)
		if next.delay <= 0 {
			return next, true
		}
		t := time.NewTimer(next.delay)
		select {
		case <-ctx.Done():
		case <-t.C:
		case <-b.flushSignal:
		}
		t.Stop()
		if ctx.Err() != nil {
			return writePlan{}, false
		}
	}
}

// nextWrite returns when the next write is due. Partial text is stored more often than
// results: the next owner would have to generate again what is not stored, while a result that
// appears a second later costs the trainer nothing unless it completes the step.
func (r *Runner) nextWrite(b *tracked) writePlan {
	r.mu.Lock()
	defer r.mu.Unlock()
	if b.ended || b.dropped || b.saving != nil || b.hasMore || b.hasDiscarded {
		return writePlan{withResults: true}
	}
	now := time.Now()
	progress := writePlan{delay: max(0, progressInterval-now.Sub(b.writtenAt))}
	switch {
	case len(b.results) == b.record.Results:
		return progress // or new replicas, if they have to change
	case b.replicated > b.record.Results: // the replicas serve only while the store is unavailable
		return writePlan{withResults: true}
	}
	if withResults := (writePlan{delay: r.resultDelay(b, now), withResults: true}); withResults.delay <= progress.delay {
		return withResults
	}
	return progress
}

// resultDelay is how long finished items may wait before they are written. The caller holds
// r.mu.
func (r *Runner) resultDelay(b *tracked, now time.Time) time.Duration {
	return flush.State{
		Age:            b.record.Age(now),
		DueAfter:       r.dueAfter(b.sub),
		SinceLastWrite: now.Sub(b.resultsWrittenAt),
		CompleteGroups: b.completeGroups(len(b.results)),
		Kept:           b.completeGroups(b.published),
		RequiredGroups: b.sub.RequiredGroups,
		AllFinished:    len(b.results) == len(b.items),
	}.Delay()
}

// writePending writes what is due and reports whether to continue. A write without an answer
// must be repeated unchanged, since it may have taken effect.
func (r *Runner) writePending(ctx context.Context, b *tracked, withResults bool) bool {
	r.mu.Lock()
	if b.dropped || ctx.Err() != nil {
		r.mu.Unlock()
		return false
	}
	record := b.record
	change, saving := b.takeChange(&record, withResults, time.Now())
	r.mu.Unlock()
	if saving != nil {
		defer close(saving)
	}
	r.reassignReplicas(b, &change)
	if len(change.Results)+len(change.Progress) == 0 && change.Replicas == nil && !change.End {
		return !record.Ended
	}
	r.beginWrite(b, change)
	if !r.apply(ctx, b, change) {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	b.writing, b.movingReplicas, b.outgrowsReplicas = false, false, false
	b.record = record
	b.confirm(record.ConfirmedAt)
	b.published = max(b.published, record.Results)
	if len(change.Results) > 0 || change.End {
		b.notifyReaders()
		r.notePublished(b)
	}
	r.dropReplicas(ctx, b)
	if change.End {
		close(b.endStored)
	}
	return !record.Ended
}

// takeChange returns what is to be written, and the channel to close after that; nil if nothing waits
// for the write. The caller holds Runner.mu.
func (b *tracked) takeChange(record *bstore.Record, withResults bool, now time.Time) (change bstore.Change, saving chan struct{}) {
	change.Record = record
	b.writtenAt = now
	b.hasDiscarded = false
	moreResults, moreProgress := false, false
	if withResults {
		change.Results, moreResults = b.takeResults()
		for _, res := range change.Results {
			b.byID[res.ID].published = true
		}
		b.resultsWrittenAt = now
	}
	switch {
	case b.ended:
	case b.saving != nil:
		change.Progress, moreProgress = b.takeProgress(1, now)
	default:
		change.Progress, moreProgress = b.takeProgress(minProgressEvents, now)
	}
	change.End = b.ended && !record.Ended && !moreResults
	if b.hasMore = moreResults || moreProgress; b.hasMore {
		return change, nil // all is saved by a later write
	}
	saving, b.saving = b.saving, nil
	return change, saving
}

func (r *Runner) apply(ctx context.Context, b *tracked, change bstore.Change) bool {
	start, first := time.Now(), change.Record.Results
	ok := r.persist(ctx, b, "Results not kept yet.", func(ctx context.Context) error {
		rest := change
		rest.Results = change.Results[change.Record.Results-first:]
		return r.store.Apply(ctx, rest)
	})
	if ok {
		r.meter.Observe("results_kept_seconds", time.Since(start))
		r.mu.Lock()
		length := max(b.published, change.Record.Results)
		r.mu.Unlock()
		r.logger.Info("Results kept.", "batch", b.sub.ID, "epoch", change.Record.Epoch, "results", len(change.Results), "progress", len(change.Progress),
			"all", change.Record.Results, "length", length, "end", change.End, "revision", change.Record.Revision, "took", time.Since(start).Round(time.Millisecond))
	}
	return ok
}

// persist calls write until it succeeds, and logs failedMessage after each failure. It reports
// whether to continue: a batch that is fenced is dropped.
func (r *Runner) persist(ctx context.Context, b *tracked, failedMessage string, write func(ctx context.Context) error) bool {
	for {
		tryCtx, cancel := context.WithTimeout(ctx, flushTimeout)
		err := write(tryCtx)
		cancel()
		var fenced *bstore.FencedError
		switch {
		case err == nil:
			return true
		case errors.As(err, &fenced):
			r.drop(b, err.Error())
			return false
		}
		r.logger.Warn(failedMessage, "batch", b.sub.ID, "error", err)
		if r.isDropped(b) || !sleep.For(ctx, flushRetryDelay) {
			return false
		}
	}
}

func (r *Runner) isDropped(b *tracked) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return b.dropped
}
