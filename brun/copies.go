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
	// copyAfter is how long a write may take before finished results go to the copies. The
	// store answers in 4 ms, or a quarter of a second when it is slow; a trainer reads
	// twice a second.
	copyAfter = 300 * time.Millisecond
	// copyRetry is the pause after copies that didn't all answer.
	copyRetry = 300 * time.Millisecond
)

type (
	// Copies keeps results on several disks while the store is away; see package spill.
	Copies interface {
		// Choose returns where the copies of a submission should be, or none.
		Choose(id string, now []batch.Copy) []batch.Copy
		// Append returns nil once enough copies have the results, of which those before the
		// position from were appended before.
		Append(ctx context.Context, id string, epoch int64, copies []batch.Copy, from, kept int, results []batch.Result) error
		// Drop has the copies forget what the store has.
		Drop(ctx context.Context, id string, epoch int64, copies []batch.Copy)
	}

	// noCopies is used where there are no disks: results then wait for the store.
	noCopies struct{}
)

// Choose implements Copies.
func (noCopies) Choose(string, []batch.Copy) []batch.Copy { return nil }

// Append implements Copies; it is never called, as there are no copies.
func (noCopies) Append(context.Context, string, int64, []batch.Copy, int, int, []batch.Result) error {
	return nil
}

// Drop implements Copies.
func (noCopies) Drop(context.Context, string, int64, []batch.Copy) {}

// WithCopies lists results while the store is away. By default they wait for it.
func WithCopies(c Copies) Option {
	return func(r *Runner) { r.copies = c }
}

// moveCopies has a write name other copies if one of them is no longer in touch. A
// submission that has nothing else to write is written for this alone: disks that are
// replaced one after the other would otherwise leave it without a copy.
func (r *Runner) moveCopies(h *held, change *bstore.Change) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if change.End || h.copying || h.copied > h.kept.Results || h.kept.Results == len(h.items) {
		return
	}
	if c := r.copies.Choose(h.sub.ID, h.kept.Copies); len(c) > 0 && !sameCopies(c, h.kept.Copies) {
		change.Copies = c
	}
}

// beginWrite notes that a write is on its way.
func (r *Runner) beginWrite(h *held, change bstore.Change) {
	r.mu.Lock()
	defer r.mu.Unlock()
	h.writing, h.moving = true, len(change.Copies) > 0
}

func sameCopies(a, b []batch.Copy) bool {
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

// copyOverdue sends finished results to the copies while a write gets no answer and the
// trainer waits for them. The runner's lock is held.
func (r *Runner) copyOverdue(ctx context.Context, h *held, now time.Time) {
	isBlocked := h.writing && now.Sub(h.writtenAt) > copyAfter && !h.moving
	if !isBlocked || h.copying || h.ended || h.dropped || now.Before(h.copyAt) || len(h.kept.Copies) == 0 {
		return
	}
	if len(h.line) <= h.listed || r.listIn(h, now) > 0 {
		return
	}
	h.copying = true
	kept := h.kept
	from, to := max(kept.Results, h.copied), len(h.line)
	go r.copy(ctx, h, kept, from, h.line[kept.Results:to:to])
}

// copy has the copies keep what the store lacks of the line, and lists it when enough have
// it. They have what is before the position from.
func (r *Runner) copy(ctx context.Context, h *held, kept bstore.Kept, from int, results []batch.Result) {
	start := time.Now()
	err := r.copies.Append(ctx, kept.ID, kept.Epoch, kept.Copies, from, kept.Results, results)
	took := time.Since(start)
	var fenced *seal.FencedError
	if errors.As(err, &fenced) {
		r.drop(h, err.Error())
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	h.copying = false
	if err != nil {
		h.copyAt = time.Now().Add(copyRetry)
		r.meter.Count("results_copied_total", int64(len(results)), "outcome", "failed")
		r.logger.Warn("Results on too few copies.", "batch", kept.ID, "epoch", kept.Epoch, "from", from, "results", len(results),
			"error", err, "took", took.Round(time.Millisecond))
		return
	}
	r.meter.Count("results_copied_total", int64(len(results)), "outcome", "ok")
	r.meter.Observe("results_copied_seconds", took)
	h.copied = kept.Results + len(results)
	if h.dropped || h.ended {
		return
	}
	h.listed = max(h.listed, h.copied)
	h.listedAt = time.Now()
	h.announce()
	r.noteListed(h)
	r.logger.Info("Results on copies.", "batch", kept.ID, "epoch", kept.Epoch, "from", from, "results", len(results),
		"copies", len(kept.Copies), "all", h.listed, "took", took.Round(time.Millisecond))
	r.dropCopies(ctx, h)
}

// dropCopies has the copies forget the line once the store has all of it that they have.
// The runner's lock is held.
func (r *Runner) dropCopies(ctx context.Context, h *held) {
	if h.copying || h.copied == 0 || h.kept.Results < h.copied {
		return
	}
	h.copied = 0
	kept := h.kept
	go r.copies.Drop(ctx, kept.ID, kept.Epoch, kept.Copies)
}
