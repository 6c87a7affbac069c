package bdesk

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lavendermux/lavendermux/batch"
	"github.com/lavendermux/lavendermux/bstore"
	"github.com/lavendermux/lavendermux/mesh"
	"github.com/lavendermux/lavendermux/rendez"
)

const (
	// leftOver is the age at which an ended submission is loaded at the start of an
	// instance, only to expire there: the instance that should have removed it is
	// gone.
	leftOver = 10 * time.Minute
	// firstEpoch is that of a submission that was created a moment ago.
	firstEpoch = 1
)

// adopt makes this instance the holder of a submission whose holder is lost. An
// ended submission is only loaded, to be read.
func (d *Desk) adopt(ctx context.Context, kept bstore.Kept) error {
	d.mu.Lock()
	busy, ok := d.adopting[kept.ID]
	if !ok {
		busy = make(chan struct{})
		d.adopting[kept.ID] = busy
	}
	d.mu.Unlock()
	if ok {
		select {
		case <-busy:
			return nil
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	defer func() {
		d.mu.Lock()
		delete(d.adopting, kept.ID)
		d.mu.Unlock()
		close(busy)
	}()
	return d.takeOver(ctx, kept)
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
	if !now.Ended && !d.createdFor(now) {
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
	for _, k := range heads {
		if d.runner.Holds(k.ID) || (k.Ended && k.Age(time.Now()) < leftOver) {
			continue
		}
		if _, alive := d.mesh.Find(k.Holder); !alive {
			d.Lost(mesh.Node{}, map[string]int64{k.ID: k.Epoch})
		}
	}
}
