// Package route chooses the door that an entry sends work to.
//
// The load it answers: each of several hundred entries knows its endpoints only
// by the load on their last replies, which is seconds old. An entry that sends to
// the endpoint that looked least loaded sends everything there until the next
// reply; at random, some endpoint always has a queue while another is idle. The
// entry therefore adds what it has sent since the last reply to what the reply
// said, and takes the least loaded. Power of two choices and a trust in old
// reports that fades were measured and left out: with the entry's own sends
// counted, neither brings anything.
//
// Work with a common prefix goes to the endpoint that has it in its cache, by
// rendezvous hashing, unless that endpoint is loaded beyond a bound: without
// the bound one popular prefix fills one endpoint while the others are idle.
//
// The entry's own data centre goes first, the others of its region when its own
// is full, another region only when its own has no endpoint at all.
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

	// full is the load at which every slot of an endpoint is taken.
	full = 1.0

	// trustRefusal is how long an endpoint's word that it drains counts. Each hub
	// hears a door every 6 seconds, so by then heartbeats tell the same.
	trustRefusal = 6 * time.Second
)

type (
	// Route is what one entry knows of the load of its endpoints. It isn't safe
	// for concurrent use.
	Route struct {
		dataCentre string
		region     string
		eject      *eject.Eject
		bound      float64
		known      map[string]*state
		tiers      [tierCount][]option
		result     [2]string
	}

	// state is the last load that an endpoint reported.
	state struct {
		hash     uint64
		known    bool
		load     float64
		slots    float64
		pending  float64
		draining bool
		// refusedAt is when Pick first met draining; zero before.
		refusedAt time.Time
	}

	// option is one candidate of a Pick.
	option struct {
		id   string
		hash uint64
		load float64
	}
)

// New returns a Route that knows no endpoint.
//
//	r := route.New(route.WithPlace("tln-a", "ee-north"))
//	ids := r.Pick(endpoints, prefixKey, rng, now)
func New(opts ...Option) *Route {
	r := &Route{
		bound: defaultBound,
		known: map[string]*state{},
	}
	for _, opt := range opts {
		opt(r)
	}
	if r.eject == nil {
		r.eject = eject.New()
	}
	return r
}

// Learn takes in the load that a door reported, as when it accepted work or in a
// heartbeat. Nil ends a request that Sent counted and that brought no load.
func (r *Route) Learn(id string, load *wire.DoorLoad) {
	s := r.get(id)
	if load == nil {
		// A request that ends without a reply is no longer on its way. If it were
		// counted on, a door that brought none, as when its caller hung up, would
		// look busier than all others and get no work that could correct this.
		s.pending = max(0, s.pending-1)
		return
	}
	s.known = true
	s.pending = 0
	s.draining = load.Draining
	s.refusedAt = time.Time{}
	s.slots = float64(max(load.Slots, 1))
	s.load = float64(load.Running+load.Waiting) / s.slots
}

// Observe takes in the end of one request that Sent counted: the load on its
// reply, nil when there was none, and the error, nil when it succeeded. A
// *fault.NotRunError that came with a load is a refusal and no failure.
func (r *Route) Observe(id string, load *wire.DoorLoad, err error, now time.Time) {
	r.Learn(id, load)
	r.eject.Observe(id, err != nil && (load == nil || !refused(err)), now)
}

// refused is a function of its own so that a success costs no allocation.
func refused(err error) bool {
	var notRun *fault.NotRunError
	return errors.As(err, &notRun)
}

// Sent counts one request sent to the endpoint.
func (r *Route) Sent(id string, now time.Time) {
	r.get(id).pending++
	r.eject.Chosen(id, now)
}

// Forget drops what is known of an endpoint that has left.
func (r *Route) Forget(id string) {
	delete(r.known, id)
	r.eject.Forget(id)
}

// Pick returns the endpoint to try first and, when there is another, the one to
// try after a refusal. Candidates are the endpoints of the service that the
// entry talks to; those draining, gone or not ready are passed over. PrefixKey
// is a hash of the prompt's prefix, 0 for none. The result is valid until the
// next Pick; it is empty when no candidate is left.
func (r *Route) Pick(candidates []*wire.EndpointState, prefixKey uint64, rng *rand.Rand, now time.Time) []string {
	r.sort(candidates, now)
	picked := r.result[:0]
	for len(picked) < len(r.result) {
		id, ok := r.one(prefixKey, rng)
		if !ok {
			break
		}
		picked = append(picked, id)
	}
	return picked
}

func (r *Route) get(id string) *state {
	s, ok := r.known[id]
	if !ok {
		s = &state{hash: xxhash.Sum64String(id), slots: 1}
		r.known[id] = s
	}
	return s
}
