package queue

import (
	"time"

	"github.com/lavendermux/lavendermux/work"
)

const (
	// sampleDecay is the factor by which earlier samples are weighted down at each
	// finished request. 0.95 averages over about 20 requests, some four seconds of an
	// endpoint that finishes five a second: short enough to follow a growing batch of
	// the engine, long enough that a single straggler hardly changes the estimate.
	sampleDecay = 0.95

	// overrunShare is the share of its estimate for which work that has exceeded the
	// estimate is expected to run on.
	overrunShare = 0.25
)

type (
	// estimator estimates the service time of work on one slot, from decaying sums
	// over finished work.
	estimator struct {
		generated float64
		seconds   float64
		byKind    [kindCount]tokenStats
	}

	// tokenStats compares the tokens that work of one kind generated with the
	// expected number that its callers sent. Callers may send the maximum instead;
	// uncorrected, the queue would refuse work that could finish in time.
	tokenStats struct {
		generated           float64
		count               float64
		generatedOfExpected float64
		expected            float64
	}
)

func newEstimator(tokenRate, meanTokens float64) estimator {
	e := estimator{generated: meanTokens, seconds: meanTokens / tokenRate}
	for k := range e.byKind {
		e.byKind[k] = tokenStats{generated: meanTokens, count: 1, generatedOfExpected: meanTokens, expected: meanTokens}
	}
	return e
}

func (e *estimator) observe(w work.Work, generated int64, took time.Duration) {
	// A sample without tokens says nothing about the rate and would make every later
	// estimate infinite.
	if generated <= 0 || took <= 0 {
		return
	}
	e.generated = e.generated*sampleDecay + float64(generated)
	e.seconds = e.seconds*sampleDecay + took.Seconds()
	stats := &e.byKind[kindIndex(w)]
	stats.generated = stats.generated*sampleDecay + float64(generated)
	stats.count = stats.count*sampleDecay + 1
	if w.ExpectedTokens > 0 {
		stats.generatedOfExpected = stats.generatedOfExpected*sampleDecay + float64(generated)
		stats.expected = stats.expected*sampleDecay + float64(w.ExpectedTokens)
	}
}

// rate returns the tokens that one slot generates per second.
func (e *estimator) rate() float64 {
	return e.generated / e.seconds
}

func (e *estimator) tokens(w work.Work) float64 {
	stats := &e.byKind[kindIndex(w)]
	if w.ExpectedTokens > 0 {
		return float64(w.ExpectedTokens) * stats.generatedOfExpected / stats.expected
	}
	return stats.generated / stats.count
}

func (e *estimator) serviceTime(w work.Work) time.Duration {
	return time.Duration(e.tokens(w) / e.rate() * float64(time.Second))
}

// remaining returns how much longer work that has run for the given time is
// expected to run.
func (e *estimator) remaining(w work.Work, ran time.Duration) time.Duration {
	serviceTime := e.serviceTime(w)
	return max(serviceTime-ran, scale(serviceTime, overrunShare))
}
