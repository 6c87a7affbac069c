package eject

import "time"

// Option changes when endpoints are set aside.
type Option func(*Eject)

// WithShare bounds the share of the known endpoints that may be set aside at a
// time, 0 to 1. The default is 0.34: of three endpoints one.
func WithShare(share float64) Option {
	return func(e *Eject) { e.share = share }
}

// WithFailures sets how many failures in a row set an endpoint aside. The
// default is 3.
func WithFailures(n int) Option {
	return func(e *Eject) { e.failures = n }
}

// WithSlow sets how many times slower than the median endpoint one must be to be
// set aside. The default is 3.
func WithSlow(factor float64) Option {
	return func(e *Eject) { e.slow = factor }
}

// WithRest sets for how long an endpoint is first set aside, and the most that
// this grows to when it fails again. The defaults are 2 s and 60 s.
func WithRest(first, most time.Duration) Option {
	return func(e *Eject) { e.first, e.most = first, most }
}
