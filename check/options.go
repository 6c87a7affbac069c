package check

import "time"

const (
	// defaultDrain is after how long a leaving endpoint gets no new work.
	defaultDrain = 5 * time.Second
	// defaultSpread is within what an accepted change is in force everywhere.
	defaultSpread = 18 * time.Second
)

type (
	// Option changes how History judges.
	Option func(*limits)

	limits struct {
		drain    time.Duration
		spread   time.Duration
		complete bool
	}
)

// WithComplete says that the history ends after everything was given time to
// come to rest: whatever was accepted must have been delivered. By default it may
// end anywhere.
func WithComplete() Option {
	return func(l *limits) { l.complete = true }
}
