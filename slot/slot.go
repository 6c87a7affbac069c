// Package slot describes a sample slot of a training step for the scheduling of
// attempts.
package slot

import "time"

type (
	// Slot is one sample of a group. It may have several attempts, of which one is
	// delivered.
	Slot struct {
		// Group is the index of the group in the step, from 0. The slots of a group
		// are adjacent in the planner's input.
		Group int
		// ExpectedLength is the sender's estimate of the total length in tokens; 0 if
		// there is none.
		ExpectedLength int64
		// Done reports whether an attempt has finished.
		Done bool
		// Tokens is the length of the finished sample. While Done is false, it is
		// the number of tokens of ended attempts that a new one can continue.
		Tokens int64
		// Attempts is the number of attempts started, including ended ones.
		Attempts int
		// Running are the running attempts.
		Running []attempt
	}

	// attempt is one running attempt.
	attempt struct {
		// Worker is the name of the worker that runs it.
		Worker string
		// StartedAt is when it started on that worker.
		StartedAt time.Time
		// Tokens is its length so far in tokens, including continued ones.
		Tokens int64
		// TokensPerSecond is in tokens per second over the last seconds; 0 if it has
		// stalled.
		TokensPerSecond float64
	}
)

// AddAttempt adds a running attempt.
//
//	s := slot.Slot{Group: 3}
//	s.AddAttempt("worker-7", now, 0, 35)
func (s *Slot) AddAttempt(worker string, since time.Time, generated int64, speed float64) {
	s.Running = append(s.Running, attempt{Worker: worker, StartedAt: since, Tokens: generated, TokensPerSecond: speed})
}

// Furthest returns the worker, start time, length and speed of the running attempt with
// the most tokens. It panics if no attempt is running. An earlier attempt may still be
// running if its stop request was lost.
func (s *Slot) Furthest() (worker string, since time.Time, generated int64, speed float64) {
	furthest := s.Running[0]
	for _, r := range s.Running[1:] {
		if r.Tokens > furthest.Tokens {
			furthest = r
		}
	}
	return furthest.Worker, furthest.StartedAt, furthest.Tokens, furthest.TokensPerSecond
}

// Waiting reports whether no attempt is running and none has finished.
func (s *Slot) Waiting() bool {
	return !s.Done && len(s.Running) == 0
}
