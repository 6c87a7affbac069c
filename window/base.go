package window

import (
	"math"
	"time"
)

const (
	// baseQuantile is low, as load makes even the fastest answers slower, while a service
	// whose requests differ has some that are fast.
	baseQuantile = 0.25
	// baseStep is the step of the logarithm of the estimate: about the last 30 answers count.
	baseStep = 0.2
	// baseDoubling is the time in which the estimate at most doubles while endpoints show
	// load. Without a bound, the load would soon be taken for the service's own duration;
	// without any rise, a service that takes longer for good would be throttled for ever.
	baseDoubling = 30 * time.Second
)

// baseline estimates how long requests of a service take without load, as a low quantile of
// their durations.
type baseline struct {
	value float64
	last  time.Time
}

// add records a duration. isLoaded is set if it may be long because of load.
func (b *baseline) add(took time.Duration, isLoaded bool, now time.Time) {
	elapsed := now.Sub(b.last)
	b.last = now
	switch {
	case b.value <= 0:
		b.value = float64(took)
		return
	case float64(took) < b.value:
		b.value *= math.Exp(-baseStep * (1 - baseQuantile))
		return
	}
	step := baseStep * baseQuantile
	if isLoaded {
		step = min(step, math.Ln2*float64(elapsed)/float64(baseDoubling))
	}
	b.value *= math.Exp(step)
}
