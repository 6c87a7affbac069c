// Package strays decides when a run goes on at another endpoint.
//
// The load it answers: a step waits for its longest items, and engines turn three
// times slower for seconds, or are a third slower for good. A run that stays
// where it began then ends seconds after all others, and the whole step with it.
// A run can go on elsewhere from its last event; reading its prompt in again
// takes some milliseconds, as long as one event.
//
// The package has no clock and no network.
package strays

import "time"

const (
	// least is how much sooner a run must be expected to end elsewhere: several
	// times what the move costs, so that runs don't wander.
	least = 400 * time.Millisecond
	// ratio is how much slower than the other endpoint this one must be. Engines
	// differ by half with their load, and that changes while one looks.
	ratio = 1.6
	// longLeast and longRatio are those for runs with much left: on an engine that
	// is a third slower for good, an item of 116 events ends after 7.4 s instead of
	// 5.6 s, and its step with it. They hold for a run's first move only: its first
	// place may have been taken without knowing the engine, the second was not, and
	// a difference by load alone would send it to and fro.
	longLeast = time.Second
	longRatio = 1.25
	// tail is the part of what a run has made that is expected still to come
	// once it has passed its estimate. Lengths are spread so widely that a run
	// that is long already is likely to be much longer.
	tail = 0.4
	// fewest events are always expected to come.
	fewest = 5
)

// Run is a run that might move.
type Run struct {
	// Made and Expected are events, so far and in all; Expected is right at the
	// median only, and 0 if there is no estimate.
	Made     int
	Expected int
	// Here and There are the time of one event at this and the best other
	// endpoint; 0 is unknown.
	Here  time.Duration
	There time.Duration
	// Moves is how often the run has moved.
	Moves int
}

// Left is the number of events that are still expected.
//
//	n := strays.Run{Made: 80, Expected: 100}.Left()
//	fmt.Println(n)
func (r Run) Left() int {
	return max(fewest, r.Expected-r.Made, int(tail*float64(r.Made)))
}

// Move reports whether the run should go on at the other endpoint.
func (r Run) Move() bool {
	if r.Here <= 0 || r.There <= 0 {
		return false
	}
	slower := float64(r.Here) / float64(r.There)
	saved := time.Duration(r.Left()) * (r.Here - r.There)
	if slower >= ratio && saved > least {
		return true
	}
	return r.Moves == 0 && slower >= longRatio && saved > longLeast
}
