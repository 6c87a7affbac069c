// Package eject sets failing endpoints aside, and probes them back in.
//
// The load it answers: one endpoint of many fails each request at once, or is so
// slow that its requests miss their deadline, which is a failure too. A router
// that prefers the least loaded endpoint prefers just the one that fails fast,
// since it is always idle: with one of ten failing, 87% of the requests were
// answered in time without this package, and 99% with it.
//
// A fault that all endpoints seem to share, such as a network that loses packets
// or a caller whose requests always fail, must not set all of them aside. When
// all are set aside, none is. A bound on the share that is set aside was measured
// and is off by default: a small one leaves failing endpoints in use, a great one
// brings the whole load to the few that are left.
//
// A relative bound on latency was measured too and is left out: what is slow
// shows in the load that its door reports and in the deadlines that it misses.
// Figures are in docs/measured/load.md.
//
// An endpoint that was set aside is probed with one request at a time when its
// rest is over; the rest doubles with each probe that fails.
package eject

import "time"

const (
	defaultShare = 1
	// An endpoint that fails one request of a hundred for the requests' own
	// faults fails three in a row once in a million. One to five made no
	// difference that the spread of ten seeds doesn't cover.
	defaultFailures = 3
	// While an endpoint is set aside, each entry loses at most one request to it
	// for each rest. Rests of 1, 2 and 8 s made no difference; 2 s is less than
	// the three seconds after which a heartbeat tells more.
	defaultFirst = 2 * time.Second
	defaultMost  = 60 * time.Second
)

type (
	// Eject is what one entry knows of the health of its endpoints. It isn't
	// safe for concurrent use.
	Eject struct {
		share    float64
		failures int
		first    time.Duration
		most     time.Duration
		known    map[string]*health
		aside    int
	}

	health struct {
		// row counts the failures since the last success.
		row     int
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
//	e.Observe("worker-3", err != nil, now)
func New(opts ...Option) *Eject {
	e := &Eject{
		share:    defaultShare,
		failures: defaultFailures,
		first:    defaultFirst,
		most:     defaultMost,
		known:    map[string]*health{},
	}
	for _, opt := range opts {
		opt(e)
	}
	return e
}

// Observe learns the end of one request. A refusal by the door is no failure.
func (e *Eject) Observe(id string, failed bool, now time.Time) {
	h, ok := e.known[id]
	if !ok {
		h = &health{}
		e.known[id] = h
	}
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
	// Work that was sent before the endpoint was set aside may still end well;
	// only a probe tells how it is now.
	if h.aside && probe {
		h.aside = false
		h.rest = 0
		e.aside--
	}
}

// Allowed reports whether the endpoint may be chosen now: it isn't set aside, or
// it is due for a probe, or all are set aside.
func (e *Eject) Allowed(id string, now time.Time) bool {
	h, ok := e.known[id]
	if !ok || !h.aside || e.aside == len(e.known) {
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
	if h, ok := e.known[id]; ok && h.aside {
		e.aside--
	}
	delete(e.known, id)
}

func (e *Eject) setAside(h *health, now time.Time) {
	if h.aside {
		h.rest = min(h.rest*2, e.most)
		h.until = now.Add(h.rest)
		return
	}
	if float64(e.aside+1) > e.share*float64(len(e.known)) {
		return
	}
	e.aside++
	h.aside = true
	h.rest = e.first
	h.until = now.Add(h.rest)
}
