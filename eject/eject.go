// Package eject sets slow or failing endpoints aside, and probes them back in.
//
// The load it answers: one endpoint of many fails each request at once, or takes
// many times as long as its peers. A router that prefers the least loaded
// endpoint prefers just the one that fails fast, since it is always idle; and a
// slow one holds every request that was sent to it past the deadline. Without a
// bound on the share that is set aside, a fault that all endpoints share, such
// as a network that loses packets or a bad request, would set all of them
// aside, and the load would fall on the last ones.
//
// An endpoint that was set aside is probed with one request at a time when its
// rest is over; the rest doubles with each probe that fails.
package eject

import (
	"slices"
	"time"
)

const (
	defaultShare    = 0.34
	defaultFailures = 3
	defaultSlow     = 3
	defaultFirst    = 2 * time.Second
	defaultMost     = 60 * time.Second

	// weight of the newest latency in the mean: about the last eight count.
	weight = 0.125
	// Fewer latencies than this don't make an endpoint slow.
	minSeen = 8
	// A median needs company: of two endpoints nobody can say which is slow.
	minPeers = 3
)

type (
	// Eject is what one entry knows of the health of its endpoints. It isn't
	// safe for concurrent use.
	Eject struct {
		share    float64
		failures int
		slow     float64
		first    time.Duration
		most     time.Duration
		known    map[string]*health
		aside    int
		scratch  []float64
		median   float64
		stale    int
	}

	health struct {
		row     int
		latency float64
		seen    int
		aside   bool
		until   time.Time
		rest    time.Duration
		probing bool
		probed  time.Time
	}
)

// New returns an Eject that knows no endpoint.
//
//	e := eject.New()
//	e.Observe("worker-3", latency, false, now)
func New(opts ...Option) *Eject {
	e := &Eject{
		share:    defaultShare,
		failures: defaultFailures,
		slow:     defaultSlow,
		first:    defaultFirst,
		most:     defaultMost,
		known:    map[string]*health{},
	}
	for _, opt := range opts {
		opt(e)
	}
	return e
}

// Observe learns the end of one request: how long it took, for each unit of work
// where units differ in length, and whether the endpoint failed it. A refusal is
// no failure, and its latency is not to be given: pass 0.
func (e *Eject) Observe(id string, latency time.Duration, failed bool, now time.Time) {
	h := e.get(id)
	probe := h.probing
	h.probing = false
	if failed {
		h.row++
		if probe || h.row >= e.failures {
			e.setAside(h, now)
		}
		return
	}
	h.row = 0
	e.learn(h, latency)
	if h.aside {
		if probe {
			e.takeBack(h)
		}
		return
	}
	if e.isSlow(h) {
		e.setAside(h, now)
	}
}

// Allowed reports whether the endpoint may be chosen now: it isn't set aside, or
// it is due for a probe.
func (e *Eject) Allowed(id string, now time.Time) bool {
	h, ok := e.known[id]
	if !ok || !h.aside {
		return true
	}
	// A probe whose end was never seen must not keep the endpoint out for ever.
	if h.probing && now.Sub(h.probed) < e.most {
		return false
	}
	return !now.Before(h.until)
}

// Chosen counts a request to the endpoint; to one that is set aside it is the
// probe, and Allowed is false until its end.
func (e *Eject) Chosen(id string, now time.Time) {
	h, ok := e.known[id]
	if ok && h.aside {
		h.probing = true
		h.probed = now
	}
}

// Aside reports whether the endpoint is set aside.
func (e *Eject) Aside(id string) bool {
	h, ok := e.known[id]
	return ok && h.aside
}

// Forget drops an endpoint that has left.
func (e *Eject) Forget(id string) {
	if h, ok := e.known[id]; ok {
		if h.aside {
			e.aside--
		}
		delete(e.known, id)
	}
}

func (e *Eject) get(id string) *health {
	h, ok := e.known[id]
	if !ok {
		h = &health{}
		e.known[id] = h
	}
	return h
}

func (e *Eject) setAside(h *health, now time.Time) {
	if !h.aside {
		if float64(e.aside+1) > e.share*float64(len(e.known)) {
			return
		}
		e.aside++
		h.aside = true
		h.rest = max(h.rest, e.first)
	} else {
		h.rest = min(h.rest*2, e.most)
	}
	h.until = now.Add(h.rest)
}

func (e *Eject) takeBack(h *health) {
	e.aside--
	h.aside = false
	h.row = 0
	h.seen = 0
	h.rest = 0
}

func (e *Eject) learn(h *health, latency time.Duration) {
	if latency <= 0 {
		return
	}
	e.stale++
	h.seen++
	if h.seen == 1 {
		h.latency = latency.Seconds()
		return
	}
	h.latency += weight * (latency.Seconds() - h.latency)
}

func (e *Eject) isSlow(h *health) bool {
	if h.seen < minSeen {
		return false
	}
	return h.latency > e.slow*e.middle()
}

// middle is the median latency of the endpoints, computed anew when as many
// latencies have come as there are endpoints.
func (e *Eject) middle() float64 {
	if e.median > 0 && e.stale < len(e.known) {
		return e.median
	}
	e.scratch = e.scratch[:0]
	for _, h := range e.known {
		if h.seen > 0 {
			e.scratch = append(e.scratch, h.latency)
		}
	}
	e.stale = 0
	e.median = 0
	if len(e.scratch) >= minPeers {
		slices.Sort(e.scratch)
		e.median = e.scratch[len(e.scratch)/2]
	}
	if e.median == 0 {
		return e.latencyBound()
	}
	return e.median
}

// latencyBound stands for the median while there is none: nothing is slow.
func (e *Eject) latencyBound() float64 {
	return time.Hour.Seconds()
}
