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
	"github.com/lavendermux/lavendermux/seal"
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
	// takeoverTimeout bounds one takeover attempt: the replies of the store and of the replicas.
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
// continues if ctx ends first. It returns a *replog.QuorumError if too few replicas can be
// reached; the takeover is then retried until the batch has an owner.
func (d *Router) joinTakeover(ctx context.Context, rec bstore.Record) error {
	d.mu.Lock()
	a, ok := d.takeovers[rec.ID]
	if !ok {
		a = newTakeover()
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
	claimed, err := d.takeOver(ctx, rec)
	a.err = err
	d.meter.Count("takeovers_total", 1, "outcome", takeoverOutcome(a.err))
	if !isUnsealed(a.err) {
		d.removeTakeover(rec.ID, a)
		close(a.done)
		return
	}
	d.logger.Error("Batch not taken over: too few replicas of its results can be reached.", "batch", rec.ID, "owner", rec.Owner, "error", a.err)
	close(a.done)
	d.watchUnsealed(claimed)
	sleep.For(d.baseCtx, unsealedCacheTime)
	d.removeTakeover(rec.ID, a)
}

func newTakeover() *takeover {
	return &takeover{done: make(chan struct{}), removed: make(chan struct{})}
}

func (d *Router) removeTakeover(id string, a *takeover) {
	d.mu.Lock()
	delete(d.takeovers, id)
	d.mu.Unlock()
	close(a.removed)
}

func takeoverOutcome(err error) string {
	var fenced *bstore.FencedError
	switch {
	case err == nil:
		return "taken"
	case errors.As(err, &fenced):
		return "fenced"
	case isUnsealed(err):
		return "unsealed"
	}
	return "failed"
}

// isUnsealed reports whether a batch can't be continued because too few replicas of its results
// can be reached.
func isUnsealed(err error) bool {
	var tooFew *replog.QuorumError
	return errors.As(err, &tooFew)
}

// takeOver makes one attempt and returns the record as it is then.
func (d *Router) takeOver(ctx context.Context, rec bstore.Record) (cur bstore.Record, err error) {
	if d.runner.Has(rec.ID) {
		return rec, nil
	}
	if cur, err = d.store.Load(ctx, rec.ID); err != nil {
		return cur, err
	}
	if cur.Revision == 0 {
		return cur, &NotFoundError{ID: rec.ID}
	}
	if !cur.Ended && !d.mesh.WaitSettled(ctx) {
		return cur, ctx.Err()
	}
	d.correctAge(&cur)
	from := cur.Owner
	if from != rec.Owner && d.isHeard(ctx, from) {
		d.cacheHead(cur)
		return cur, &bstore.FencedError{ID: rec.ID, Now: cur.Head}
	}
	if !cur.Ended && d.offerToPeer(ctx, cur) {
		return cur, nil
	}
	mustSeal, err := d.claim(ctx, &cur)
	if err != nil {
		return cur, err
	}
	return cur, d.load(ctx, &cur, from, mustSeal)
}

// isHeard reports whether this instance or one of its peers hears an owner.
func (d *Router) isHeard(ctx context.Context, owner string) bool {
	n, alive := d.mesh.FindHolder(owner)
	if alive || n.Name == "" {
		return alive
	}
	_, heard := d.mesh.Witness(ctx, n.Name)
	return heard
}

// load reads what there is of a batch and runs it here, or serves it if it has ended.
func (d *Router) load(ctx context.Context, cur *bstore.Record, from string, mustSeal bool) error {
	sub, err := d.store.Submission(ctx, *cur)
	if err != nil {
		return err
	}
	results, err := d.store.Results(ctx, *cur)
	if err != nil {
		return err
	}
	if mustSeal {
		if results, err = d.recoverReplicas(ctx, cur, results); err != nil {
			return err
		}
	}
	var progress []batch.Progress
	if !cur.Ended { // nothing of an ended one runs again
		if progress, err = d.store.Progress(ctx, *cur); err != nil {
			return err
		}
	}
	d.cacheHead(*cur)
	d.runner.Add(d.baseCtx, *cur, sub, results, progress)
	d.logger.Warn("Batch taken over.", "batch", cur.ID, "from", from, "epoch", cur.Epoch, "revision", cur.Revision, "results", len(results), "ended", cur.Ended)
	return nil
}

// offerToPeer offers a batch to the peer that should own it instead of this instance, if there is
// one, and reports whether this instance has nothing more to do.
func (d *Router) offerToPeer(ctx context.Context, cur bstore.Record) bool {
	peer, ok := d.ownerFor(cur.ID)
	if !ok {
		return false
	}
	taken := d.offer(ctx, peer, []string{cur.ID}, cur.Owner)
	d.uncacheHead(cur.ID)
	return taken > 0 || d.stopping.Load()
}

// claim makes this instance the owner in the record of a batch, unless the batch has ended or
// was created for this instance. It reports whether the replicas must be sealed before the batch
// is continued.
func (d *Router) claim(ctx context.Context, cur *bstore.Record) (mustSeal bool, err error) {
	if cur.Ended || d.createdForThisIncarnation(*cur) {
		return false, nil
	}
	mustSeal = needsSeal(*cur)
	if mustSeal {
		if err := d.checkReplicas(ctx, *cur); err != nil {
			return false, err
		}
	}
	return mustSeal, d.store.TakeOver(ctx, cur, d.self)
}

// checkReplicas returns an error unless enough replicas of a batch answer. A claim without them
// would keep an instance that reaches them from continuing the batch.
func (d *Router) checkReplicas(ctx context.Context, cur bstore.Record) error {
	err := d.replicas.Probe(ctx, cur.ID, cur.Epoch, cur.Replicas)
	var fenced *seal.FencedError
	if errors.As(err, &fenced) {
		return nil // the store decides whether the record has changed
	}
	return err
}

// recoverReplicas seals the replicas of a batch that was taken over and writes to the store
// what its previous owner listed on them while the store was unavailable. These results
// must not be listed before they are stored: another replica may have fewer of them, and
// there may be yet another owner. Without enough replicas it returns a *replog.QuorumError, and
// the batch must not be continued: listed results may be on those out of reach.
func (d *Router) recoverReplicas(ctx context.Context, cur *bstore.Record, results []batch.Result) ([]batch.Result, error) {
	recovered, err := d.replicas.Seal(ctx, cur.ID, cur.Epoch, cur.Replicas, len(results))
	if err != nil || len(recovered) == 0 {
		return results, err
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
// rendezvous order. The next ones watch, since the first may fail, or not reach the replicas.
func (d *Router) Lost(n mesh.Node, epochs map[string]int64) {
	alive := []string{d.mesh.Self().Name}
	for _, p := range d.mesh.Alive() {
		if p.Name != n.Name {
			alive = append(alive, p.Name)
		}
	}
	d.runner.DropFenced(n.Name, epochs)
	for id, epoch := range epochs {
		d.uncacheHead(id)
		switch rank := rendez.Rank(id, alive, d.mesh.Self().Name); {
		case rank == 0:
			go d.takeOverLost(id, n.Holder())
		case rank < successorCount:
			go d.watch(id, epoch, time.Duration(rank)*successorDelay)
		}
	}
}

func (d *Router) takeOverLost(id, owner string) {
	for d.baseCtx.Err() == nil {
		err := d.joinTakeover(d.baseCtx, bstore.Record{ID: id, Head: batch.Head{Owner: owner}})
		var fenced *bstore.FencedError
		var none *NotFoundError
		switch {
		case errors.As(err, &fenced):
			go d.watch(id, fenced.Now.Epoch, successorDelay) // the new owner may be unable to continue it
			return
		case err == nil, errors.As(err, &none), isUnsealed(err): // unsealed: a watch retries
			return
		}
		d.logger.Warn("Batch not taken over; retrying.", "batch", id, "error", err)
		time.Sleep(takeoverRetryPause)
	}
}

// watch calls runWatch unless the batch is watched already.
func (d *Router) watch(id string, epoch int64, delay time.Duration) {
	d.mu.Lock()
	_, isWatched := d.watched[id]
	if !isWatched {
		d.watched[id] = bstore.Record{}
	}
	d.mu.Unlock()
	if !isWatched {
		d.runWatch(id, epoch, delay)
	}
}

// watchUnsealed watches a batch that this instance couldn't take over without its replicas.
func (d *Router) watchUnsealed(rec bstore.Record) {
	d.mu.Lock()
	_, isWatched := d.watched[rec.ID]
	d.watched[rec.ID] = rec
	d.mu.Unlock()
	if !isWatched {
		go d.runWatch(rec.ID, rec.Epoch, unsealedRetryPause)
	}
}

// runWatch makes sure that an open batch has an owner: it looks after delay, and then at intervals
// of unsealedRetryPause until this instance or a peer owns the batch, or it has ended. One that owns it
// at an earlier epoch was replaced and hasn't noticed. While too few replicas answer, the store isn't
// asked: they may be lost for good.
func (d *Router) runWatch(id string, epoch int64, delay time.Duration) {
	defer func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		delete(d.watched, id)
	}()
	for ; sleep.For(d.baseCtx, delay) && !d.stopping.Load(); delay = unsealedRetryPause {
		own, isOwn := d.runner.Epoch(id)
		if peers := d.mesh.OpenEpoch(id); (isOwn && own >= epoch) || (peers > 0 && peers >= epoch) {
			return
		}
		d.mu.Lock()
		unsealed := d.watched[id]
		d.mu.Unlock()
		if d.isStoreDown() || (unsealed.ID != "" && d.checkReplicas(d.baseCtx, unsealed) != nil) {
			continue
		}
		var none *NotFoundError
		if err := d.ensureOwned(id); err == nil || errors.As(err, &none) {
			return
		}
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
