package burn

import (
	"time"

	"github.com/lavendermux/lavendermux/blame"
	"github.com/lavendermux/lavendermux/bucket"
	"github.com/lavendermux/lavendermux/budget"
	"github.com/lavendermux/lavendermux/goal"
	"github.com/lavendermux/lavendermux/xtime"
)

const (
	longWindow  = time.Hour       // shows that a burn is significant
	shortWindow = 5 * time.Minute // shows that it still goes on
	// alertBudgetShare is the share of a budget that, spent within the long window,
	// justifies an alert. With a window of 28 days the threshold is then 13.4: at that
	// rate the budget lasts 50 hours, so that a night costs less than a quarter of it.
	alertBudgetShare = 0.02
	// minBurnThreshold keeps objectives with a short window from alerting at a rate that
	// their budget allows.
	minBurnThreshold = 1
	// alertErrorShare is the share of bad events that is a fault with any budget. With a
	// large budget, such as a tenth of a trainer's time, the burn rate can't reach the
	// threshold otherwise: a trainer that waits all the time burns at 10.
	alertErrorShare = 0.5
	// minShortWindowEvents is the number of events in the short window below which there is
	// no alert: one failed request in a quiet night is not a burn.
	minShortWindowEvents = 10
)

// Budget computes the state of the objective's error budget at now.
func (s *Series) Budget(now time.Time) budget.Budget {
	now = now.UTC()
	b := budget.Budget{
		Policy:    s.Policy,
		Objective: s.Objective,
		Allowed:   allowedErrorShare(s.Objective),
		Short:     xtime.Duration(shortWindow),
		Long:      xtime.Duration(longWindow),
		Threshold: burnThreshold(s.Objective),
		Since:     s.Since,
	}
	inShort := sumBuckets(s.Minutes, now.Add(-shortWindow), now)
	b.ShortRate = burnRate(inShort, b.Allowed)
	inLong := sumBuckets(s.Minutes, now.Add(-longWindow), now)
	b.LongRate = burnRate(inLong, b.Allowed)
	total := sumBuckets(s.Hours, s.windowStart(now), now)
	b.Good, b.Bad = total.Good, total.Bad
	covered := s.coveredShare(now)
	b.Left = 1 - covered*burnRate(total, b.Allowed)
	b.RunsOut = exhaustedAt(b, now)
	b.State = stateOf(b, inShort)
	b.Blames = worstBlames(total.Blames)
	b.RecentBlames = worstBlames(inLong.Blames)
	b.HistoryStart, b.History = s.history(now, b.Allowed/covered)
	return b
}

// coveredShare returns the share of the objective's window, above 0 and up to 1, that
// counting covers. The budget is that of a full window: measured by the events of the
// first hour alone, one short fault after a start would exhaust it.
func (s *Series) coveredShare(now time.Time) float64 {
	window := s.Objective.Window.Std()
	return float64(min(max(now.Sub(s.Since), time.Minute), window)) / float64(window)
}

// history returns the remaining share of the full window's budget at the end of each
// hour, and the start of the first hour.
func (s *Series) history(now time.Time, allowed float64) (time.Time, []float64) {
	hours := bucketsFrom(s.Hours, s.windowStart(now))
	if len(hours) == 0 {
		return time.Time{}, []float64{}
	}
	total := sumBuckets(hours, hours[0].Start, now)
	total.Bad, total.Good = 0, total.Good+total.Bad
	start := hours[0].Start
	var history []float64
	for at := start; !at.After(now); at = at.Add(time.Hour) {
		if len(hours) > 0 && hours[0].Start.Equal(at) {
			total.Bad += hours[0].Bad
			total.Good -= hours[0].Bad
			hours = hours[1:]
		}
		history = append(history, 1-burnRate(total, allowed))
	}
	return start, history
}

// allowedErrorShare returns the share of events that may be bad, the error budget.
func allowedErrorShare(o goal.Objective) float64 {
	switch {
	case o.Success != 0:
		return 1 - o.Success
	case o.Freshness != 0:
		return 1 - o.Freshness
	}
	return o.IdleShare
}

func burnThreshold(o goal.Objective) float64 {
	fast := alertBudgetShare * float64(o.Window) / float64(longWindow)
	return max(minBurnThreshold, min(fast, alertErrorShare/allowedErrorShare(o)))
}

// sumBuckets returns the sum of the buckets that start in [from, to]. A bucket that
// starts before the window is left out, so that the window is up to one bucket short.
func sumBuckets(all []bucket.Bucket, from, to time.Time) bucket.Bucket {
	var total bucket.Bucket
	for _, b := range bucketsFrom(all, from) {
		if !b.Start.After(to) {
			total.Merge(b)
		}
	}
	return total
}

// burnRate returns the share of bad events divided by the allowed share, or 0 without
// events.
func burnRate(b bucket.Bucket, allowed float64) float64 {
	events := b.Good + b.Bad
	if events == 0 || allowed <= 0 {
		return 0
	}
	return float64(b.Bad) / float64(events) / allowed
}

// exhaustedAt returns when the rest of the budget is spent at the burn rate of the long
// window, or zero if not within one window of the objective. A rate of 1 spends a full
// budget in one window.
func exhaustedAt(b budget.Budget, now time.Time) time.Time {
	if b.LongRate <= 0 || b.Left <= 0 {
		return time.Time{}
	}
	rest := b.Left * float64(b.Objective.Window) / b.LongRate
	if rest > float64(b.Objective.Window) {
		return time.Time{}
	}
	return now.Add(time.Duration(rest)).Truncate(time.Second)
}

func stateOf(b budget.Budget, inShort bucket.Bucket) string {
	switch {
	case b.Good+b.Bad == 0:
		return budget.StateNoData
	case b.ShortRate > b.Threshold && b.LongRate > b.Threshold && inShort.Good+inShort.Bad >= minShortWindowEvents:
		return budget.StateBurning
	case b.Left <= 0:
		return budget.StateExhausted
	}
	return budget.StateMet
}

func worstBlames(all []blame.Blame) []blame.Blame {
	sorted := append([]blame.Blame{}, all...)
	blame.Sort(sorted)
	return sorted[:min(len(sorted), maxBlames)]
}
