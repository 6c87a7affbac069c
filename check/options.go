package check

import "time"

const (
	// defaultDrainTime is how long after its drain began a leaving endpoint may get
	// new work.
	defaultDrainTime = 5 * time.Second
	// defaultPropagation is within what time an accepted change must apply everywhere.
	defaultPropagation = 18 * time.Second
)

type (
	// Option changes the limits of History.
	Option func(*limits)

	limits struct {
		drain       time.Duration
		propagation time.Duration
		complete    bool
	}
)

// WithComplete declares that the system came to rest before the history ends, so that
// everything accepted must have been delivered. By default the history may end
// anywhere.
func WithComplete() Option {
	return func(l *limits) { l.complete = true }
}
