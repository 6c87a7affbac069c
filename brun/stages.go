package brun

import "time"

// stepTimes are the times of a step on which the speed of its trainer depends. Each is logged
// once, so that logs show what a late step waited for, and where. Times under a previous owner
// are unknown.
type stepTimes struct {
	// firstEvent is when the first event of any item arrived.
	firstEvent time.Time
	// complete is when the last group that the trainer waits for was finished; straggler is the
	// last item of it.
	complete  time.Time
	straggler string
	// published is when these groups could be read, at positions below publishedCount.
	published      time.Time
	publishedCount int
	// read is when these positions had been read.
	read time.Time
}

// noteFirstEvent logs the first event of a step. The caller holds r.mu.
func (r *Runner) noteFirstEvent(b *tracked, it *item) {
	if !b.stepTimes.firstEvent.IsZero() {
		return
	}
	b.stepTimes.firstEvent = time.Now()
	r.logger.Info("Step begun.", "batch", b.sub.ID, "item", it.ID, "endpoint", it.endpoint.ID, "age", b.age())
}

// noteComplete logs once that the groups that the trainer waits for are finished. The caller
// holds r.mu.
func (r *Runner) noteComplete(b *tracked, it *item) {
	if !b.stepTimes.complete.IsZero() || b.completeGroups(len(b.results)) < b.sub.RequiredGroups {
		return
	}
	b.stepTimes.complete = time.Now()
	b.stepTimes.straggler = it.ID
	r.logger.Info("Step whole.", "batch", b.sub.ID, "item", it.ID, "attempts", it.attempts, "moves", it.migrations,
		"events", len(it.texts), "again", it.resubmitted, "age", b.age())
}

// notePublished logs once that the groups that the trainer waits for can be read. The caller
// holds r.mu.
func (r *Runner) notePublished(b *tracked) {
	if !b.stepTimes.published.IsZero() || b.completeGroups(b.published) < b.sub.RequiredGroups {
		return
	}
	b.stepTimes.published = time.Now()
	b.stepTimes.publishedCount = b.published
	r.logger.Info("Step listed.", "batch", b.sub.ID, "item", b.stepTimes.straggler, "results", b.stepTimes.publishedCount, "age", b.age())
}

// noteRead logs once that the groups that the trainer waits for have been read; next is the
// position up to which results were read. The caller holds r.mu.
func (r *Runner) noteRead(b *tracked, next int) {
	if b.stepTimes.published.IsZero() || !b.stepTimes.read.IsZero() || next < b.stepTimes.publishedCount {
		return
	}
	b.stepTimes.read = time.Now()
	r.logger.Info("Step read.", "batch", b.sub.ID, "item", b.stepTimes.straggler, "age", b.age())
}

// age is the time since the batch was accepted, rounded for logs.
func (b *tracked) age() time.Duration { return b.record.Age(time.Now()).Round(time.Millisecond) }
