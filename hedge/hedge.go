// Package hedge decides when a call that is slow is sent to a second endpoint too.
//
// The load it answers: eight scoring calls of 200 ms make a group, nine groups make a
// step, and one call in a hundred takes five times as long, or sits at an endpoint that
// has fallen silent. The slowest of the seventy-two decides, so that most steps meet a
// slow one. A second copy helps if it goes out when a call is slow for its kind, and
// harms if many go out because the whole service is slow: the wait is therefore taken
// from the times that were observed, and at most one call in twenty is doubled.
//
// The package has no clock and no network.
package hedge

import (
	"slices"
	"sync"
	"time"
)

const (
	// quantile is the share of calls that end without a second copy.
	quantile = 0.95
	// remembered is how many times count: two or three steps of calls, so that the wait
	// follows a service that turns slow, and comes within a fifth of the truth.
	remembered = 200
	// fewest observations come before the estimate is used: the 0.95 quantile of
	// twenty is the second greatest.
	fewest = 20
	// least keeps calls of a few milliseconds from being doubled for a delay that a
	// scheduler or a link makes.
	least = 50 * time.Millisecond
)

// Wait estimates when calls of one kind are slow; safe for concurrent use. The zero
// Wait is ready.
type Wait struct {
	mu    sync.Mutex
	times []time.Duration
	next  int
}

// Observe takes how long a call took until its answer, a second copy included.
func (w *Wait) Observe(took time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.times) < remembered {
		w.times = append(w.times, took)
		return
	}
	w.times[w.next] = took
	w.next = (w.next + 1) % remembered
}

// After returns how long to wait for an answer before a second copy goes out; other
// is returned while too little was observed.
//
//	timer := time.NewTimer(w.After(time.Second))
//	w.Observe(took)
func (w *Wait) After(other time.Duration) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.times) < fewest {
		return other
	}
	sorted := slices.Sorted(slices.Values(w.times))
	return max(least, sorted[int(quantile*float64(len(sorted)))])
}
