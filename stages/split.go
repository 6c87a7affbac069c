package stages

import (
	"slices"
	"time"
)

// The stages of a step, in their order.
const (
	stageAccept = iota
	stageStart
	stageRun
	stageBetween
	stageScore
	stageWrite
	stageRead
	stageCount
)

// Causes of a late step, beside those that a stage alone tells.
const (
	causeHolder = "holder lost"
	causeStore  = "store away"
	causeLost   = "never listed"
)

var (
	// stageNames head the columns.
	stageNames = [stageCount]string{"ACCEPT", "START", "RUN", "BETWEEN", "SCORE", "WRITE", "READ"}
	// stageCauses say what a step waited for in a stage.
	stageCauses = [stageCount]string{"not accepted", "no place at an engine", "straggler", "runs broken off",
		"score late", "not written", "not read"}
)

// parts is how long a step was in each stage.
type parts [stageCount]time.Duration

// split returns where the step's time went, along the way of its straggler. Stages that
// the logs don't reach are zero.
func (s *step) split(straggler *item) parts {
	var p parts
	p[stageAccept] = between(s.asked, s.held)
	if !s.whole.IsZero() {
		s.splitRuns(straggler, &p)
	}
	p[stageWrite] = between(s.whole, s.listed)
	p[stageRead] = between(s.listed, s.read)
	return p
}

func (s *step) splitRuns(it *item, p *parts) {
	if it == nil || len(it.runs) == 0 { // its text was there from an earlier step
		p[stageScore] = between(s.held, s.whole)
		return
	}
	runs := slices.Clone(it.runs)
	slices.SortFunc(runs, func(a, b run) int { return a.from.Compare(b.from) })
	p[stageStart] = between(s.held, runs[0].from)
	end := runs[0].from
	for _, r := range runs {
		p[stageBetween] += between(end, r.from)
		p[stageRun] += between(later(end, r.from), r.to)
		end = later(end, r.to)
	}
	p[stageScore] = between(end, s.whole)
}

// between is the time from a to b; 0 if they are the other way round or unknown.
func between(a, b time.Time) time.Duration {
	if a.IsZero() || b.IsZero() {
		return 0
	}
	return max(0, b.Sub(a))
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// late is how long after they were due the step's groups were read, and whether they
// were at all.
func (s *step) late() (by time.Duration, read bool) {
	if s.read.IsZero() {
		return 0, false
	}
	if s.due == 0 {
		return 0, true
	}
	return max(0, s.read.Sub(s.asked)-s.due), true
}

// cause names what a late step waited for: the stage that took longest beyond what it
// takes usually.
func (s *step) cause(p, usual parts) string {
	if s.listed.IsZero() {
		if s.unkept > 0 {
			return causeStore
		}
		return causeLost
	}
	worst := stageAccept
	for i := range p {
		if p[i]-usual[i] > p[worst]-usual[worst] {
			worst = i
		}
	}
	switch {
	case worst >= stageWrite && s.unkept > 0, worst == stageAccept && s.refused > 0:
		return causeStore // a trainer that gave up meanwhile reads late, if at all
	case worst != stageRun && worst != stageScore && s.takeOvers > 0:
		return causeHolder
	}
	return stageCauses[worst]
}

// usual is the median of each stage over the steps that were read in time.
func usual(all []parts) parts {
	var out parts
	if len(all) == 0 {
		return out
	}
	for i := range out {
		values := make([]time.Duration, len(all))
		for j, p := range all {
			values[j] = p[i]
		}
		slices.Sort(values)
		out[i] = values[len(values)/2]
	}
	return out
}
