package stages

import (
	"slices"
	"time"
)

// The stages of a step, in chronological order.
const (
	stageAccept = iota
	stageStart
	stageRun
	stageGap
	stageScore
	stageWrite
	stageRead
	stageCount
)

// Causes of a late step that don't follow from a stage alone.
const (
	causeOwnerLost = "owner lost"
	causeStoreDown = "store unavailable"
	causeNotListed = "never listed"
)

var (
	// stageNames are the column headers, by stage.
	stageNames = [stageCount]string{"ACCEPT", "START", "RUN", "BETWEEN", "SCORE", "WRITE", "READ"}
	// stageCauses are the causes of a long stage, by stage.
	stageCauses = [stageCount]string{"not accepted", "no free slot", "straggler", "attempts interrupted",
		"score late", "not written", "not read"}
)

// stageDurations is the time that a step spent in each stage.
type stageDurations [stageCount]time.Duration

// stageTimes returns the time of the step in each stage, measured at its straggler.
// Stages that are not in the logs are zero.
func (s *step) stageTimes(straggler *item) stageDurations {
	var p stageDurations
	p[stageAccept] = elapsed(s.submitted, s.accepted)
	if !s.completed.IsZero() {
		s.addAttemptTimes(straggler, &p)
	}
	p[stageWrite] = elapsed(s.completed, s.listed)
	p[stageRead] = elapsed(s.listed, s.read)
	return p
}

func (s *step) addAttemptTimes(it *item, p *stageDurations) {
	if it == nil || len(it.attempts) == 0 { // it was generated in an earlier step
		p[stageScore] = elapsed(s.accepted, s.completed)
		return
	}
	attempts := slices.Clone(it.attempts)
	slices.SortFunc(attempts, func(a, b attempt) int { return a.start.Compare(b.start) })
	p[stageStart] = elapsed(s.accepted, attempts[0].start)
	lastEnd := attempts[0].start
	for _, r := range attempts {
		p[stageGap] += elapsed(lastEnd, r.start)
		p[stageRun] += elapsed(laterOf(lastEnd, r.start), r.end)
		lastEnd = laterOf(lastEnd, r.end)
	}
	p[stageScore] = elapsed(lastEnd, s.completed)
}

// elapsed returns the time from a to b, or 0 if b is before a or either is unknown.
func elapsed(a, b time.Time) time.Duration {
	if a.IsZero() || b.IsZero() {
		return 0
	}
	return max(0, b.Sub(a))
}

func laterOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// late returns how long after its deadline the step was read, and whether it was read
// at all.
func (s *step) late() (by time.Duration, read bool) {
	if s.read.IsZero() {
		return 0, false
	}
	if s.due == 0 {
		return 0, true
	}
	return max(0, s.read.Sub(s.submitted)-s.due), true
}

// cause returns the cause of a late step: usually the stage that exceeds its typical
// time the most. A lost owner or an unavailable metadata store explain a delay in several
// stages.
func (s *step) cause(p, usual stageDurations) string {
	if s.listed.IsZero() {
		if s.unsaved > 0 {
			return causeStoreDown
		}
		return causeNotListed
	}
	worst := stageAccept
	for i := range p {
		if p[i]-usual[i] > p[worst]-usual[worst] {
			worst = i
		}
	}
	switch {
	case worst >= stageWrite && s.unsaved > 0, worst == stageAccept && s.rejected > 0:
		return causeStoreDown // a trainer that gave up meanwhile reads late or never
	case worst != stageRun && worst != stageScore && s.takeovers > 0:
		return causeOwnerLost
	}
	return stageCauses[worst]
}

// medianTimes returns the median time of each stage over all steps in all.
func medianTimes(all []stageDurations) stageDurations {
	var out stageDurations
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
