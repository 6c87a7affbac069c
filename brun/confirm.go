package brun

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lavendermux/lavendermux/bstore"
	"github.com/lavendermux/lavendermux/seal"
)

const (
	// readLease is how long after a confirmation of ownership an instance says that there are no more
	// results. Those that were read elsewhere must be in each list a second later.
	readLease = 500 * time.Millisecond
	// startLease is how long after a confirmation items start: those of a batch that its successor has
	// ended must not start 3 s after that. Without an answer within startWait they do: in an outage
	// work goes on.
	startLease = 2 * time.Second
	startWait  = 250 * time.Millisecond
	// confirmTimeout bounds a confirmation, after which it says too little of the present; the replicas
	// are asked if the store takes longer than confirmStoreTime.
	confirmTimeout   = 800 * time.Millisecond
	confirmStoreTime = 100 * time.Millisecond
)

// UnconfirmedError reports that this instance can't tell whether it still owns a batch: it reaches
// neither the metadata store nor enough replicas.
type UnconfirmedError struct {
	ID    string
	Cause error
}

// Error names the batch and the cause.
func (e *UnconfirmedError) Error() string {
	return errors.Wrapf(e.Cause, "ownership of batch %s isn't confirmed", e.ID).Error()
}

// Unwrap returns the cause.
func (e *UnconfirmedError) Unwrap() error { return e.Cause }

// confirm records that this instance owned the batch at a time. The caller holds Runner.mu.
func (b *tracked) confirm(at time.Time) {
	if at.After(b.confirmedAt) {
		b.confirmedAt = at
	}
}

// isFinal reports whether no other instance can list more results than can be read here. The caller
// holds Runner.mu.
func (b *tracked) isFinal() bool { return b.record.Ended || b.published == len(b.items) }

// isConfirmed reports whether reads are answered from memory. The caller holds Runner.mu.
func (b *tracked) isConfirmed(now time.Time) bool {
	return b.isFinal() || now.Sub(b.confirmedAt) <= readLease
}

// startConfirmation confirms ownership of a batch, unless that is under way, and returns a channel that
// is closed at its end. The caller holds r.mu.
func (r *Runner) startConfirmation(b *tracked) <-chan struct{} {
	if b.confirming == nil {
		b.confirming = make(chan struct{})
		go r.runConfirmation(b, b.confirming)
	}
	return b.confirming
}

// runConfirmation confirms ownership of a batch as of now, or drops the batch if it has another owner.
func (r *Runner) runConfirmation(b *tracked, done chan struct{}) {
	start := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), confirmTimeout)
	defer cancel()
	source, err := r.checkOwnership(ctx, b)
	if isFenced(err) {
		r.drop(b, err.Error())
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	defer close(done)
	defer r.Wake()
	b.confirming = nil
	outcome := "confirmed"
	switch {
	case err == nil:
		b.confirm(start)
	case isFenced(err):
		outcome = "lost"
	default:
		outcome = "unconfirmed"
	}
	r.meter.Count("ownership_checks_total", 1, "source", source, "outcome", outcome)
	isNew := (err == nil) != (b.confirmErr == nil)
	b.confirmErr = nil
	if err != nil {
		b.confirmErr = &UnconfirmedError{ID: b.sub.ID, Cause: err}
	}
	if isNew {
		r.logger.Info("Batch ownership checked.", "batch", b.sub.ID, "epoch", b.record.Epoch, "outcome", outcome, "source", source, "listed", b.published,
			"stored", b.record.Results, "confirmedAgo", time.Since(b.confirmedAt).Round(time.Millisecond), "error", err, "took", time.Since(start).Round(time.Millisecond))
	}
}

func isFenced(err error) bool {
	var byStore *bstore.FencedError
	var byReplica *seal.FencedError
	return errors.As(err, &byStore) || errors.As(err, &byReplica)
}

// checkOwnership asks the store whether this instance owns the batch, and the replicas if the store
// doesn't answer soon. It returns which of them decided.
func (r *Runner) checkOwnership(ctx context.Context, b *tracked) (source string, err error) {
	type answer struct {
		source string
		err    error
	}
	answers, storeFailed := make(chan answer, 2), make(chan struct{})
	go func() {
		err := r.checkHead(ctx, b)
		if err != nil && !isFenced(err) {
			close(storeFailed)
		}
		answers <- answer{"store", err}
	}()
	go func() {
		wait := time.NewTimer(confirmStoreTime)
		defer wait.Stop()
		select {
		case <-storeFailed:
		case <-wait.C:
		case <-ctx.Done():
			answers <- answer{"replicas", ctx.Err()}
			return
		}
		answers <- answer{"replicas", r.checkReplicas(ctx, b)}
	}()
	var failed error
	for range cap(answers) {
		a := <-answers
		if a.err == nil || isFenced(a.err) {
			return a.source, a.err
		}
		failed = errors.CombineErrors(a.err, failed)
	}
	return "none", failed
}

// checkHead returns nil if the store's record of the batch names this instance at the same epoch, and
// a *bstore.FencedError if it names another one or is gone. A record that has ended confirms nothing
// unless this instance knows it: others may serve the batch, with all results of a write without answer.
func (r *Runner) checkHead(ctx context.Context, b *tracked) error {
	r.mu.Lock()
	record, isPending := b.record, b.isPending()
	r.mu.Unlock()
	now, err := r.store.Load(ctx, b.sub.ID)
	switch {
	case err != nil:
		return err
	case now.Revision == 0 && isPending:
		return errors.New("the store lacks the batch")
	case now.Owner != record.Owner || now.Epoch != record.Epoch:
		return &bstore.FencedError{ID: b.sub.ID, Now: now.Head}
	case now.Ended && !record.Ended:
		return errors.New("the end of the batch has taken effect without an answer")
	}
	return nil
}

// checkReplicas returns nil if no successor can have listed results: it would have sealed the replicas
// first.
func (r *Runner) checkReplicas(ctx context.Context, b *tracked) error {
	r.mu.Lock()
	record, outgrows := b.record, b.outgrowsReplicas
	r.mu.Unlock()
	switch {
	case len(record.Replicas) == 0:
		return errors.New("the batch has no replicas")
	case outgrows:
		return errors.New("a write is in flight after which a successor doesn't need these replicas")
	}
	return r.replicas.Confirm(ctx, record.ID, record.Epoch, record.Replicas)
}

// maySend reports whether items of a batch may start. If its ownership wasn't confirmed for a while, it
// is checked first. The caller holds r.mu.
func (r *Runner) maySend(b *tracked, now time.Time) bool {
	switch {
	case b.isPending() || now.Sub(b.confirmedAt) < startLease:
		return true
	case now.Sub(b.awaitedSince) >= startLease:
		b.awaitedSince = now
		r.startConfirmation(b)
	}
	return now.Sub(b.awaitedSince) >= startWait
}
