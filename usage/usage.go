// Package usage counts the requests of each customer by windows of time.
//
// One instance counts what endpoints began for its own callers. Its counts of a window
// are sent on whole, again and again, so that a message that is lost or comes twice
// changes nothing.
//
// The package has no network and no clock.
package usage

import (
	"maps"
	"sync"
	"time"
)

const (
	// windowsMost bounds the windows that are kept: five minutes of five seconds each, far
	// longer than anybody is without a reader of its counts.
	windowsMost   = 60
	defaultWindow = 5 * time.Second
)

// Book has the counts of one instance; safe for concurrent use. See New.
type Book struct {
	window time.Duration

	mu sync.Mutex
	// counts has the requests of each customer, by window; those up to reported are gone.
	counts   map[int64]map[string]int
	reported int64
	// changes counts the changes.
	changes int64
}

// New returns an empty book with windows of that length; 0, where nobody asks for usage, is
// defaultWindow.
//
//	b := usage.New(5 * time.Second)
//	w := b.Began("huka270", now)
func New(window time.Duration) *Book {
	if window <= 0 {
		window = defaultWindow
	}
	return &Book{window: window, counts: make(map[int64]map[string]int)}
}

// Window returns the number of the window that a time lies in, counted from the start of
// 1970.
func (b *Book) Window(at time.Time) int64 { return at.UnixNano() / int64(b.window) }

// Ends returns when a window is over.
func (b *Book) Ends(window int64) time.Time { return time.Unix(0, (window+1)*int64(b.window)) }

// Began counts a request that an endpoint began, and returns the window that it counts in.
func (b *Book) Began(customer string, at time.Time) (window int64) {
	window = b.Window(at)
	b.add(customer, window, 1)
	return window
}

// Undo takes back a request that was counted and didn't run after all.
func (b *Book) Undo(customer string, window int64) { b.add(customer, window, -1) }

func (b *Book) add(customer string, window int64, n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if window <= b.reported {
		return
	}
	of := b.counts[window]
	if of == nil {
		of = make(map[string]int)
		b.counts[window] = of
		delete(b.counts, window-windowsMost)
	}
	of[customer] += n
	if of[customer] <= 0 {
		delete(of, customer)
	}
	b.changes++
}

// Open returns the counts of all windows that aren't reported yet, and how often they
// have changed.
func (b *Book) Open() (counts map[int64]map[string]int, changes int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	counts = make(map[int64]map[string]int, len(b.counts))
	for w, of := range b.counts {
		counts[w] = maps.Clone(of)
	}
	return counts, b.changes
}

// Changes is how often the counts have changed.
func (b *Book) Changes() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.changes
}

// Reported forgets all windows up to one: their reports are fixed.
func (b *Book) Reported(upto int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.reported = max(b.reported, upto)
	maps.DeleteFunc(b.counts, func(w int64, _ map[string]int) bool { return w <= b.reported })
}
