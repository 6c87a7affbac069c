// Package duty tells an instance when it may act as the only holder of a duty.
//
// The holder is named by a record in the metadata store, with an epoch that each new
// holder raises. Whoever receives the holder's calls may not check that epoch, so that
// two holders have to be kept apart in time as well. A holder acts only for a short span
// after it saw that the record is still its own, and a new holder doesn't act before
// that span is over for everybody. The record may therefore be taken at any moment, also
// from a holder that lives and was wrongly taken for lost.
//
// The span is half of the lease. With that, a duty that wanders from one instance to
// another and back is out of the first one's hands for a whole lease, however often it
// wanders: receivers may take shorter turns for two holders at a time.
//
// All times are of a clock that goes on while the machine is suspended (package uptime).
// By one that stands still, a holder that wakes up would take itself for the holder for
// as long as it was away. The package has no network and no clock.
package duty

import "time"

// spanPart is the part of the lease in which a holder may act without looking again.
const spanPart = 2

// Term is the time for which an instance holds a duty. See Begin.
type Term struct {
	// Epoch is above that of all earlier holders, and above 0.
	Epoch int64
	// lease is the shortest time between two holdings of one instance.
	lease time.Duration
	// from is when the holder may first act; seen is when it began to look at the record
	// that was still its own.
	from, seen time.Duration
}

// Begin returns the term of an instance that asked for the record at one time and was
// told at another that it has it. The first holder ever has nobody to wait for.
//
//	t := duty.Begin(epoch, asked, uptime.Now(), 3*time.Second, false)
//	if until, ok := t.MayAct(uptime.Now()); ok {
//		report(until)
//	}
func Begin(epoch int64, asked, answered, lease time.Duration, isFirst bool) Term {
	t := Term{Epoch: epoch, lease: lease, from: answered + lease, seen: asked}
	if isFirst {
		t.from = answered
	}
	return t
}

// Seen takes that the record was still this holder's; it began to look then.
func (t *Term) Seen(asked time.Duration) { t.seen = max(t.seen, asked) }

// MayAct reports whether the holder may act, and until when what it sends must have
// arrived.
func (t *Term) MayAct(now time.Duration) (until time.Duration, ok bool) {
	until = t.seen + t.lease/spanPart
	return until, now >= t.from && now < until
}

// Waits returns how long the holder has to wait before it may act for the first time.
func (t *Term) Waits(now time.Duration) time.Duration { return max(0, t.from-now) }
