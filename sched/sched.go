// Package sched decides whose sample begins next on engines that several
// trainers share, and whether one should begin at all.
//
// It answers a load of a few trainers with different paces and step sizes, up to
// several times what the engines carry. Without it the trainer with the most
// prompts takes the engines while the others idle, and samples begin that are
// older than their trainer's bound when they end; one would notice tokens thrown
// away at the delivery and trainers idle beside busy engines.
package sched

import (
	"time"

	"github.com/lavendermux/lavendermux/demand"
)

// Chooser chooses between trainers. See New.
type Chooser struct{}

// New returns a chooser.
//
//	c := sched.New()
//	i, ok := c.Choose(trainers, now)
func New(opts ...Option) *Chooser {
	c := &Chooser{}
	for _, opt := range opts {
		opt(c)
	}
	return c
}

// Choose returns the index of the trainer whose sample is to begin now, or false
// when none is to.
func (c *Chooser) Choose(trainers []demand.Demand, now time.Time) (int, bool) {
	best, found := 0, false
	for i := range trainers {
		d := &trainers[i]
		if d.Waiting == 0 || c.Age(d, now) > d.Bound || !due(d, now) {
			continue
		}
		if !found || before(d, &trainers[best], now) {
			best, found = i, true
		}
	}
	return best, found
}

// Age returns how many versions old a sample that begins now is expected to be
// at its delivery: by its place in the trainer's queue, since a trainer publishes
// one version a step, and by how long it runs.
func (c *Chooser) Age(d *demand.Demand, now time.Time) int64 {
	byPlace := int64(d.Held / d.Step)
	if d.Idle.IsZero() {
		byPlace++
	}
	byTime := int64(now.Add(d.Duration).Sub(d.Published) / d.Every)
	if !d.Idle.IsZero() {
		// A trainer that waits publishes nothing until its step is whole, so the
		// time that it has waited does not make samples older.
		byTime = int64(d.Duration / d.Every)
	}
	return max(byPlace, byTime) + d.Version - d.Loaded
}

// due says whether a sample may begin so early. A step that is needed far ahead
// is begun at once when only idle time matters, and at the last moment when only
// staleness does.
func due(d *demand.Demand, now time.Time) bool {
	total := d.IdleWeight + d.StalenessWeight
	if total == 0 || !d.Idle.IsZero() {
		return true
	}
	ahead := time.Duration(d.IdleWeight / total * float64(d.Bound+1) * float64(d.Every))
	return now.Add(d.Duration + ahead).After(needed(d))
}

// needed returns when the trainer wants the step that the next sample is for.
func needed(d *demand.Demand) time.Time {
	if !d.Idle.IsZero() {
		return d.Idle.Add(time.Duration(d.Held/d.Step) * d.Every)
	}
	return d.Published.Add(time.Duration(1+d.Held/d.Step) * d.Every)
}

// before says whether a's sample goes ahead of b's: the one that is needed
// sooner, less the time that it takes.
func before(a, b *demand.Demand, now time.Time) bool {
	return needed(a).Sub(now)-a.Duration < needed(b).Sub(now)-b.Duration
}
