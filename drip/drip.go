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
	// slow is the pace while nothing depends on it: what is lost with the holder
	// in between is less than a second of work.
	slow = 800 * time.Millisecond
	// fast is the pace near the time at which results are due: a trainer reads
	// about twice a second.
	fast = 250 * time.Millisecond
	// nearDue is the share of that time after which every group counts.
	nearDue = 0.6
	// defaultDue is taken where none is set.
	defaultDue = 7500 * time.Millisecond
)

// State is what is known about a submission's results.
type State struct {
	// Age is the time since it was submitted, Due when results are due, Last the
	// time since the last write.
	Age, Due, Last time.Duration
	// Groups are the groups that are whole, with those of Pending, and Kept
	// those that were at the last write; the trainer waits for Desired.
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
	pace := slow
	if float64(s.Age) > nearDue*float64(due) {
		pace = fast
	}
	return max(0, pace-s.Last)
}
