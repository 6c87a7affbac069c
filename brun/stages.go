package brun

import "time"

// stages are the moments of a step that its trainer's pace depends on. Each is logged
// once, so that a late step can be told afterwards: what it waited for, and where. A
// moment that passed under an earlier holder is not known here.
type stages struct {
	// begun is the first event of any item.
	begun time.Time
	// whole is when the groups that the trainer waits for were finished, the last item
	// of them being straggler.
	whole     time.Time
	straggler string
	// listed is when they could be read, at positions below listedTo.
	listed   time.Time
	listedTo int
	// read is when somebody had read these positions.
	read time.Time
}

// noteBegun logs a step's first event. The runner's lock is held.
func (r *Runner) noteBegun(h *held, it *item) {
	if !h.stages.begun.IsZero() {
		return
	}
	h.stages.begun = time.Now()
	r.logger.Info("Step begun.", "batch", h.sub.ID, "item", it.ID, "endpoint", it.at.ID, "age", h.age())
}

// noteWhole logs that the groups a trainer waits for are finished, once. The runner's
// lock is held.
func (r *Runner) noteWhole(h *held, it *item) {
	if !h.stages.whole.IsZero() || h.awaited(len(h.line)) < h.sub.Desired {
		return
	}
	h.stages.whole = time.Now()
	h.stages.straggler = it.ID
	r.logger.Info("Step whole.", "batch", h.sub.ID, "item", it.ID, "attempts", it.attempts, "moves", it.moves,
		"events", len(it.texts), "again", it.again, "age", h.age())
}

// noteListed logs that the groups a trainer waits for can be read, once. The
// runner's lock is held.
func (r *Runner) noteListed(h *held) {
	if !h.stages.listed.IsZero() || h.awaited(h.listed) < h.sub.Desired {
		return
	}
	h.stages.listed = time.Now()
	h.stages.listedTo = h.listed
	r.logger.Info("Step listed.", "batch", h.sub.ID, "item", h.stages.straggler, "results", h.stages.listedTo, "age", h.age())
}

// noteRead logs that results were read up to next, once that covers the groups a
// trainer waits for. The runner's lock is held.
func (r *Runner) noteRead(h *held, next int) {
	if h.stages.listed.IsZero() || !h.stages.read.IsZero() || next < h.stages.listedTo {
		return
	}
	h.stages.read = time.Now()
	r.logger.Info("Step read.", "batch", h.sub.ID, "item", h.stages.straggler, "age", h.age())
}

// age is how long ago the submission was accepted, as logs show it.
func (h *held) age() time.Duration { return h.kept.Age(time.Now()).Round(time.Millisecond) }
