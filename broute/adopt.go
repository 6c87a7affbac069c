package broute

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lavendermux/lavendermux/batch"
	"github.com/lavendermux/lavendermux/bstore"
	"github.com/lavendermux/lavendermux/mesh"
	"github.com/lavendermux/lavendermux/rendez"
	"github.com/lavendermux/lavendermux/replog"
	"github.com/lavendermux/lavendermux/sleep"
)

const (
	// orphanLoadDelay is the time from the start of this instance until it loads ended
	// batches without an owner, only to expire them: the instance that should have removed
	// them is gone.
	orphanLoadDelay = 10 * time.Minute
	// maxUnownedTime is how long a batch may have had no owner: from the last write of an
	// owner that was lost together with all its peers until its successor starts. Machines
	// that lose power are back within some 3.5 s.
	maxUnownedTime = 4 * time.Second
	// takeoverTimeout bounds one takeover attempt: the store's replies and the retries of
	// replicas that can't be reached.
	takeoverTimeout = 10 * time.Second
	// firstEpoch is the epoch of a batch that was created without an acceptor.
	firstEpoch = 1
	// acceptedEpoch is the epoch of a batch that an acceptor created. It is later than
	// firstEpoch, so that the instance claims the batch again if it has dropped it: it may
	// have listed results from replicas that must be read first.
	acceptedEpoch = firstEpoch + 1
)

// joinTakeover makes this instance the owner of a batch whose owner is lost, or joins a
// takeover already under way. An ended batch is only loaded, to be read. The takeover
// continues if ctx ends first: a caller waits for a second, and a successor may have to
// wait longer for a replica.
func (d *Router) joinTakeover(ctx context.Context, rec bstore.Record) error {
	d.mu.Lock()
	a, ok := d.takeovers[rec.ID]
	if !ok {
		a = &takeover{done: make(chan struct{})}
		d.takeovers[rec.ID] = a
		go d.runTakeover(a, rec)
	}
	d.mu.Unlock()
	select {
	case <-a.done:
		return a.err
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (d *Router) runTakeover(a *takeover, rec bstore.Record) {
	ctx, cancel := context.WithTimeout(d.baseCtx, takeoverTimeout)
	defer cancel()
	a.err = d.takeOver(ctx, rec)
	d.mu.Lock()
	delete(d.takeovers, rec.ID)
	d.mu.Unlock()
	close(a.done)
}

func (d *Router) takeOver(ctx context.Context, rec bstore.Record) error {
	if d.runner.Has(rec.ID) {
		return nil
	}
	cur, err := d.store.Load(ctx, rec.ID)
	if err != nil {
		return err
	}
	if cur.Revision == 0 {
		return &NotFoundError{ID: rec.ID}
	}
	if !cur.Ended && !d.mesh.WaitSettled(ctx) {
		return ctx.Err()
	}
	d.correctAge(&cur)
	from := cur.Owner
	if _, alive := d.mesh.FindHolder(from); alive && from != rec.Owner {
		d.cacheHead(cur)
		return &bstore.FencedError{ID: rec.ID, Now: cur.Head}
	}
	if peer, ok := d.ownerFor(rec.ID); ok && !cur.Ended {
		d.offer(ctx, peer, []string{rec.ID}, cur.Owner)
		d.uncacheHead(rec.ID)
		return nil
	}
	mustClaim := !cur.Ended && !d.createdForThisIncarnation(cur)
	if mustClaim {
		if err := d.store.TakeOver(ctx, &cur, d.self); err != nil {
			return err
		}
	}
	sub, err := d.store.Submission(ctx, cur)
	if err != nil {
		return err
	}
	results, err := d.store.Results(ctx, cur)
	if err != nil {
		return err
	}
	if mustClaim && len(cur.Replicas) > 0 && len(results) < cur.ItemCount {
		if results, err = d.recoverReplicas(ctx, &cur, results); err != nil {
			return err
		}
	}
	var progress []batch.Progress
	if !cur.Ended { // nothing of an ended one runs again
		if progress, err = d.store.Progress(ctx, cur); err != nil {
			return err
		}
	}
	d.cacheHead(cur)
	d.runner.Add(d.baseCtx, cur, sub, results, progress)
	d.logger.Warn("Batch taken over.", "batch", cur.ID, "from", from, "epoch", cur.Epoch, "results", len(results), "ended", cur.Ended)
	return nil
}

// recoverReplicas seals the replicas of a batch that was taken over and writes to the store
// what its previous owner listed on them while the store was unavailable. These results
// must not be listed before they are stored: another replica may have fewer of them, and
// there may be yet another owner.
func (d *Router) recoverReplicas(ctx context.Context, cur *bstore.Record, results []batch.Result) ([]batch.Result, error) {
	recovered, err := d.replicas.Seal(ctx, cur.ID, cur.Epoch, cur.Replicas, len(results))
	var quorumErr *replog.QuorumError
	switch {
	case errors.As(err, &quorumErr) && ctx.Err() == nil:
		d.logger.Error("Too few copies read; results listed while the store was unavailable may be missing.", "batch", cur.ID, "epoch", cur.Epoch,
			"found", len(recovered), "error", err)
	case err != nil:
		return nil, err
	}
	if len(recovered) == 0 {
		return results, nil
	}
	if err := d.store.Apply(ctx, bstore.Change{Record: cur, Results: recovered}); err != nil {
		return nil, err
	}
	d.logger.Info("Results of copies kept in the store.", "batch", cur.ID, "epoch", cur.Epoch, "from", len(results), "results", len(recovered))
	go d.replicas.Drop(d.baseCtx, cur.ID, cur.Epoch, cur.Replicas, cur.Results)
	return append(results, recovered...), nil
}

// correctAge corrects the age that the record had at its last write by the age that peers
// have reported since. If none has, the age may be too low by up to maxUnownedTime.
func (d *Router) correctAge(rec *bstore.Record) {
	age, reported := d.mesh.BatchAge(rec.ID)
	if reported {
		rec.AcceptedAt = earlier(rec.AcceptedAt, time.Now().Add(-age))
	}
	if !reported && !d.createdForThisIncarnation(*rec) {
		rec.Uncertainty = maxUnownedTime
	}
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// createdForThisIncarnation reports whether a peer created the batch for this incarnation of this
// instance and it has not been written since. It needs no later epoch then: a takeover
// would cost a write that delays the first items. After any write, a later epoch is needed
// even here, to tell late writes of an earlier ownership from those of the current one.
func (d *Router) createdForThisIncarnation(rec bstore.Record) bool {
	return rec.Owner == d.self && rec.Epoch == firstEpoch && rec.Writes == 0
}

// Lost takes over those batches of a lost peer for which this instance ranks first in
// rendezvous order.
func (d *Router) Lost(n mesh.Node, epochs map[string]int64) {
	alive := []string{d.mesh.Self().Name}
	for _, p := range d.mesh.Alive() {
		if p.Name != n.Name {
			alive = append(alive, p.Name)
		}
	}
	for id := range epochs {
		d.uncacheHead(id)
		if rendez.Rank(id, alive, d.mesh.Self().Name) == 0 {
			go d.takeOverLost(id, n.Holder())
		}
	}
}

func (d *Router) takeOverLost(id, owner string) {
	for d.baseCtx.Err() == nil {
		err := d.joinTakeover(d.baseCtx, bstore.Record{ID: id, Head: batch.Head{Owner: owner}})
		var fenced *bstore.FencedError
		var none *NotFoundError
		if err == nil || errors.As(err, &fenced) || errors.As(err, &none) {
			return
		}
		d.logger.Warn("Batch not taken over; retrying.", "batch", id, "error", err)
		time.Sleep(takeoverRetryPause)
	}
}

// Recover takes over the batches that have no owner after all instances stopped at once.
func (d *Router) Recover(ctx context.Context) {
	heads, err := d.store.Heads(ctx)
	var unreadable *bstore.DecodeError
	for err != nil && !errors.As(err, &unreadable) && ctx.Err() == nil {
		d.logger.Warn("Listing batches failed; retrying.", "error", err)
		time.Sleep(takeoverRetryPause)
		heads, err = d.store.Heads(ctx)
	}
	if unreadable != nil {
		d.logger.Error("Head of a batch is unreadable; the batch is left out.", "key", unreadable.Key, "error", unreadable.Cause)
	}
	open, ended := make(map[string]int64), make(map[string]int64)
	for _, head := range heads {
		_, alive := d.mesh.FindHolder(head.Owner)
		switch {
		case alive || d.runner.Has(head.ID):
		case head.Ended:
			ended[head.ID] = head.Epoch
		default:
			open[head.ID] = head.Epoch
		}
	}
	d.Lost(mesh.Node{}, open)
	if len(ended) > 0 && sleep.For(d.baseCtx, orphanLoadDelay) {
		d.Lost(mesh.Node{}, ended)
	}
}
