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
	// patience is the part of the time for a report for which the leader waits for
	// instances that are in touch and haven't told their counts.
	patience = 0.6
	// backMost is how many windows a leader goes back that finds old ones unreported:
	// nobody keeps counts for longer.
	backMost = 60
	// callTimeout bounds one call to the platform, which answers within some ms, and
	// within a quarter of a second while it is slow.
	callTimeout = 1200 * time.Millisecond
	// againAfter is the pause after a call that failed.
	againAfter = 300 * time.Millisecond
	// leadTimeout bounds one round of a leader's work.
	leadTimeout = 3 * time.Second

	outcomeInTime   = "inTime"
	outcomeLate     = "late"
	outcomeRejected = "rejected"
	outcomeFailed   = "failed"
)

// firstOpen is the first window that may still be reported if those up to fixed are. The
// first leader ever begins with the present one.
func (l *Leader) firstOpen(fixed int64) int64 {
	now := l.book.Window(l.clock.Now())
	if fixed == 0 {
		return now
	}
	return max(fixed+1, now-backMost)
}

// lead does what is due.
func (l *Leader) lead(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, leadTimeout)
	defer cancel()
	if l.due() && !l.reportAll(ctx) {
		return
	}
	l.orderAll(ctx)
}

// reportAll reports what is due, and says whether there is time for more.
func (l *Leader) reportAll(ctx context.Context) bool {
	if due := l.dueReports(); len(due) > 0 && !l.fix(ctx, due) {
		return false
	}
	for _, w := range l.unsent() {
		if !l.send(ctx, w) {
			return false
		}
	}
	return true
}

// dueReports returns the reports of the windows that are over, by window.
func (l *Leader) dueReports() map[int64]map[string]int {
	l.mu.Lock()
	fixed, epoch := l.rec.Fixed, l.rec.Epoch
	l.mu.Unlock()
	now, due := l.clock.Now(), make(map[int64]map[string]int)
	for w := l.firstOpen(fixed); len(due) < fixMost; w++ {
		over := now.Sub(l.book.Ends(w))
		counts, isWhole := l.sum(w)
		if over < settleTime || (!isWhole && over < time.Duration(patience*float64(l.late))) {
			break
		}
		due[w] = counts
		total := 0
		for _, n := range counts {
			total += n
		}
		l.logger.Info("Usage of a window.", "window", w, "requests", total, "customers", len(counts), "whole", isWhole,
			"epoch", epoch, "after", over.Round(time.Millisecond))
	}
	return due
}

// unsent returns the windows whose fixed reports the platform may not have, the oldest
// first.
func (l *Leader) unsent() []int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.DeleteFunc(slices.Sorted(maps.Keys(l.fixed)), func(w int64) bool { return l.taken[w] })
}

// send sends the fixed report of a window while this instance may act, and reports whether
// the next one may follow at once.
func (l *Leader) send(ctx context.Context, window int64) bool {
	l.mu.Lock()
	counts := l.fixed[window]
	l.mu.Unlock()
	start := time.Now()
	epoch, acted, err := l.act(ctx, func(ctx context.Context, holder string, epoch int64) error {
		return l.report(ctx, holder, epoch, window, counts)
	})
	if !acted {
		return false
	}
	after := l.clock.Now().Sub(l.book.Ends(window))
	outcome := l.outcomeOf(err, after)
	l.meter.Count("usage_reports_total", 1, "outcome", outcome)
	l.logger.Info("Usage reported.", "window", window, "customers", len(counts), "epoch", epoch, "outcome", outcome,
		"error", err, "after", after.Round(time.Millisecond), "took", time.Since(start).Round(time.Millisecond))
	if outcome == outcomeFailed {
		sleep.For(ctx, againAfter)
		return false
	}
	l.mu.Lock()
	l.taken[window] = true
	l.mu.Unlock()
	return true
}

// act makes a call to the platform if this instance may act now, under the epoch of its
// term.
func (l *Leader) act(ctx context.Context, call func(ctx context.Context, holder string, epoch int64) error) (epoch int64, acted bool, err error) {
	l.mu.Lock()
	term := l.term
	l.mu.Unlock()
	if term == nil || term.Waits(l.steady()) > 0 {
		return 0, false, nil
	}
	until, may := l.mayAct()
	if !may {
		if !l.look(ctx) {
			return 0, false, nil
		}
		if until, may = l.mayAct(); !may {
			return 0, false, nil
		}
	}
	callCtx, cancel := context.WithTimeout(ctx, min(callTimeout, until-l.steady()))
	defer cancel()
	return term.Epoch, true, call(callCtx, l.mesh.Self().Name, term.Epoch)
}

// outcomeOf names what came of a report that was sent so long after its window, for logs and
// metrics.
func (l *Leader) outcomeOf(err error, after time.Duration) string {
	var rejected *RejectedError
	switch {
	case errors.As(err, &rejected):
		return outcomeRejected
	case err != nil:
		return outcomeFailed
	case after > l.late:
		return outcomeLate
	}
	return outcomeInTime
}

// mayAct reports whether this instance may act now, and until when.
func (l *Leader) mayAct() (until time.Duration, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.term == nil {
		return 0, false
	}
	return l.term.MayAct(l.steady())
}
