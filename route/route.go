// Package route is the load balancer of an entry: it chooses the endpoint for
// each request.
//
// Each of several hundred entries knows the load of its endpoints only from their
// last replies, which are seconds old. An entry that sends to the endpoint with
// the lowest reported load sends everything there until the next reply; with
// random choice, some endpoint always has a queue while another is idle. The
// entry therefore adds the requests it has sent since the last reply to the
// reported load and takes the endpoint with the least. With that count, power of
// two choices and reports that lose weight with age bring no improvement, and
// neither is used.
//
// Requests with a common prefix go to the endpoint that has it in its cache, by
// rendezvous hashing with bounded loads: without the bound, one popular prefix
// fills one endpoint while the others are idle.
//
// The entry prefers its own data centre, uses the others of its region when its
// own is full, and another region only when its own region has no endpoint at
// all.
package route

import (
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"github.com/lavendermux/lavendermux/eject"
	"github.com/lavendermux/lavendermux/fault"
	"github.com/lavendermux/lavendermux/wire"
)

const (
	defaultBound = 1.5

	// fullLoad is the load at which every slot of an endpoint is taken.
	fullLoad = 1.0

	// drainingTTL is how long an endpoint's own report that it drains counts. Each
	// hub hears a sidecar every 6 seconds, so by then heartbeats carry the same.
	drainingTTL = 6 * time.Second
)

type (
	// Router tracks the load of the endpoints of one entry. It is not safe for
	// concurrent use.
	Router struct {
		dataCentre string
		region     string
		eject      *eject.Detector
		loadBound  float64
		endpoints  map[string]*loadState
		tiers      [tierCount][]candidate
		result     [2]string
	}

	// loadState is the last load that an endpoint reported.
	loadState struct {
		hash     uint64
		hasLoad  bool
		load     float64
		slots    float64
		pending  float64
		draining bool
		// drainingSince is when Pick first found draining set; zero before.
		drainingSince time.Time
	}

	// candidate is an endpoint considered by Pick.
	candidate struct {
		id   string
		hash uint64
		load float64
	}
)

// New returns a load balancer without endpoints.
//
//	r := route.New()
//	ids := r.Pick(endpoints, prefixKey, rng, now)
func New(opts ...Option) *Router {
	r := &Router{
		loadBound: defaultBound,
		endpoints: map[string]*loadState{},
	}
	for _, opt := range opts {
		opt(r)
	}
	if r.eject == nil {
		r.eject = eject.New()
	}
	return r
}

// UpdateLoad records the load that a sidecar reported, with accepted work or in a
// heartbeat. A nil load ends a request that Sent counted and that brought none.
func (r *Router) UpdateLoad(id string, load *wire.DoorLoad) {
	s := r.stateOf(id)
	if load == nil {
		// A request that ended without a reply is no longer in flight. If it still
		// counted, an endpoint without a reply, for instance because the caller
		// disconnected, would look busier than the others and get no work that could
		// correct this.
		s.pending = max(0, s.pending-1)
		return
	}
	s.hasLoad = true
	s.pending = 0
	s.draining = load.Draining
	s.drainingSince = time.Time{}
	s.slots = float64(max(load.Slots, 1))
	s.load = float64(load.Running+load.Waiting) / s.slots
}

// Observe records the end of a request that Sent counted: the load on its reply,
// nil without one, and the error, nil on success. A *fault.NotRunError that came
// with a load is a refusal and not a failure.
func (r *Router) Observe(id string, load *wire.DoorLoad, err error, now time.Time) {
	r.UpdateLoad(id, load)
	r.eject.Observe(id, err != nil && (load == nil || !isRefusal(err)), now)
}

// isRefusal is a separate function so that a success does not allocate.
func isRefusal(err error) bool {
	var notRun *fault.NotRunError
	return errors.As(err, &notRun)
}

// Sent counts a request sent to the endpoint.
func (r *Router) Sent(id string, now time.Time) {
	r.stateOf(id).pending++
	r.eject.RecordPick(id, now)
}

// Forget removes an endpoint that has left.
func (r *Router) Forget(id string) {
	delete(r.endpoints, id)
	r.eject.Forget(id)
}

// Pick returns the endpoint to try first and, if there is another, the one to try
// after a refusal. candidates are the endpoints of the service; Pick skips those
// that are draining, gone or not ready. prefixKey is a hash of the prompt's
// prefix, 0 for none. The result is valid until the next Pick; it is empty when
// no candidate is left.
func (r *Router) Pick(candidates []*wire.EndpointState, prefixKey uint64, rng *rand.Rand, now time.Time) []string {
	r.buildTiers(candidates, now)
	picked := r.result[:0]
	for len(picked) < len(r.result) {
		id, ok := r.pickOne(prefixKey, rng)
		if !ok {
			break
		}
		picked = append(picked, id)
	}
	return picked
}

func (r *Router) stateOf(id string) *loadState {
	s, ok := r.endpoints[id]
	if !ok {
		s = &loadState{hash: xxhash.Sum64String(id), slots: 1}
		r.endpoints[id] = s
	}
	return s
}
