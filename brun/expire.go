package brun

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lavendermux/lavendermux/bstore"
	"github.com/lavendermux/lavendermux/kvst"
)

const (
	// defaultRetention is how long results stay readable after submission.
	defaultRetention = 2 * time.Minute
	// expireSlack is added for clocks that differ between instances and for reads
	// that are on their way.
	expireSlack = 30 * time.Second
	// openMost is how long a submission is kept whose trainer never ends it.
	openMost = time.Hour
	// expireTimeout bounds one removal; one that fails is tried again after
	// expireRetry.
	expireTimeout = 5 * time.Second
	expireRetry   = 10 * time.Second
	// expireMost bounds the removals that wait for the store to come back.
	expireMost = 4000
)

// WithRetention sets how long results stay readable after submission. The default
// is 2 minutes.
func WithRetention(d time.Duration) Option {
	return func(r *Runner) {
		if d > 0 {
			r.retention = d
		}
	}
}

// expired returns the submissions that nobody may ask for any more, and forgets
// them. Without this the store would fill with every submission ever made, and each
// instance's memory with those that it has answered for. The lock is held.
func (r *Runner) expired(now time.Time) []bstore.Kept {
	var out []bstore.Kept
	for id, h := range r.held {
		most := r.retention + expireSlack
		if !h.kept.Ended {
			most = max(most, openMost)
		}
		if h.kept.Age(now) < most {
			continue
		}
		delete(r.held, id)
		h.dropped = true
		r.stopItems(h)
		h.poke()
		out = append(out, h.kept)
	}
	if now.After(r.removeAgain) {
		out = append(out, r.unremoved...)
		r.unremoved = nil
	}
	return out
}

// remove deletes submissions from the store. Several instances may have one; the
// first removes it, and the others meet a head that is gone.
func (r *Runner) remove(ctx context.Context, expired []bstore.Kept) {
	for _, k := range expired {
		tryCtx, cancel := context.WithTimeout(ctx, expireTimeout)
		err := r.store.Remove(tryCtx, k)
		cancel()
		r.logger.Info("Batch expired.", "batch", k.ID, "results", k.Results, "ended", k.Ended, "error", err)
		var gone *kvst.ConflictError
		if err != nil && !errors.As(err, &gone) {
			r.keepForRemoval(k)
		}
	}
}

// keepForRemoval has a removal tried again. Nobody else would: the submission is held
// nowhere any longer, and its keys would stay in the store.
func (r *Runner) keepForRemoval(k bstore.Kept) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.unremoved) >= expireMost {
		r.logger.Warn("Batch left in the store.", "batch", k.ID, "waiting", len(r.unremoved))
		return
	}
	r.unremoved = append(r.unremoved, k)
	r.removeAgain = time.Now().Add(expireRetry)
}
