// Package eject detects outliers: it ejects failing endpoints and lets them back
// in after a successful probe.
//
// It guards against one endpoint of many that fails each request at once, or is
// so slow that its requests miss their deadline, which is a failure too. A
// least-loaded balancer prefers the endpoint that fails fast, since it is always
// idle: with one of ten failing, 87% of the requests were answered in time
// without ejection, and 99% with it.
//
// A fault that all endpoints seem to share, such as a network that loses packets
// or a caller whose requests always fail, must not eject all of them. When all
// are ejected, all are allowed. A limit on the share of ejected endpoints is off
// by default: a small one leaves failing endpoints in use, a large one
// concentrates the whole load on the few that remain.
//
// There is no ejection by relative latency: slow endpoints show in the load that
// their sidecars report and in the deadlines that they miss. See
// docs/measured/load.md for figures.
//
// When the ejection time of an endpoint is over, it is probed with one request at
// a time; the ejection time doubles with each probe that fails.
package eject

import "time"

const (
	defaultMaxShare = 1
	// An endpoint that fails 1% of its requests for reasons of the requests fails
	// three in a row once in a million. Limits from one to five differ by less than
	// the spread of ten simulation seeds.
	defaultMaxFailures = 3
	// While an endpoint is ejected, each entry loses at most one request to it per
	// ejection time. 1, 2 and 8 s make no difference; 2 s is less than the three
	// seconds after which a heartbeat tells more.
	defaultBaseDuration = 2 * time.Second
	defaultMaxDuration  = 60 * time.Second
)

type (
	// Detector tracks the health of the endpoints of one entry. It is not safe for
	// concurrent use.
	Detector struct {
		maxShare     float64
		maxFailures  int
		baseDuration time.Duration
		maxDuration  time.Duration
		endpoints    map[string]*health
		// ejected counts the ejected endpoints.
		ejected int
	}

	health struct {
		// failures counts the failures since the last success.
		failures     int
		ejected      bool
		ejectedUntil time.Time
		duration     time.Duration
		probing      bool
		probedAt     time.Time
	}
)

// New returns an outlier detector without endpoints.
//
//	e := eject.New()
//	e.Observe("worker-3", err != nil, now)
func New(opts ...Option) *Detector {
	e := &Detector{
		maxShare:     defaultMaxShare,
		maxFailures:  defaultMaxFailures,
		baseDuration: defaultBaseDuration,
		maxDuration:  defaultMaxDuration,
		endpoints:    map[string]*health{},
	}
	for _, opt := range opts {
		opt(e)
	}
	return e
}

// Observe records the end of a request. A refusal by the sidecar is not a
// failure.
func (e *Detector) Observe(id string, failed bool, now time.Time) {
	h, ok := e.endpoints[id]
	if !ok {
		h = &health{}
		e.endpoints[id] = h
	}
	probe := h.probing
	h.probing = false
	if failed {
		h.failures++
		if probe || h.failures >= e.maxFailures {
			e.eject(h, now)
		}
		return
	}
	h.failures = 0
	// Requests sent before the ejection may still succeed; only a probe shows the
	// present state.
	if h.ejected && probe {
		h.ejected = false
		h.duration = 0
		e.ejected--
	}
}

// Allowed reports whether the endpoint may be picked now: it is not ejected, or
// it is due for a probe, or all endpoints are ejected.
func (e *Detector) Allowed(id string, now time.Time) bool {
	h, ok := e.endpoints[id]
	if !ok || !h.ejected || e.ejected == len(e.endpoints) {
		return true
	}
	// A probe whose end was never observed must not keep the endpoint out forever.
	if h.probing && now.Sub(h.probedAt) < e.maxDuration {
		return false
	}
	return !now.Before(h.ejectedUntil)
}

// RecordPick records a request to the endpoint. If the endpoint is ejected, the
// request is its probe, and Allowed returns false until it ends.
func (e *Detector) RecordPick(id string, now time.Time) {
	h, ok := e.endpoints[id]
	if ok && h.ejected {
		h.probing = true
		h.probedAt = now
	}
}

// Ejected reports whether the endpoint is ejected.
func (e *Detector) Ejected(id string) bool {
	h, ok := e.endpoints[id]
	return ok && h.ejected
}

// Forget removes an endpoint that has left.
func (e *Detector) Forget(id string) {
	if h, ok := e.endpoints[id]; ok && h.ejected {
		e.ejected--
	}
	delete(e.endpoints, id)
}

func (e *Detector) eject(h *health, now time.Time) {
	if h.ejected {
		h.duration = min(h.duration*2, e.maxDuration)
		h.ejectedUntil = now.Add(h.duration)
		return
	}
	if float64(e.ejected+1) > e.maxShare*float64(len(e.endpoints)) {
		return
	}
	e.ejected++
	h.ejected = true
	h.duration = e.baseDuration
	h.ejectedUntil = now.Add(h.duration)
}
