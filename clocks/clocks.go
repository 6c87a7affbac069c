// Package clocks provides a wall clock that tolerates jumps of the machine's own clock.
//
// Usage is reported by windows of true time. A machine whose wall clock jumps by some
// seconds would count its customers' requests in the wrong windows, and it can't detect
// the jump alone. Each heartbeat carries a peer's wall time. The median of the peers is
// right as long as fewer than half of the clocks are off. The local clock is more precise
// than times in messages, so it is used while it is close to the median, and the median
// otherwise.
//
// The package uses no network; the caller provides the monotonic clock.
package clocks

import (
	"slices"
	"sync"
	"time"
)

const (
	// maxSkew is the maximum difference of the local clock from the median of the peers.
	// Synchronized clocks differ by milliseconds; a reading delayed on a busy machine is
	// off by half its round trip, at most half of maxRoundTrip.
	maxSkew = 100 * time.Millisecond
	// maxRoundTrip bounds the round trip of a reading; slower ones are too imprecise.
	maxRoundTrip = 100 * time.Millisecond
	// readingTTL is how long a reading of a peer's clock is used.
	readingTTL = 30 * time.Second
	// minPeers is the number of peers needed to override the local clock.
	minPeers = 2
)

type (
	// Clock is a wall clock checked against those of peers; safe for concurrent use. See
	// New.
	Clock struct {
		wall      func() time.Time
		monotonic func() time.Duration

		mu    sync.Mutex
		peers map[string]reading
	}

	// reading is a peer's wall time at 0 of the local monotonic clock.
	reading struct {
		wallAtZero time.Time
		readAt     time.Duration
	}
)

// New returns a Clock from the machine's wall clock, which may jump, and a monotonic
// clock that continues while the machine is suspended.
//
//	c := clocks.New(time.Now, uptime.Now)
//	window := c.Now().Unix() / 5
func New(wall func() time.Time, monotonic func() time.Duration) *Clock {
	return &Clock{wall: wall, monotonic: monotonic, peers: make(map[string]reading)}
}

// Monotonic returns the time of the monotonic clock.
func (c *Clock) Monotonic() time.Duration { return c.monotonic() }

// Observe records a peer's wall time, read between the monotonic times of the request and
// the response.
func (c *Clock) Observe(peer string, wall time.Time, sent, received time.Duration) {
	if received-sent > maxRoundTrip {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.peers[peer] = reading{wallAtZero: wall.Add(-(sent + received) / 2), readAt: received}
}

// Now returns the wall time.
func (c *Clock) Now() time.Time {
	local := c.wall().Round(0)
	mono, wallAtZero, ok := c.median()
	if !ok {
		return local
	}
	peerTime := wallAtZero.Add(mono)
	if ExceedsMaxSkew(local.Sub(peerTime)) {
		return peerTime
	}
	return local
}

// ExceedsMaxSkew reports whether a clock with this offset from its peers is not trusted.
func ExceedsMaxSkew(offset time.Duration) bool { return offset.Abs() > maxSkew }

// Offset returns the offset of the machine's clock from its peers', and whether enough peers
// are known to determine it.
func (c *Clock) Offset() (time.Duration, bool) {
	local := c.wall().Round(0)
	mono, wallAtZero, ok := c.median()
	return local.Sub(wallAtZero.Add(mono)), ok
}

// median returns the monotonic time and the median of the peers' wall times at monotonic
// time 0. ok is false if there are fewer than minPeers.
func (c *Clock) median() (mono time.Duration, wallAtZero time.Time, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	mono = c.monotonic()
	var walls []time.Time
	for name, r := range c.peers {
		if mono-r.readAt > readingTTL {
			delete(c.peers, name)
			continue
		}
		walls = append(walls, r.wallAtZero)
	}
	if len(walls) < minPeers {
		return mono, time.Time{}, false
	}
	slices.SortFunc(walls, time.Time.Compare)
	return mono, walls[len(walls)/2], true
}
