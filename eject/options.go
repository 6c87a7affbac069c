package eject

import "time"

// Option configures an outlier detector.
type Option func(*Detector)

// WithMaxShare limits the share of the known endpoints that may be ejected at a
// time, 0 to 1; 0 ejects none. The default is 1: no limit but the rule that all
// are allowed when all are ejected.
func WithMaxShare(maxShare float64) Option {
	return func(e *Detector) { e.maxShare = maxShare }
}

// WithConsecutiveFailures sets how many consecutive failures eject an endpoint. The default
// is 3.
func WithConsecutiveFailures(n int) Option {
	return func(e *Detector) { e.maxFailures = n }
}

// WithDuration sets the first ejection time and the maximum to which it grows with
// repeated failures. The defaults are 2 s and 60 s.
func WithDuration(baseDuration, maxDuration time.Duration) Option {
	return func(e *Detector) { e.baseDuration, e.maxDuration = baseDuration, maxDuration }
}
