// Package manif defines the manifest, the routing configuration: which routes exist,
// which services handle them, and limits on requests.
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
	// AtMostOnce requests run at most once.
	AtMostOnce Kind = "once"
	// Stream requests are answered by a stream of events.
	Stream Kind = "stream"
	// Batch requests submit many items for asynchronous execution.
	Batch Kind = "batch"
)

type (
	// Kind determines how often a request may run and the form of its response.
	Kind string

	// Manifest is one version of the whole configuration. It is immutable once decoded
	// and safe for concurrent use.
	Manifest struct {
		// Version increases with each manifest, not necessarily by one.
		Version  int64
		Routes   []Route
		Services map[string]Service
		Limits   Limits
		// Keys are the customers' API keys; nil if callers need none.
		Keys *apikey.Index
		// Priorities has the priority of the requests of each customer that has one, in
		// place of that of the route.
		Priorities map[string]int
	}

	// Route describes the requests with one host and path prefix.
	Route struct {
		Name string
		Host string
		// Prefix begins and ends with a slash.
		Prefix string
		Kind   Kind
		// Public routes need no key.
		Public bool
		// Timeout bounds the time until a caller gets its response; 0 means no limit.
		Timeout time.Duration
		// Target is the latency objective.
		Target time.Duration
		// Priority orders requests; 0 is the highest priority.
		Priority int
		// Split divides traffic between services by weight; at least one entry, no negative
		// weights.
		Split []WeightedService
		// MaxAttempts bounds the attempts of a request; at least 1.
		MaxAttempts int
		// Resumable streams may continue at another endpoint.
		Resumable bool
		// SingleVersion requires all tokens of a sample to come from one weight version.
		SingleVersion bool
		// ResultDue is the deadline of a batch, from its submission.
		ResultDue time.Duration
		// MaxQueue is the queue time after which an item may expire.
		MaxQueue time.Duration
	}

	// WeightedService is the weight of a service in the traffic of a route.
	WeightedService struct {
		Service string
		Weight  float64
	}

	// Service is a set of interchangeable endpoints.
	Service struct {
		Name     string
		MaxConns int
		Models   []string
		Slots    int
		// Stride is the number of tokens per event of a stream; 0 means unknown.
		Stride int
		// Scaling bounds the number of endpoints; nil if the system does not scale the
		// service.
		Scaling *scaler.Limits
	}

	// Limits bounds requests and connections of callers.
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
//	service := r.PickService(requestID)
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

// Priority returns the priority of a customer's requests on a route; 0 is the highest.
func (m *Manifest) Priority(r *Route, customer string) int {
	if p, ok := m.Priorities[customer]; ok {
		return p
	}
	return r.Priority
}

// PublicBatch reports whether a host accepts batches without a key, in which case reading
// them needs none either.
func (m *Manifest) PublicBatch(host string) bool {
	return slices.ContainsFunc(m.Routes, func(r Route) bool { return r.Host == host && r.Kind == Batch && r.Public })
}

// NeedsSingleVersion reports whether a route requires that each sample of a model comes from a
// single weight version. A service that declares no models may serve any.
func (m *Manifest) NeedsSingleVersion(model string) bool {
	for i := range m.Routes {
		r := &m.Routes[i]
		if !r.SingleVersion {
			continue
		}
		for _, split := range r.Split {
			if models := m.Services[split.Service].Models; len(models) == 0 || slices.Contains(models, model) {
				return true
			}
		}
	}
	return false
}

// PickService selects the service for a request by hashing its ID, so that a retry stays with
// the same service.
func (r *Route) PickService(requestID string) string {
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

// IsRepeatable reports whether a request of the route may be retried after it may have run.
func (r *Route) IsRepeatable() bool {
	return r.Kind == Idempotent || (r.Kind == Stream && r.Resumable)
}
