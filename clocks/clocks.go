// Package clocks tells the time of day where a machine's own clock can't be trusted.
//
// Usage is reported by windows of true time. A machine whose time of day jumps by some
// seconds would count its customers' requests into other windows, and nothing in its own
// view shows the jump. Its peers' clocks do: each sign of life brings one of them. The
// median is right as long as fewer than half of the clocks are off, so the own clock,
// which is more exact than what a message tells, is used while it is near the median, and
// the median is used while it isn't.
//
// The package has no network; its steady clock is handed to it.
package clocks

import (
	"slices"
	"sync"
	"time"
)

const (
	// doubt is how far the own clock may be from the median of the peers'. Clocks that
	// are kept in step differ by milliseconds; a message that waits for its turn on a
	// busy machine is off by half of its round trip, at most half of roundMost.
	doubt = 100 * time.Millisecond
	// roundMost is the longest round trip whose answer tells the peer's clock.
	roundMost = 100 * time.Millisecond
	// freshFor is how long a peer's clock counts after it was read.
	freshFor = 30 * time.Second
	// least is how many peers can outvote the own clock.
	least = 2
)

type (
	// Clock is the time of day as an instance and its peers have it; safe for concurrent
	// use. See New.
	Clock struct {
		wall   func() time.Time
		steady func() time.Duration

		mu    sync.Mutex
		peers map[string]reading
	}

	// reading is a peer's clock: its time of day when the steady clock here stood at 0.
	reading struct {
		zero time.Time
		at   time.Duration
	}
)

// New returns a clock by the machine's time of day, which may jump, and a steady clock
// that goes on while the machine is suspended.
//
//	c := clocks.New(time.Now, uptime.Now)
//	window := c.Now().Unix() / 5
func New(wall func() time.Time, steady func() time.Duration) *Clock {
	return &Clock{wall: wall, steady: steady, peers: make(map[string]reading)}
}

// Steady reads the steady clock.
func (c *Clock) Steady() time.Duration { return c.steady() }

// Read takes a peer's time of day. It was read between two moments of the steady clock.
func (c *Clock) Read(peer string, wall time.Time, asked, answered time.Duration) {
	if answered-asked > roundMost {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.peers[peer] = reading{zero: wall.Add(-(asked + answered) / 2), at: answered}
}

// Now returns the time of day.
func (c *Clock) Now() time.Time {
	own := c.wall().Round(0)
	now, zero, ok := c.median()
	if !ok {
		return own
	}
	common := zero.Add(now)
	if Doubts(own.Sub(common)) {
		return common
	}
	return own
}

// Doubts reports whether a clock that is off by so much from its peers' is not used.
func Doubts(off time.Duration) bool { return off.Abs() > doubt }

// Off returns how far the machine's clock is from its peers', and reports whether enough
// of them are known to tell.
func (c *Clock) Off() (time.Duration, bool) {
	own := c.wall().Round(0)
	now, zero, ok := c.median()
	return own.Sub(zero.Add(now)), ok
}

// median returns the peers' time of day when the steady clock stood at 0.
func (c *Clock) median() (now time.Duration, zero time.Time, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now = c.steady()
	var zeros []time.Time
	for name, r := range c.peers {
		if now-r.at > freshFor {
			delete(c.peers, name)
			continue
		}
		zeros = append(zeros, r.zero)
	}
	if len(zeros) < least {
		return now, time.Time{}, false
	}
	slices.SortFunc(zeros, time.Time.Compare)
	return now, zeros[len(zeros)/2], true
}
