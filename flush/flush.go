// Package flush schedules the writes of finished results to the metadata store.
//
// A step's items finish a few at a time over several seconds, and each write costs the
// store a call. The trainer continues when it has read a certain number of complete
// groups, so the write that includes the last of them determines the step time, and
// earlier writes hardly matter. A constant write interval either delays the step or
// makes three times as many calls.
//
// The package uses neither a clock nor the network.
package flush

import "time"

const (
	// slowInterval is the write interval while a write can't complete the step. A trainer
	// reads about twice a second: after a write that doesn't complete the step it reads,
	// pauses for half a second, and only then finds the write that does. With an interval
	// of a quarter of a second, steps ended 0.34 s after their last score, and every
	// dependent step started as much later.
	slowInterval = 1500 * time.Millisecond
	// fastInterval is the write interval once results are due, when each additional group
	// counts.
	fastInterval = 250 * time.Millisecond
	// defaultDueAfter applies if the state has no due time.
	defaultDueAfter = 7500 * time.Millisecond
)

// State describes the results of a batch.
type State struct {
	// Age is the time since the batch was submitted, DueAfter the age at which its results
	// are due (0 for the default), and SinceLastWrite the time since the last write.
	Age, DueAfter, SinceLastWrite time.Duration
	// CompleteGroups is the number of required groups that are complete, Kept the number that
	// were complete at the last write, and RequiredGroups the number that completes the step.
	CompleteGroups, Kept, RequiredGroups int
	// AllFinished reports whether every item is finished.
	AllFinished bool
}

// Delay returns how long to wait before the next write; 0 means to write now. It is 0 if
// all items are finished or if the write would complete the step.
//
//	time.Sleep(state.Delay())
func (s State) Delay() time.Duration {
	if s.AllFinished || (s.CompleteGroups >= s.RequiredGroups && s.Kept < s.RequiredGroups) {
		return 0
	}
	dueAfter := s.DueAfter
	if dueAfter <= 0 {
		dueAfter = defaultDueAfter
	}
	if s.Age >= dueAfter {
		return max(0, fastInterval-s.SinceLastWrite)
	}
	return max(0, min(slowInterval-s.SinceLastWrite, dueAfter-s.Age))
}
