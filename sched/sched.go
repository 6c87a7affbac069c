// Package sched decides whose sample begins next on engines that several
// trainers share, and whether one should begin at all.
//
// It answers a load of a few trainers with different paces and step sizes, up to
// several times what the engines carry. Without it the trainer with the most
// prompts takes the engines while the others idle, and samples begin that are
// older than their trainer's bound when they end; one would notice tokens thrown
// away at the delivery and trainers idle beside busy engines.
//
// Its thresholds are the trainers' own: the bound, and the weights of idle time
// and staleness, which say how far ahead of its need a step is begun. Measured
// against round robin at twice the capacity, the worst trainer idles 0.54 of the
// time in place of 0.75 and samples are 0.6 versions old in place of 1.3; the
// mean of all trainers is higher, 0.41 in place of 0.31, since round robin starves
// the one with the largest step. The figures are in docs/measured/rollouts.md.
package sched

import (
	"time"

	"github.com/lavendermux/lavendermux/demand"
)

// leastShare is the weight of a trainer whose operators do not mind idle time at
// all. With 0 it would never get its turn among late ones; a tenth lets it wait
// for ten times as long as one whose operators mind nothing else.
const leastShare = 0.1

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
		if d.Waiting == 0 || c.Age(d) > d.Bound || !due(d, now) {
			continue
		}
		if !found || before(d, &trainers[best], now) {
			best, found = i, true
		}
	}
	return best, found
}

// Age returns how many versions old a sample that begins now is expected to be
// at its delivery, by its place in the trainer's queue: a trainer publishes one
// version a step, and the steps before this one must be whole first. Judging each
// sample by its length as well was measured and is not done: the long ones of a
// group were kept back until their finished siblings were too old.
func (c *Chooser) Age(d *demand.Demand) int64 {
	age := int64(d.Held/d.Step) + d.Version - d.Loaded
	if d.Idle.IsZero() {
		age++
	}
	return age
}

// due says whether a sample may begin so early. A step that is needed far ahead
// is begun at once when only idle time matters, and at the last moment when only
// staleness does.
func due(d *demand.Demand, now time.Time) bool {
	ahead := time.Duration(idleShare(d) * float64(d.Bound+1) * float64(d.Every))
	return !d.Idle.IsZero() || now.Add(ahead).After(latest(d))
}

// needed returns when the trainer wants the step that the next sample is for.
func needed(d *demand.Demand) time.Time {
	if !d.Idle.IsZero() {
		return d.Idle.Add(time.Duration(d.Held/d.Step) * d.Every)
	}
	return d.Published.Add(time.Duration(1+d.Held/d.Step) * d.Every)
}

// before says whether a's sample goes ahead of b's: the one that must begin sooner
// for its trainer not to wait. Of two that are late the one goes first whose
// trainer has waited longest for the work that it still lacks, so that a short
// step is not kept behind a long one and a long one is not kept for ever.
func before(a, b *demand.Demand, now time.Time) bool {
	lateA, lateB := now.Sub(latest(a)), now.Sub(latest(b))
	if lateA > 0 && lateB > 0 {
		return weighted(a, lateA) > weighted(b, lateB)
	}
	return lateA > lateB
}

// weighted returns how late a step is, against the work that it lacks, in the eyes
// of its operators.
func weighted(d *demand.Demand, late time.Duration) float64 {
	work := float64(d.Step-d.Held%d.Step) * float64(d.Duration)
	return max(idleShare(d), leastShare) * float64(late) / work
}

// latest returns when the next sample must begin.
func latest(d *demand.Demand) time.Time {
	return needed(d).Add(-d.Duration)
}

// idleShare returns how much of the weight is on idle time.
func idleShare(d *demand.Demand) float64 {
	total := d.IdleWeight + d.StalenessWeight
	if total == 0 {
		return 1
	}
	return d.IdleWeight / total
}
