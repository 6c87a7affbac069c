package brun

import (
	"context"
	"time"

	"github.com/lavendermux/lavendermux/batch"
	"github.com/lavendermux/lavendermux/bstore"
	"github.com/lavendermux/lavendermux/manif"
	"github.com/lavendermux/lavendermux/migr"
)

// sweep cancels silent runs, gives up overdue items, migrates slow runs, and returns the
// batches to remove.
func (r *Runner) sweep(ctx context.Context, now time.Time) []bstore.Record {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.excusePause(now)
	r.countTexts()
	r.countItems()
	moves := newMoves()
	for _, b := range r.tracked {
		if b.ended {
			continue
		}
		if now.Sub(b.sortedAt) >= sortInterval {
			r.sortItems(b, now)
		}
		r.replicateOverdue(ctx, b, now)
		route, ok := r.route(b.sub)
		age := b.record.Age(now)
		for _, it := range b.items {
			switch {
			case it.done:
			case r.manifest() != nil && !ok:
				r.giveUp(b, it, "route removed")
			case ok && route.MaxQueue > 0 && age > route.MaxQueue:
				r.giveUp(b, it, "queue time over")
			case it.cancel != nil && now.Sub(it.lastEventAt) > r.silenceLimit(b, it):
				it.cancel(errSilent)
			case it.cancel != nil && ok && !r.stopping && !it.moving:
				r.migrateIfFaster(b, it, route, now, moves)
			}
		}
	}
	return r.takeExpired(now)
}

// silenceLimit is how long a run may produce no event.
func (r *Runner) silenceLimit(b *tracked, it *item) time.Duration {
	v, ok := r.endpoints.Lookup(it.endpoint)
	switch {
	case ok && v.Loading[b.sub.Model]:
		return maxSilenceLoading
	case !ok || v.UnitTime == 0 || it.lastEventAt.Equal(it.startedAt):
		return maxSilence
	}
	return min(maxSilence, max(minSilence, maxSilentIntervals*v.UnitTime))
}

// excusePause shifts lastEventAt of all runs by the time for which this process was paused.
// The events of that time are still unread; without the shift, a process that was paused would
// consider every run silent and restart all of them.
func (r *Runner) excusePause(now time.Time) {
	paused := now.Sub(r.sweptAt) - sweepInterval
	if !r.sweptAt.IsZero() && paused > sweepInterval {
		for _, b := range r.tracked {
			for _, it := range b.items {
				if it.cancel != nil {
					it.lastEventAt = it.lastEventAt.Add(paused)
				}
			}
		}
	}
	r.sweptAt = now
}

// migrateIfFaster cancels a run that is expected to end sooner elsewhere; it then resumes
// there after its last event.
func (r *Runner) migrateIfFaster(b *tracked, it *item, route *manif.Route, now time.Time, m *moves) {
	current, ok := r.endpoints.Lookup(it.endpoint)
	if !ok || now.Sub(it.startedAt) < minRunTimeBeforeMove || current.UnitTime == 0 {
		return
	}
	c := m.choices(r, b, it.endpoint.Service, now)
	target, ok := r.other(c, it, b.sub.Model, route, now)
	if !ok {
		return
	}
	// The lowest of hundreds of measurements is one that erred, rather than a fast engine.
	there := max(target.UnitTime, c.typicalTime)
	run := migr.Run{Generated: len(it.texts), ExpectedTotal: r.expectedOutput(it, it.endpoint.Service), EventTimeHere: current.UnitTime, EventTimeThere: there, Migrations: it.migrations}
	if run.ShouldMigrate() {
		r.logger.Info("Item moved.", "batch", b.sub.ID, "item", it.ID, "from", it.endpoint.ID, "to", target.ID,
			"made", run.Generated, "expected", run.ExpectedTotal, "here", run.EventTimeHere, "there", run.EventTimeThere)
		m.incoming[target.ID]++
		c.count(target.ID)
		it.migrations++
		it.moving = true
		it.cancel(errMigrated)
	}
}

// expectedOutput is the expected number of events of an item; 0 if unknown.
func (r *Runner) expectedOutput(it *item, service string) int {
	m := r.manifest()
	if m == nil || m.Services[service].Stride == 0 {
		return 0
	}
	return it.expectedOutput(m.Services[service].Stride) / m.Services[service].Stride
}

func (r *Runner) giveUp(b *tracked, it *item, cause string) {
	it.stop()
	b.finish(it, batch.Errored)
	r.meter.Count("items_given_up_total", 1, "cause", cause)
	r.logger.Warn("Item given up.", "batch", b.sub.ID, "item", it.ID, "cause", cause, "attempts", it.attempts, "events", len(it.texts))
}
