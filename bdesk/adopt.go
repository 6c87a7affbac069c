package bdesk

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lavendermux/lavendermux/batch"
	"github.com/lavendermux/lavendermux/bstore"
	"github.com/lavendermux/lavendermux/mesh"
	"github.com/lavendermux/lavendermux/rendez"
	"github.com/lavendermux/lavendermux/sleep"
	"github.com/lavendermux/lavendermux/spill"
)

const (
	// leftOver is how long after its start an instance loads the ended submissions
	// that it found without a holder, only to expire here: the instance that should
	// have removed them is gone.
	leftOver = 10 * time.Minute
	// lossDoubt is how long a submission may have had no holder: the time from the
	// last write of one that was lost together with all its peers until the start of
	// its successor. Machines that lose power are back within some 3.5 s.
	lossDoubt = 4 * time.Second
	// adoptTime bounds one try of a take-over: the store's answers and the patience with
	// copies that aren't in touch.
	adoptTime = 10 * time.Second
	// firstEpoch is that of a submission that was created a moment ago.
	firstEpoch = 1
)

// adopt makes this instance the holder of a submission whose holder is lost. An
// ended submission is only loaded, to be read. It goes on when ctx ends before it is done:
// a caller waits for a second, and a successor may have to wait longer for a copy.
func (d *Desk) adopt(ctx context.Context, kept bstore.Kept) error {
	d.mu.Lock()
	a, ok := d.adopting[kept.ID]
	if !ok {
		a = &adoption{done: make(chan struct{})}
		d.adopting[kept.ID] = a
		go d.runAdoption(a, kept)
	}
	d.mu.Unlock()
	select {
	case <-a.done:
		return a.err
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (d *Desk) runAdoption(a *adoption, kept bstore.Kept) {
	ctx, cancel := context.WithTimeout(d.run, adoptTime)
	defer cancel()
	a.err = d.takeOver(ctx, kept)
	d.mu.Lock()
	delete(d.adopting, kept.ID)
	d.mu.Unlock()
	close(a.done)
}

func (d *Desk) takeOver(ctx context.Context, kept bstore.Kept) error {
	if d.runner.Holds(kept.ID) {
		return nil
	}
	now, err := d.store.Load(ctx, kept.ID)
	if err != nil {
		return err
	}
	if now.Revision == 0 {
		return &NoBatchError{ID: kept.ID}
	}
	if !now.Ended && !d.mesh.Settled(ctx) {
		return ctx.Err()
	}
	d.count(&now)
	from := now.Holder
	if _, alive := d.mesh.Find(from); alive && from != kept.Holder {
		d.remember(now)
		return &bstore.OvertakenError{ID: kept.ID, Now: now.Head}
	}
	if heir, ok := d.holderFor(kept.ID); ok && !now.Ended {
		d.offer(ctx, heir, []string{kept.ID}, now.Holder)
		d.forget(kept.ID)
		return nil
	}
	isTaken := !now.Ended && !d.createdFor(now)
	if isTaken {
		if err := d.store.TakeOver(ctx, &now, d.self); err != nil {
			return err
		}
	}
	sub, err := d.store.Submission(ctx, now)
	if err != nil {
		return err
	}
	results, err := d.store.Results(ctx, now)
	if err != nil {
		return err
	}
	if isTaken && len(now.Copies) > 0 && len(results) < now.Total {
		if results, err = d.readCopies(ctx, &now, results); err != nil {
			return err
		}
	}
	var progress []batch.Progress
	if !now.Ended { // nothing of an ended one runs again
		if progress, err = d.store.Progress(ctx, now); err != nil {
			return err
		}
	}
	d.remember(now)
	d.runner.Add(d.run, now, sub, results, progress)
	d.logger.Warn("Batch taken over.", "batch", now.ID, "from", from, "epoch", now.Epoch, "results", len(results), "ended", now.Ended)
	return nil
}

// readCopies seals the copies of a submission that was taken over, and has the store keep
// what its earlier holder listed there while the store was away. Nothing of it may be
// shown before: another copy may have less of it, and yet another holder may come.
func (d *Desk) readCopies(ctx context.Context, now *bstore.Kept, results []batch.Result) ([]batch.Result, error) {
	more, err := d.copies.Seal(ctx, now.ID, now.Epoch, now.Copies, len(results))
	var few *spill.FewError
	switch {
	case errors.As(err, &few) && ctx.Err() == nil:
		d.logger.Error("Too few copies read; results listed while the store was away may be missing.", "batch", now.ID, "epoch", now.Epoch,
			"found", len(more), "error", err)
	case err != nil:
		return nil, err
	}
	if len(more) == 0 {
		return results, nil
	}
	if err := d.store.Apply(ctx, bstore.Change{Kept: now, Results: more}); err != nil {
		return nil, err
	}
	d.logger.Info("Results of copies kept.", "batch", now.ID, "epoch", now.Epoch, "from", len(results), "results", len(more))
	go d.copies.Drop(d.run, now.ID, now.Epoch, now.Copies)
	return append(results, more...), nil
}

// count corrects the age that the record had at its last write by what peers told of
// it since. Where none did, some time may be missing.
func (d *Desk) count(kept *bstore.Kept) {
	age, told := d.mesh.AgeOf(kept.ID)
	if told {
		kept.Since = earlier(kept.Since, time.Now().Add(-age))
	}
	if !told && !d.createdFor(*kept) {
		kept.Doubt = lossDoubt
	}
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// createdFor reports whether a peer created the submission for this boot of this
// instance and nobody has written to it since. It needs no later epoch then: a
// take-over would cost a write, and delay the first items by it. After any write a
// later epoch is needed even here, to tell a write of an earlier holding that comes
// late from those of this one.
func (d *Desk) createdFor(kept bstore.Kept) bool {
	return kept.Holder == d.self && kept.Epoch == firstEpoch && kept.Writes == 0
}

// Lost takes over those submissions of a lost peer that fall to this instance.
func (d *Desk) Lost(n mesh.Node, holding map[string]int64) {
	alive := []string{d.mesh.Self().Name}
	for _, p := range d.mesh.Alive() {
		if p.Name != n.Name {
			alive = append(alive, p.Name)
		}
	}
	for id := range holding {
		d.forget(id)
		if rendez.Rank(id, alive, d.mesh.Self().Name) == 0 {
			go d.adoptLost(id, n.Holder())
		}
	}
}

func (d *Desk) adoptLost(id, holder string) {
	for d.run.Err() == nil {
		err := d.adopt(d.run, bstore.Kept{ID: id, Head: batch.Head{Holder: holder}})
		var taken *bstore.OvertakenError
		var none *NoBatchError
		if err == nil || errors.As(err, &taken) || errors.As(err, &none) {
			return
		}
		d.logger.Warn("Batch not taken over yet.", "batch", id, "error", err)
		time.Sleep(adoptPause)
	}
}

// Recover takes over what was left behind when all instances stopped at once.
func (d *Desk) Recover(ctx context.Context) {
	heads, err := d.store.Heads(ctx)
	for err != nil && ctx.Err() == nil {
		d.logger.Warn("Batches not listed yet.", "error", err)
		time.Sleep(adoptPause)
		heads, err = d.store.Heads(ctx)
	}
	open, ended := make(map[string]int64), make(map[string]int64)
	for _, k := range heads {
		_, alive := d.mesh.Find(k.Holder)
		switch {
		case alive || d.runner.Holds(k.ID):
		case k.Ended:
			ended[k.ID] = k.Epoch
		default:
			open[k.ID] = k.Epoch
		}
	}
	d.Lost(mesh.Node{}, open)
	if len(ended) > 0 && sleep.For(d.run, leftOver) {
		d.Lost(mesh.Node{}, ended)
	}
}
