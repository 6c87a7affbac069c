// Package window limits how many requests one entry has at each endpoint of a service.
//
// Endpoints are shared by entries that don't know of each other's requests, so that an
// endpoint may be full although this entry has few requests there. The limit of an endpoint
// falls when the endpoint refuses a request because it is full, and rises again with
// requests that succeed. The sum of the limits is what an entry may send at once; the other
// requests wait at the entry, in its order, rather than being refused in turn by all
// endpoints.
//
// The package uses neither a clock nor the network.
package window

import (
	"math"
	"time"
)

const (
	// defaultMinClosed and defaultMaxClosed bound the time for which an endpoint gets no
	// request that refused one while it had no other of this entry: below 20 ms the
	// refusals take as long as the work of a plain endpoint, and after 500 ms even a queue
	// of 24 requests of such an endpoint has been served several times over.
	defaultMinClosed = 20 * time.Millisecond
	defaultMaxClosed = 500 * time.Millisecond
	// maxUnreachable bounds the time for which an endpoint gets no request after a
	// connection to it could not be made. The endpoint leaves the list of endpoints about
	// 1.5 s after its process has ended.
	maxUnreachable = 1500 * time.Millisecond
	// minFailures is the number of failed connections in a row after which an endpoint
	// counts as unreachable. After a single one, which may be a lost packet, requests wait
	// for it.
	minFailures = 3
)

type (
	// Limits has the limits of a service's endpoints. It is not safe for concurrent use.
	// See New.
	Limits struct {
		minClosed, maxClosed time.Duration
		endpoints            map[string]*state
	}

	// Option configures Limits in New.
	Option func(*Limits)

	state struct {
		// start is the greatest limit, limit the present one but for closedUntil.
		start, limit int
		// successes counts towards the next increase of the limit.
		successes   int
		closedUntil time.Time
		// failures counts the connections in a row that could not be made.
		failures int
	}
)

// New returns the limits of a service without endpoints.
//
//	l := window.New()
//	l.Put("desk-0/1700000000", 12)
//	free := l.Limit("desk-0/1700000000", now) - running
func New(opts ...Option) *Limits {
	l := &Limits{minClosed: defaultMinClosed, maxClosed: defaultMaxClosed, endpoints: make(map[string]*state)}
	for _, opt := range opts {
		opt(l)
	}
	return l
}

// WithClosedTime bounds the time for which an endpoint gets no request that refused one
// while it had no other of this entry. The default is 20 ms to 500 ms.
func WithClosedTime(shortest, longest time.Duration) Option {
	return func(l *Limits) { l.minClosed, l.maxClosed = shortest, longest }
}

// Put sets the greatest limit of an endpoint; a new endpoint starts with it.
func (l *Limits) Put(id string, start int) {
	s, ok := l.endpoints[id]
	switch {
	case !ok:
		l.endpoints[id] = &state{start: start, limit: start}
	case s.start != start:
		s.start, s.limit = start, max(1, s.limit+start-s.start)
		s.limit = min(s.limit, start)
	}
}

// Retain drops the endpoints for which keep returns false.
func (l *Limits) Retain(keep func(id string) bool) {
	for id := range l.endpoints {
		if !keep(id) {
			delete(l.endpoints, id)
		}
	}
}

// Limit returns how many requests this entry may have at the endpoint at once: 0 if it is
// unknown.
func (l *Limits) Limit(id string, now time.Time) int {
	s, ok := l.endpoints[id]
	if !ok || now.Before(s.closedUntil) {
		return 0
	}
	return s.limit
}

// Unreachable reports whether the endpoint gets no request now because several connections
// to it in a row could not be made.
func (l *Limits) Unreachable(id string, now time.Time) bool {
	s, ok := l.endpoints[id]
	return ok && s.failures >= minFailures && now.Before(s.closedUntil)
}

// NextOpening returns when the next endpoint that gets no request now gets one again. ok
// is false if there is none.
func (l *Limits) NextOpening(now time.Time) (at time.Time, ok bool) {
	for _, s := range l.endpoints {
		if now.Before(s.closedUntil) && (!ok || s.closedUntil.Before(at)) {
			at, ok = s.closedUntil, true
		}
	}
	return at, ok
}

// Succeeded records that the endpoint has answered a request. Each time as many have
// succeeded as it may have at once, it may have one more.
func (l *Limits) Succeeded(id string) {
	s, ok := l.endpoints[id]
	if !ok {
		return
	}
	s.failures = 0
	if s.limit >= s.start {
		return
	}
	s.successes++
	if s.successes >= s.limit {
		s.limit, s.successes = s.limit+1, 0
	}
}

// Refused records that the endpoint was full while running other requests of this entry
// were there. serviceTime is how long a request takes, after which a slot should be free.
func (l *Limits) Refused(id string, running int, serviceTime time.Duration, now time.Time) {
	s, ok := l.endpoints[id]
	if !ok {
		return
	}
	s.successes, s.failures = 0, 0
	s.limit = max(1, min(s.limit, (running+1)/2))
	if running == 0 {
		s.close(min(max(serviceTime, l.minClosed), l.maxClosed), now)
	}
}

// Failed records that no connection to the endpoint could be made. It gets no request for
// a time that doubles with each failure in a row, and then one.
func (l *Limits) Failed(id string, now time.Time) {
	s, ok := l.endpoints[id]
	if !ok || now.Before(s.closedUntil) {
		return // requests that were sent together fail together
	}
	d := maxUnreachable
	if doubled := float64(l.minClosed) * math.Pow(2, float64(s.failures)); doubled < float64(d) {
		d = time.Duration(doubled)
	}
	s.limit, s.successes = 1, 0
	s.failures++
	s.close(d, now)
}

func (s *state) close(d time.Duration, now time.Time) {
	if until := now.Add(d); until.After(s.closedUntil) {
		s.closedUntil = until
	}
}
