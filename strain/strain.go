// Package strain tells whether a process gets enough of the processor.
//
// The load it answers: a machine turns several times slower, or is small, while it
// runs hundreds of streams. Nothing fails then; each event, write and answer is
// just seconds late, and the steps of its trainers with them. Timers that ring late
// show it within a second, before anyone complains, and the work can go to a
// machine that has time for it.
package strain

import (
	"sync"
	"time"
)

const (
	// late is the mean lateness of timers that counts as strain: an event is due
	// each 40 ms of each stream, and timers ring within a few milliseconds on a
	// machine that has time.
	late = 40 * time.Millisecond
	// calm is the mean lateness at which the strain is over, and calmFor how long
	// it must hold; work that comes back would cause it again.
	calm    = 8 * time.Millisecond
	calmFor = 6 * time.Second
	// weight is the share of one observation in the mean; at twenty a second the
	// mean follows within a second.
	weight = 0.06
	// Every is how often to observe.
	Every = 50 * time.Millisecond
)

// Gauge follows the lateness of timers; safe for concurrent use. The zero value is
// a gauge without strain.
//
//	var g strain.Gauge
//	changed := g.Observe(late, now)
type Gauge struct {
	mu       sync.Mutex
	mean     float64
	strained bool
	calmAt   time.Time
}

// Observe takes how late a timer rang and reports whether that changed the verdict.
func (g *Gauge) Observe(lateness time.Duration, now time.Time) (changed bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	// A process that stood still for seconds, as in a freeze, rings late once; that
	// isn't strain.
	lateness = min(lateness, 3*late)
	g.mean += weight * (float64(lateness) - g.mean)
	switch {
	case g.mean > float64(late):
		changed = !g.strained
		g.strained = true
		g.calmAt = time.Time{}
	case g.strained && g.mean < float64(calm):
		if g.calmAt.IsZero() {
			g.calmAt = now
		}
		if now.Sub(g.calmAt) >= calmFor {
			g.strained = false
			changed = true
		}
	default:
		g.calmAt = time.Time{}
	}
	return changed
}

// Strained reports whether timers ring late.
func (g *Gauge) Strained() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.strained
}

// Mean is the mean lateness.
func (g *Gauge) Mean() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return time.Duration(g.mean)
}
