// Package elect computes when an instance may act as the only leader.
//
// A record in the metadata store names the leader and its epoch, a fencing token that each
// new leader increments. Receivers of the leader's calls may not check the epoch, so two
// successive leaders are also separated in time: a leader acts only for a short span after
// it has confirmed that the record still names it, and a new leader does not act before that
// span is over for every predecessor. The record may therefore be taken over at any time,
// also from a live leader that was wrongly considered lost.
//
// The span is half of the lease. When leadership moves from one instance to another and
// back, however often, the first instance does not act for at least a whole lease. Receivers
// may treat shorter alternations as two concurrent leaders.
//
// All times come from a clock that advances while the machine is suspended (package uptime).
// With a clock that stops, a leader that resumes would consider itself leader for as long
// as it was suspended. The package uses neither the network nor a clock.
package elect

import "time"

// spanDivisor divides the lease into the span for which a leader may act after a read.
const spanDivisor = 2

// Term is the period for which one instance is leader.
type Term struct {
	// Epoch is greater than 0 and than that of all earlier leaders.
	Epoch int64
	// lease is the shortest time between two terms of one instance.
	lease time.Duration
	// earliest is when the leader may first act; confirmed is when it sent the last read of the
	// record that still named it.
	earliest, confirmed time.Duration
}

// NewTerm returns the term of an instance whose takeover of the record was sent at the time
// requested and confirmed at the time answered. The first leader ever has no predecessor to
// wait for.
//
//	t := elect.NewTerm(epoch, requested, uptime.Now(), 3*time.Second, false)
//	if until, ok := t.MayAct(uptime.Now()); ok {
//		report(until)
//	}
func NewTerm(epoch int64, requested, answered, lease time.Duration, isFirst bool) Term {
	t := Term{Epoch: epoch, lease: lease, earliest: answered + lease, confirmed: requested}
	if isFirst {
		t.earliest = answered
	}
	return t
}

// Confirm records that a read sent at the time requested still named this leader.
func (t *Term) Confirm(requested time.Duration) { t.confirmed = max(t.confirmed, requested) }

// MayAct reports whether the leader may act, and the time by which its calls must have
// arrived.
func (t *Term) MayAct(now time.Duration) (until time.Duration, ok bool) {
	until = t.confirmed + t.lease/spanDivisor
	return until, now >= t.earliest && now < until
}

// StartDelay returns the remaining time until the leader may first act.
func (t *Term) StartDelay(now time.Duration) time.Duration { return max(0, t.earliest-now) }
