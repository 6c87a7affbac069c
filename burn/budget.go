package burn

import (
	"time"

	"github.com/lavendermux/lavendermux/blame"
	"github.com/lavendermux/lavendermux/bucket"
	"github.com/lavendermux/lavendermux/budget"
	"github.com/lavendermux/lavendermux/goal"
	"github.com/lavendermux/lavendermux/span"
)

const (
	long  = time.Hour
	short = 5 * time.Minute
	// spendShare is the share of a budget that, spent within the long window,
	// is worth waking somebody for. At a window of 28 days it makes a threshold
	// of 13.4: at that rate a whole budget lasts 50 hours, so that a night's
	// sleep still costs less than a quarter of it.
	spendShare = 0.02
	// minThreshold keeps short windows from alarming at a rate that the budget
	// is meant for.
	minThreshold = 1
	// faultShare is the share of bad events that is a fault whatever the budget.
	// Where much may be bad, as a tenth of a trainer's time, the rate never
	// reaches the threshold: a trainer that waits all the time burns at 10.
	faultShare = 0.5
	// minEvents is how many events the short window needs before its rate
	// counts. One failed request in a quiet night is no burn.
	minEvents = 10
)

// Budget works out how the objective stands.
func (s *Series) Budget(now time.Time) budget.Budget {
	now = now.UTC()
	b := budget.Budget{
		Policy:    s.Policy,
		Objective: s.Objective,
		Allowed:   allowed(s.Objective),
		Short:     span.Duration(short),
		Long:      span.Duration(long),
		Threshold: threshold(s.Objective),
		Since:     s.Since,
	}
	brief := sum(s.Minutes, now.Add(-short), now)
	b.ShortRate = rate(brief, b.Allowed)
	recent := sum(s.Minutes, now.Add(-long), now)
	b.LongRate = rate(recent, b.Allowed)
	whole := sum(s.Hours, s.windowStart(now), now)
	b.Good, b.Bad = whole.Good, whole.Bad
	part := s.covered(now)
	b.Left = 1 - part*rate(whole, b.Allowed)
	b.RunsOut = runsOut(b, now)
	b.State = state(b, brief)
	b.Blames = worst(whole.Blames)
	b.Recent = worst(recent.Blames)
	b.LineStart, b.Line = s.line(now, b.Allowed/part)
	return b
}

// covered is the part of the objective's window, above 0 and up to 1, in which
// counting went on. The budget is that of a whole window: measured by the events
// of its first hour alone, one hiccup after a start would have spent it all.
func (s *Series) covered(now time.Time) float64 {
	whole := s.Objective.Window.Std()
	return float64(min(max(now.Sub(s.Since), time.Minute), whole)) / float64(whole)
}

// line works out what was left at the end of each hour, of the budget of the
// whole window.
func (s *Series) line(now time.Time, allowed float64) (time.Time, []float64) {
	hours := after(s.Hours, s.windowStart(now))
	if len(hours) == 0 {
		return time.Time{}, []float64{}
	}
	whole := sum(hours, hours[0].Start, now)
	whole.Bad, whole.Good = 0, whole.Good+whole.Bad
	start := hours[0].Start
	var line []float64
	for at := start; !at.After(now); at = at.Add(time.Hour) {
		if len(hours) > 0 && hours[0].Start.Equal(at) {
			whole.Bad += hours[0].Bad
			whole.Good -= hours[0].Bad
			hours = hours[1:]
		}
		line = append(line, 1-rate(whole, allowed))
	}
	return start, line
}

// allowed is the share of events that may be bad.
func allowed(o goal.Objective) float64 {
	switch {
	case o.Success != 0:
		return 1 - o.Success
	case o.Freshness != 0:
		return 1 - o.Freshness
	}
	return o.IdleShare
}

func threshold(o goal.Objective) float64 {
	fast := spendShare * float64(o.Window) / float64(long)
	return max(minThreshold, min(fast, faultShare/allowed(o)))
}

// sum adds up the buckets that start after from and not after to. A bucket that
// begins before the window counts not at all, so a window is up to a bucket
// shorter than it says.
func sum(all []bucket.Bucket, from, to time.Time) bucket.Bucket {
	var total bucket.Bucket
	for _, b := range after(all, from) {
		if !b.Start.After(to) {
			total.Merge(b)
		}
	}
	return total
}

// rate is the share of bad events over the share that is allowed.
func rate(b bucket.Bucket, allowed float64) float64 {
	events := b.Good + b.Bad
	if events == 0 || allowed <= 0 {
		return 0
	}
	return float64(b.Bad) / float64(events) / allowed
}

// runsOut is when the rest of the budget is spent at the rate of the long
// window. A rate of 1 spends a whole budget in one window.
func runsOut(b budget.Budget, now time.Time) time.Time {
	if b.LongRate <= 0 || b.Left <= 0 {
		return time.Time{}
	}
	rest := b.Left * float64(b.Objective.Window) / b.LongRate
	if rest > float64(b.Objective.Window) {
		return time.Time{}
	}
	return now.Add(time.Duration(rest)).Truncate(time.Second)
}

func state(b budget.Budget, brief bucket.Bucket) string {
	switch {
	case b.Good+b.Bad == 0:
		return budget.StateNoData
	case b.ShortRate > b.Threshold && b.LongRate > b.Threshold && brief.Good+brief.Bad >= minEvents:
		return budget.StateBurning
	case b.Left <= 0:
		return budget.StateSpent
	}
	return budget.StateKept
}

func worst(all []blame.Blame) []blame.Blame {
	sorted := append([]blame.Blame{}, all...)
	blame.Sort(sorted)
	return sorted[:min(len(sorted), maxBlames)]
}
