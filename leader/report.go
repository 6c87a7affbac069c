package leader

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lavendermux/lavendermux/sleep"
)

const (
	// waitFraction is the fraction of the report deadline for which the leader waits for
	// reachable instances that have not sent their counts.
	waitFraction = 0.6
	// maxBacklogWindows is how many unreported windows a leader goes back. No instance keeps
	// older counts.
	maxBacklogWindows = 60
	// callTimeout bounds one call to the platform, which usually responds within some
	// milliseconds, and within a quarter of a second when it is slow.
	callTimeout = 1200 * time.Millisecond
	// retryDelay is the delay after a failed call.
	retryDelay = 300 * time.Millisecond
	// roundTimeout bounds one round of the leader's tasks.
	roundTimeout = 3 * time.Second

	outcomeInTime   = "inTime"
	outcomeLate     = "late"
	outcomeRejected = "rejected"
	outcomeFailed   = "failed"
)

// firstOpen returns the first window that may still be reported, given the last committed
// one. The first leader ever starts with the current window.
func (l *Leader) firstOpen(fixed int64) int64 {
	now := l.counter.WindowAt(l.clock.Now())
	if fixed == 0 {
		return now
	}
	return max(fixed+1, now-maxBacklogWindows)
}

// runTasks performs the due tasks of the leader.
func (l *Leader) runTasks(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, roundTimeout)
	defer cancel()
	if l.isReporting() && !l.reportAll(ctx) {
		return
	}
	l.orderAll(ctx)
}

// reportAll commits and sends the due reports, and reports whether further tasks may follow.
func (l *Leader) reportAll(ctx context.Context) bool {
	if due := l.dueReports(); len(due) > 0 && !l.commitReports(ctx, due) {
		return false
	}
	for _, w := range l.unsent() {
		if !l.sendReport(ctx, w) {
			return false
		}
	}
	return true
}

// dueReports returns the reports that are ready to be committed, by window.
func (l *Leader) dueReports() map[int64]map[string]int {
	l.mu.Lock()
	fixed, epoch := l.rec.Committed, l.rec.Epoch
	l.mu.Unlock()
	now, due := l.clock.Now(), make(map[int64]map[string]int)
	for w := l.firstOpen(fixed); len(due) < maxCommits; w++ {
		over := now.Sub(l.counter.WindowEnd(w))
		counts, isComplete := l.sum(w)
		if over < settleTime || (!isComplete && over < time.Duration(waitFraction*float64(l.reportDeadline))) {
			break
		}
		due[w] = counts
		total := 0
		for _, n := range counts {
			total += n
		}
		l.logger.Info("Usage of a window summed up.", "window", w, "requests", total, "customers", len(counts), "whole", isComplete,
			"epoch", epoch, "after", over.Round(time.Millisecond))
	}
	return due
}

// unsent returns the windows whose committed reports the platform may not have received, the
// oldest first.
func (l *Leader) unsent() []int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.DeleteFunc(slices.Sorted(maps.Keys(l.committed)), func(w int64) bool { return l.delivered[w] })
}

// sendReport sends the committed report of a window if this instance may act, and reports
// whether the next one may follow immediately.
func (l *Leader) sendReport(ctx context.Context, window int64) bool {
	l.mu.Lock()
	counts := l.committed[window]
	l.mu.Unlock()
	start := time.Now()
	epoch, acted, err := l.callPlatform(ctx, func(ctx context.Context, holder string, epoch int64) error {
		return l.report(ctx, holder, epoch, window, counts)
	})
	if !acted {
		return false
	}
	after := l.clock.Now().Sub(l.counter.WindowEnd(window))
	outcome := l.reportOutcome(err, after)
	l.meter.Count("usage_reports_total", 1, "outcome", outcome)
	l.logger.Info("Usage reported.", "window", window, "customers", len(counts), "epoch", epoch, "outcome", outcome,
		"error", err, "after", after.Round(time.Millisecond), "took", time.Since(start).Round(time.Millisecond))
	if outcome == outcomeFailed {
		sleep.For(ctx, retryDelay)
		return false
	}
	l.mu.Lock()
	l.delivered[window] = true
	l.mu.Unlock()
	return true
}

// callPlatform makes a call to the platform with the epoch of the present term, if this
// instance may act now.
func (l *Leader) callPlatform(ctx context.Context, call func(ctx context.Context, holder string, epoch int64) error) (epoch int64, acted bool, err error) {
	l.mu.Lock()
	term := l.term
	l.mu.Unlock()
	if term == nil || term.StartDelay(l.monotonic()) > 0 {
		return 0, false, nil
	}
	until, may := l.mayAct()
	if !may {
		if !l.confirm(ctx) {
			return 0, false, nil
		}
		if until, may = l.mayAct(); !may {
			return 0, false, nil
		}
	}
	callCtx, cancel := context.WithTimeout(ctx, min(callTimeout, until-l.monotonic()))
	defer cancel()
	return term.Epoch, true, call(callCtx, l.mesh.Self().Name, term.Epoch)
}

// reportOutcome returns the outcome of a report for logs and metrics; after is the time from
// the end of the window to the platform's response.
func (l *Leader) reportOutcome(err error, after time.Duration) string {
	var rejected *RejectedError
	switch {
	case errors.As(err, &rejected):
		return outcomeRejected
	case err != nil:
		return outcomeFailed
	case after > l.reportDeadline:
		return outcomeLate
	}
	return outcomeInTime
}

// mayAct reports whether this instance may act now, and the time by which its calls must
// have arrived.
func (l *Leader) mayAct() (until time.Duration, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.term == nil {
		return 0, false
	}
	return l.term.MayAct(l.monotonic())
}
