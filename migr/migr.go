// Package migr decides when to migrate a running item to a faster endpoint.
//
// A step waits for its longest items, while some engines become three times slower
// for seconds or are permanently a third slower. An item that stays on such an
// engine ends seconds after all others and delays the whole step. It can resume on
// another endpoint after its last event; the repeated prefill takes some
// milliseconds, about as long as one event.
//
// The package uses neither a clock nor the network.
package migr

import "time"

const (
	// minSaved is the minimum expected time saved by a migration. It is several
	// times the cost of a migration, so that runs don't bounce between endpoints.
	minSaved = 400 * time.Millisecond
	// minSlowdown is the minimum ratio of the event times here and there. Load alone
	// makes engines differ by half, and it changes quickly.
	minSlowdown = 1.6
	// longMinSaved and longMinSlowdown are the limits for runs with much work left:
	// on an engine that is permanently a third slower, an item of 116 events takes
	// 7.4 s instead of 5.6 s and delays its step as much. They apply only to a run's
	// first migration. The first placement may have been made before the engine's
	// speed was known, later ones were not, and differences by load alone would move
	// the run back and forth.
	longMinSaved    = time.Second
	longMinSlowdown = 1.25
	// tailShare is the expected remaining length of a run past its estimate, as a
	// share of its length so far. Lengths are heavy-tailed: a run that is already
	// long is likely to become much longer.
	tailShare = 0.4
	// minRemainingEvents is the lower bound of the expected remaining events.
	minRemainingEvents = 5
)

// Run describes a running item that may be migrated.
type Run struct {
	// Generated is the number of events generated so far.
	Generated int
	// ExpectedTotal is the estimated total number of events. It is accurate only at the
	// median; 0 if there is no estimate.
	ExpectedTotal int
	// EventTimeHere is the time per event on the current endpoint; 0 if unknown.
	EventTimeHere time.Duration
	// EventTimeThere is the time per event on the best other endpoint; 0 if unknown.
	EventTimeThere time.Duration
	// Migrations is the number of earlier migrations.
	Migrations int
}

// Remaining returns the expected number of remaining events.
//
//	n := run.Remaining()
func (r Run) Remaining() int {
	return max(minRemainingEvents, r.ExpectedTotal-r.Generated, int(tailShare*float64(r.Generated)))
}

// ShouldMigrate reports whether the run should migrate to the other endpoint. It is false
// if either event time is unknown.
func (r Run) ShouldMigrate() bool {
	if r.EventTimeHere <= 0 || r.EventTimeThere <= 0 {
		return false
	}
	slowdown := float64(r.EventTimeHere) / float64(r.EventTimeThere)
	saved := time.Duration(r.Remaining()) * (r.EventTimeHere - r.EventTimeThere)
	if slowdown >= minSlowdown && saved > minSaved {
		return true
	}
	return r.Migrations == 0 && slowdown >= longMinSlowdown && saved > longMinSaved
}
