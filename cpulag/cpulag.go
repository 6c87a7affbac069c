// Package cpulag detects CPU starvation of the process from timer lag.
//
// A machine may become several times slower, or be too small, while it runs hundreds
// of streams. Nothing fails then, but every event, write and response is seconds late,
// and so are the steps of the trainers. Timers that fire late show this within a
// second, before callers notice, so that the work can move to a machine with spare
// capacity.
package cpulag

import (
	"sync"
	"time"
)

const (
	// starvedLag is the mean timer lag that counts as starvation: each stream has an
	// event every 40 ms, and timers fire within a few milliseconds on a machine with
	// spare capacity.
	starvedLag = 40 * time.Millisecond
	// recoveredLag is the mean timer lag below which the process counts as recovered,
	// and recoveryTime how long the lag must stay there. The hysteresis keeps returning
	// work from causing starvation again.
	recoveredLag = 8 * time.Millisecond
	recoveryTime = 6 * time.Second
	// ewmaWeight is the weight of an observation in the EWMA; at twenty observations a
	// second the mean follows within a second.
	ewmaWeight = 0.06
	// SampleInterval is the interval at which to call Observe.
	SampleInterval = 50 * time.Millisecond
)

// Detector tracks the EWMA of timer lag and detects starvation with hysteresis. It is
// safe for concurrent use. The zero value is ready to use and reports no starvation.
//
//	var g cpulag.Detector
//	changed := g.Observe(lag, now)
type Detector struct {
	mu              sync.Mutex
	ewma            float64
	starved         bool
	recoveringSince time.Time
}

// Observe records how late a timer fired and reports whether the result of Strained
// changed.
func (g *Detector) Observe(lag time.Duration, now time.Time) (changed bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	// After a pause of seconds, as in a freeze, a timer fires late once; that isn't
	// starvation.
	lag = min(lag, 3*starvedLag)
	g.ewma += ewmaWeight * (float64(lag) - g.ewma)
	switch {
	case g.ewma > float64(starvedLag):
		changed = !g.starved
		g.starved = true
		g.recoveringSince = time.Time{}
	case g.starved && g.ewma < float64(recoveredLag):
		if g.recoveringSince.IsZero() {
			g.recoveringSince = now
		}
		if now.Sub(g.recoveringSince) >= recoveryTime {
			g.starved = false
			changed = true
		}
	default:
		g.recoveringSince = time.Time{}
	}
	return changed
}

// Strained reports whether the process is short of CPU time.
func (g *Detector) Strained() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.starved
}

// MeanLag returns the EWMA of timer lag.
func (g *Detector) MeanLag() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return time.Duration(g.ewma)
}
