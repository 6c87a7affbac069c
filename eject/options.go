package eject

import "time"

// Option changes when endpoints are set aside.
type Option func(*Eject)

// WithShare bounds the share of the known endpoints that may be set aside at a
// time, 0 to 1; 0 sets none aside. The default is 1: no bound but the rule that
// when all are set aside, none is.
func WithShare(share float64) Option {
	return func(e *Eject) { e.share = share }
}

// WithFailures sets how many failures in a row set an endpoint aside. The
// default is 3.
func WithFailures(n int) Option {
	return func(e *Eject) { e.failures = n }
}

// WithRest sets for how long an endpoint is first set aside, and the most that
// this grows to when it fails again. The defaults are 2 s and 60 s.
func WithRest(first, most time.Duration) Option {
	return func(e *Eject) { e.first, e.most = first, most }
}
