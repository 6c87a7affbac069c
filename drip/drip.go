// Package drip decides when finished results are written to the metadata store.
//
// The load it answers: a step's items finish a few at a time over several seconds,
// and each write costs the store a call. The trainer goes on when it has read a
// certain number of whole groups, so that the write with the last of them decides
// how long a step takes, and the others hardly matter. Writing all at the same
// pace either delays the step or makes three times the calls.
//
// The package has no clock and no network.
package drip

import "time"

const (
	// slow is the pace while a write can't complete the step. A trainer reads about
	// twice a second: a write that doesn't complete the step has it read, pause for half
	// a second, and find the one that does only then. At a pace of a quarter of a second
	// steps ended 0.34 s after their last score, and every step that waits for this one
	// began as much later.
	slow = 1500 * time.Millisecond
	// fast is the pace once results are due, when each group counts by itself.
	fast = 250 * time.Millisecond
	// defaultDue is taken where none is set.
	defaultDue = 7500 * time.Millisecond
)

// State is what is known about a submission's results.
type State struct {
	// Age is the time since it was submitted, Due when results are due, Last the
	// time since the last write.
	Age, Due, Last time.Duration
	// Groups are the groups that are whole and that the trainer waits for, Kept those
	// of them that were at the last write; the step is complete with Desired.
	Groups, Kept, Desired int
	// Done says that every item is finished.
	Done bool
}

// Wait returns how long to wait before the next write.
//
//	d := drip.State{Age: age, Groups: 11, Kept: 10, Desired: 11}.Wait()
//	time.Sleep(d)
func (s State) Wait() time.Duration {
	if s.Done || (s.Groups >= s.Desired && s.Kept < s.Desired) {
		return 0
	}
	due := s.Due
	if due <= 0 {
		due = defaultDue
	}
	if s.Age >= due {
		return max(0, fast-s.Last)
	}
	return max(0, min(slow-s.Last, due-s.Age))
}
