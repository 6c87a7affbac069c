// Package manif holds the manifest in force: which requests exist, which service
// answers each, and what callers may send.
package manif

import (
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/lavendermux/lavendermux/apikey"
	"github.com/lavendermux/lavendermux/scaler"
)

const (
	// Idempotent requests may run more than once.
	Idempotent Kind = "idempotent"
	// Once marks requests that run at most once.
	Once Kind = "once"
	// Stream marks requests that are answered by a series of events.
	Stream Kind = "stream"
	// Batch marks submissions of many items that are run later.
	Batch Kind = "batch"
)

type (
	// Kind says how often a request may run and what its answer looks like.
	Kind string

	// Manifest is one version of the whole configuration. It isn't changed once
	// it has been decoded, so that it may be shared.
	Manifest struct {
		// Version grows with each manifest, in uneven steps.
		Version  int64
		Routes   []Route
		Services map[string]Service
		Limits   Limits
		// Keys are those of the customers; nil where callers need none.
		Keys *apikey.Ring
	}

	// Route is one kind of request.
	Route struct {
		Name string
		Host string
		// Prefix begins and ends with a slash.
		Prefix string
		Kind   Kind
		// Public routes are open to callers without a key.
		Public bool
		// Timeout is the longest that a caller is kept waiting; 0 is no bound.
		Timeout time.Duration
		// Target is the latency objective.
		Target time.Duration
		// Priority is the rank; 0 goes first.
		Priority int
		// Split has at least one entry; its weights are not negative.
		Split []Share
		// MaxAttempts is at least 1.
		MaxAttempts int
		// Resumable streams may go on at another endpoint.
		Resumable bool
		// SingleVersion asks for samples whose tokens come from one version.
		SingleVersion bool
		// ResultDue is when a batch is due after it was submitted.
		ResultDue time.Duration
		// MaxQueue is when an item may be given up.
		MaxQueue time.Duration
	}

	// Share is a service's part of a route.
	Share struct {
		Service string
		Weight  float64
	}

	// Service is a set of endpoints that answer the same requests.
	Service struct {
		Name     string
		MaxConns int
		Models   []string
		Slots    int
		// Stride is the tokens of one event of a stream; 0 is unknown.
		Stride int
		// Scaling bounds how many endpoints may be ordered; nil where their number is not
		// the system's to choose.
		Scaling *scaler.Limits
	}

	// Limits bounds what a caller may send.
	Limits struct {
		HeaderBytes int64
		BodyBytes   int64
		HeaderTime  time.Duration
		IdleTime    time.Duration
	}
)

// Match returns the route of host with the longest prefix of path.
//
//	r, ok := m.Match("ficu95.example", "/lohu930/2f")
//	service := r.Service(requestID)
func (m *Manifest) Match(host, path string) (*Route, bool) {
	var best *Route
	for i := range m.Routes {
		r := &m.Routes[i]
		if r.Host != host || !strings.HasPrefix(path, r.Prefix) {
			continue
		}
		if best == nil || len(r.Prefix) > len(best.Prefix) {
			best = r
		}
	}
	return best, best != nil
}

// PublicBatch reports whether a host takes submissions from callers without a key, who
// then need none to read them either.
func (m *Manifest) PublicBatch(host string) bool {
	return slices.ContainsFunc(m.Routes, func(r Route) bool { return r.Host == host && r.Kind == Batch && r.Public })
}

// Service picks the service for a request. The same request always gets the same
// one, so that an attempt that is sent again stays with its service.
func (r *Route) Service(requestID string) string {
	total := 0.0
	for _, s := range r.Split {
		total += s.Weight
	}
	at := float64(xxhash.Sum64String(requestID)>>11) / (1 << 53) * total
	for _, s := range r.Split {
		if at < s.Weight {
			return s.Service
		}
		at -= s.Weight
	}
	return r.Split[len(r.Split)-1].Service
}

// MayRepeat reports whether a request of the route may run more than once.
func (r *Route) MayRepeat() bool {
	return r.Kind == Idempotent || (r.Kind == Stream && r.Resumable)
}
