// Package sched is a fair scheduler for engines shared by several trainers. It
// decides whose sample starts next, and whether one should start at all.
//
// It serves a few trainers with different step times and sizes, whose total load may
// be several times the capacity of the engines. Without it, the trainer with the most
// prompts occupies the engines while others idle, and samples are started that exceed
// their trainer's staleness bound when they finish: tokens are discarded at delivery,
// and trainers idle beside busy engines.
//
// All limits come from the trainers: the staleness bound, and the weights of idle time
// and staleness, which determine how early a step is started. At twice the capacity,
// compared with round robin, the worst trainer idles 0.54 of the time instead of 0.75,
// and samples are 0.6 versions old instead of 1.3. The mean idle share of all trainers
// is higher, 0.41 instead of 0.31, since round robin starves the trainer with the
// largest step. See docs/measured/rollouts.md.
package sched

import (
	"time"

	"github.com/lavendermux/lavendermux/demand"
)

// minIdleWeight is the weight of a trainer with an idle weight of 0. With 0 it would
// starve behind other late trainers; with a tenth it waits ten times as long as a
// trainer that weighs idle time only.
const minIdleWeight = 0.1

// Scheduler selects the trainer to serve next. See New.
type Scheduler struct{}

// New returns a Scheduler configured by opts.
//
//	s := sched.New()
//	i, ok := s.Choose(trainers, now)
func New(opts ...Option) *Scheduler {
	s := &Scheduler{}
	for _, opt := range opts {
		opt(s)
	}
	return s
}

// Choose returns the index of the trainer whose sample should start now, or false if no
// sample should.
func (s *Scheduler) Choose(trainers []demand.Demand, now time.Time) (int, bool) {
	best, found := 0, false
	for i := range trainers {
		d := &trainers[i]
		if d.Waiting == 0 || s.Staleness(d) > d.MaxStaleness || !mayStart(d, now) {
			continue
		}
		if !found || goesBefore(d, &trainers[best], now) {
			best, found = i, true
		}
	}
	return best, found
}

// Staleness returns the expected staleness, in versions at delivery, of a sample that starts
// now. It depends on the sample's position in the trainer's queue: a trainer publishes
// one version per step, and earlier steps must complete first. The sample's length is
// not considered, since this would delay the long samples of a group until their
// finished siblings are too old.
func (s *Scheduler) Staleness(d *demand.Demand) int64 {
	staleness := int64(d.Outstanding/d.StepSize) + d.Version - d.LoadedVersion
	if d.IdleSince.IsZero() {
		staleness++
	}
	return staleness
}

// mayStart reports whether it is not too early to start a sample. A step that is needed
// much later is started at once if only idle time matters, and as late as possible if
// only staleness does.
func mayStart(d *demand.Demand, now time.Time) bool {
	leadTime := time.Duration(idleWeightShare(d) * float64(d.MaxStaleness+1) * float64(d.PublishInterval))
	return !d.IdleSince.IsZero() || now.Add(leadTime).After(latestStart(d))
}

// neededAt returns when the trainer needs the step of the next sample.
func neededAt(d *demand.Demand) time.Time {
	if !d.IdleSince.IsZero() {
		return d.IdleSince.Add(time.Duration(d.Outstanding/d.StepSize) * d.PublishInterval)
	}
	return d.Published.Add(time.Duration(1+d.Outstanding/d.StepSize) * d.PublishInterval)
}

// goesBefore reports whether a's sample has priority over b's. The earlier latest start
// wins; of two late steps, the greater weighted lateness. Lateness is relative to the
// missing work, so that a short step doesn't wait behind a long one and a long one
// doesn't starve.
func goesBefore(a, b *demand.Demand, now time.Time) bool {
	lateA, lateB := now.Sub(latestStart(a)), now.Sub(latestStart(b))
	if lateA > 0 && lateB > 0 {
		return weightedLateness(a, lateA) > weightedLateness(b, lateB)
	}
	return lateA > lateB
}

// weightedLateness returns the lateness of a step relative to its missing work,
// multiplied by the trainer's idle weight share.
func weightedLateness(d *demand.Demand, late time.Duration) float64 {
	missingWork := float64(d.StepSize-d.Outstanding%d.StepSize) * float64(d.ExpectedDuration)
	return max(idleWeightShare(d), minIdleWeight) * float64(late) / missingWork
}

// latestStart returns the latest time at which the next sample can start without making
// its trainer wait.
func latestStart(d *demand.Demand) time.Time {
	return neededAt(d).Add(-d.ExpectedDuration)
}

// idleWeightShare returns the share of idle time in the trainer's weights, 1 if none
// is set.
func idleWeightShare(d *demand.Demand) float64 {
	total := d.IdleWeight + d.StalenessWeight
	if total == 0 {
		return 1
	}
	return d.IdleWeight / total
}
