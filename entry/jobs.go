package entry

import (
	"context"
	"fmt"
	"time"

	"github.com/lavendermux/lavendermux/action"
	"github.com/lavendermux/lavendermux/acts"
	"github.com/lavendermux/lavendermux/change"
	"github.com/lavendermux/lavendermux/feed"
	"github.com/lavendermux/lavendermux/jobs"
	"github.com/lavendermux/lavendermux/object"
	"github.com/lavendermux/lavendermux/pctrl"
	"github.com/lavendermux/lavendermux/replic"
	"github.com/lavendermux/lavendermux/roles"
	"github.com/lavendermux/lavendermux/rrun"
	"github.com/lavendermux/lavendermux/scorer"
	"github.com/lavendermux/lavendermux/subscr"
	"github.com/lavendermux/lavendermux/swaps"
)

// jobRestartDelay is the wait before a job that has returned is restarted under the
// same lease.
const jobRestartDelay = time.Second

// tombstoneGCInterval is how often the tombstones of deleted resources are scanned.
// At 1,800 changes a day, all of them deletions, 75 accumulate in an hour.
const tombstoneGCInterval = time.Hour

// runJob runs one job until its lease is lost.
func (e *Entry) runJob(ctx context.Context, job string, fence int64) {
	for ctx.Err() == nil {
		name, isPool := jobs.ParsePool(job)
		switch {
		case isPool:
			e.runPool(ctx, name, fence)
		case job == jobs.TombstoneGC:
			e.runTombstoneGC(ctx)
		default:
			e.runKeyOwners(ctx, jobs.ServiceOf(job))
		}
		select {
		case <-time.After(jobRestartDelay):
		case <-ctx.Done():
		}
	}
}

// runTombstoneGC periodically removes the tombstones of resources deleted long ago.
func (e *Entry) runTombstoneGC(ctx context.Context) {
	tick := time.NewTicker(tombstoneGCInterval)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			if _, err := change.New(e.store).DeleteExpired(ctx); err != nil {
				e.log.Warn("tombstones of deleted resources not removed", "err", err)
			}
		case <-ctx.Done():
			return
		}
	}
}

func (e *Entry) runPool(ctx context.Context, name string, fence int64) {
	replicas := replic.New(fence, e.view, e.dial)
	open := func(ctx context.Context, sub string, config func() subscr.Subscription) (*feed.Feed, error) {
		return feed.Open(ctx, sub, fence, config, e.store, feed.WithLog(e.log), feed.WithObserver(e.observer),
			feed.WithReplicator(replicas))
	}
	h := pctrl.New(name, fence, e.conf, open, pctrl.WithLog(e.log))
	s := swaps.New(name, fence, h.Pool, h.TargetVersions, e.view, e.dial,
		swaps.WithLog(e.log), swaps.WithReasons(e.observer.Action))
	m := rrun.New(name, h.Pool, h.Feeds, e.relay, e.view, s.CommonVersion,
		rrun.WithScorer(e.scorer), rrun.WithReplicator(replicas), rrun.WithExcluded(s.Excluded),
		rrun.WithLog(e.log))
	e.observer.Action(object.KindPool, name, acts.Action{
		Verb:    acts.VerbAcquire,
		Summary: "the job of pool " + name + " taken over",
		Cause:   "leaseWon",
		Reason:  fmt.Sprintf("the lease was free; fencing number %d", fence),
	})
	e.setHolder(name, h)
	defer e.setHolder(name, nil)
	r := roles.New(name, fence, h.Pool, m.Waiting, e.view, e.dial,
		roles.WithLog(e.log), roles.WithReasons(e.observer.Action))
	if err := h.Run(ctx, m, s, r); err != nil {
		e.log.Warn("pool job ended", "pool", name, "fence", fence, "err", err)
	}
}

func (e *Entry) scorer(url string) *scorer.Client {
	return scorer.New(url, scorer.WithHTTP(e.net.Client()))
}

func (e *Entry) setHolder(name string, h *pctrl.Controller) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if h == nil {
		delete(e.holders, name)
		return
	}
	e.holders[name] = h
}

// Handle handles a trainer's request if this instance leads the pool's job; the last
// result reports whether it does.
func (e *Entry) Handle(ctx context.Context, job, act string, body []byte) (int, []byte, bool) {
	name, _ := jobs.ParsePool(job)
	e.mu.Lock()
	h := e.holders[name]
	e.mu.Unlock()
	if h == nil {
		return 0, nil, false
	}
	status, answer := action.New(h, e.conf, action.WithWeightStore(e.weights)).Handle(ctx, act, body)
	return status, answer, true
}
