package window

import (
	"math"
	"time"
)

const (
	// baseQuantile is low, as load makes even the fastest answers slower, while a service
	// whose requests differ has some that are fast. With a quarter, a service of which one
	// request in five is fast was taken for loaded for up to 11 s after a refusal
	// (TestLongRequestsAreNotLoad).
	baseQuantile = 0.35
	// baseStep is the step of the logarithm of the estimate: about the last 30 answers count.
	baseStep = 0.2
	// baseDoubling is the time in which the estimate at most doubles, and loadedDoubling that
	// while endpoints are contended. A burst fills the endpoints' queues within 0.2 s, and
	// without a bound an entry with many requests takes the waiting there for the service's
	// own duration. Without any rise a service that takes longer for good would stay
	// throttled.
	baseDoubling   = time.Second
	loadedDoubling = 30 * time.Second
	// firstPart bounds the first estimate under contention, as a part of the objective.
	firstPart = 0.125
)

// baseline estimates how long requests of a service take without load, as a low quantile of
// their durations.
type baseline struct {
	value float64
	last  time.Time
}

// add records a duration. isContended is set if it may be long because of load.
func (b *baseline) add(took, objective time.Duration, isContended bool, now time.Time) {
	elapsed := now.Sub(b.last)
	b.last = now
	if b.value <= 0 {
		b.value = float64(took)
		if isContended {
			b.value = min(b.value, firstPart*float64(objective))
		}
		return
	}
	doubling := baseDoubling
	if isContended {
		doubling = loadedDoubling
	}
	step := min(baseStep, math.Ln2/baseQuantile*float64(elapsed)/float64(doubling))
	if float64(took) < b.value {
		b.value *= math.Exp(-step * (1 - baseQuantile))
	} else {
		b.value *= math.Exp(step * baseQuantile)
	}
}
