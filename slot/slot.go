// Package slot holds one sample that a step needs, as the decision about starts
// sees it.
package slot

import "time"

type (
	// Slot is one sample of one group. Many attempts may run for it, one is
	// delivered.
	Slot struct {
		// Group counts from 0 within the step; siblings share it and stand side by
		// side in what the decision is given.
		Group int
		// Expected is the whole length in tokens as the sender guesses it; 0 when
		// it has no guess.
		Expected int64
		// Done says that an attempt has finished; Tokens is then its length.
		Done bool
		// Tokens is the length of the finished sample, or what ended attempts
		// have made and a new one can continue.
		Tokens int64
		// Attempts is how many attempts were started, ended ones included.
		Attempts int
		// Runs are the attempts under way.
		Runs []run
	}

	// run is one attempt under way.
	run struct {
		// Worker is where it runs.
		Worker string
		// Since is when it began there.
		Since time.Time
		// Made is its length so far in tokens, those it continued included.
		Made int64
		// Speed is in tokens a second over the last seconds; 0 when it has
		// stood still for them.
		Speed float64
	}
)

// Run records an attempt under way.
//
//	s := slot.Slot{Group: 3, Expected: 800}
//	s.Run("worker-7", now, 0, 35)
func (s *Slot) Run(worker string, since time.Time, made int64, speed float64) {
	s.Runs = append(s.Runs, run{Worker: worker, Since: since, Made: made, Speed: speed})
}

// Furthest returns the worker of the attempt under way that has made the most,
// since when it runs there, what it has made and its speed. There must be one:
// an earlier one may still be there because its stop was lost.
func (s *Slot) Furthest() (worker string, since time.Time, made int64, speed float64) {
	best := s.Runs[0]
	for _, r := range s.Runs[1:] {
		if r.Made > best.Made {
			best = r
		}
	}
	return best.Worker, best.Since, best.Made, best.Speed
}

// Waiting says that no attempt runs and none has finished.
func (s *Slot) Waiting() bool {
	return !s.Done && len(s.Runs) == 0
}
