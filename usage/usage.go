// Package usage counts the requests of each customer by time window.
//
// An instance counts the requests that endpoints start for its own callers. It repeatedly
// sends the complete counts of a window, so that lost or duplicate messages do not matter.
//
// The package uses neither the network nor a clock.
package usage

import (
	"maps"
	"sync"
	"time"
)

const (
	// maxWindows bounds the windows that are kept: with five seconds each, five minutes, far
	// longer than an instance is without a reader of its counts.
	maxWindows    = 60
	defaultWindow = 5 * time.Second
)

// Counter counts the requests of one instance. It is safe for concurrent use. See New.
type Counter struct {
	window time.Duration

	mu sync.Mutex
	// counts has the number of requests by window and customer. Windows up to lastReported are
	// removed.
	counts       map[int64]map[string]int
	lastReported int64
	// changes is the number of changes to counts.
	changes int64
}

// New returns an empty counter with the given length of a window; 0, for a deployment without
// usage reports, means 5 seconds.
//
//	c := usage.New(5 * time.Second)
//	w := c.CountStart("huka270", now)
func New(window time.Duration) *Counter {
	if window <= 0 {
		window = defaultWindow
	}
	return &Counter{window: window, counts: make(map[int64]map[string]int)}
}

// WindowAt returns the number of the window that contains a time, counted from the start of
// 1970.
func (b *Counter) WindowAt(at time.Time) int64 { return at.UnixNano() / int64(b.window) }

// WindowEnd returns the end of a window.
func (b *Counter) WindowEnd(window int64) time.Time { return time.Unix(0, (window+1)*int64(b.window)) }

// CountStart counts a request that an endpoint has started, and returns the window to which it
// belongs.
func (b *Counter) CountStart(customer string, at time.Time) (window int64) {
	window = b.WindowAt(at)
	b.add(customer, window, 1)
	return window
}

// Undo subtracts a request that was counted but did not run.
func (b *Counter) Undo(customer string, window int64) { b.add(customer, window, -1) }

func (b *Counter) add(customer string, window int64, n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if window <= b.lastReported {
		return
	}
	requests := b.counts[window]
	if requests == nil {
		requests = make(map[string]int)
		b.counts[window] = requests
		delete(b.counts, window-maxWindows)
	}
	requests[customer] += n
	if requests[customer] <= 0 {
		delete(requests, customer)
	}
	b.changes++
}

// Unreported returns the counts of all windows that are not reported yet, by window and customer,
// and the number of changes so far.
func (b *Counter) Unreported() (counts map[int64]map[string]int, changes int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	counts = make(map[int64]map[string]int, len(b.counts))
	for w, requests := range b.counts {
		counts[w] = maps.Clone(requests)
	}
	return counts, b.changes
}

// Changes returns the number of changes to the counts so far.
func (b *Counter) Changes() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.changes
}

// MarkReported removes all windows up to and including last, whose reports are committed. Later
// counts for them are ignored.
func (b *Counter) MarkReported(last int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.lastReported = max(b.lastReported, last)
	maps.DeleteFunc(b.counts, func(w int64, _ map[string]int) bool { return w <= b.lastReported })
}
