package route

import (
	"math/rand/v2"
	"time"

	"github.com/lavendermux/lavendermux/wire"
)

// The tiers of candidates, nearest first. Endpoints that are set aside come
// last: they are better than no answer at all.
const (
	tierOwn = iota
	tierRegion
	tierFar
	tierAside
	tierCount
)

// sort puts the candidates into their tiers, with the load that is expected of
// each now.
func (r *Route) sort(candidates []*wire.EndpointState, now time.Time) {
	for i := range r.tiers {
		r.tiers[i] = r.tiers[i][:0]
	}
	mean := r.mean(candidates)
	for _, c := range candidates {
		s := r.get(c.Instance)
		if c.Draining || c.Gone || !c.Ready || s.drains(now) {
			continue
		}
		t := r.tier(c)
		if !r.eject.Allowed(c.Instance, now) {
			t = tierAside
		}
		r.tiers[t] = append(r.tiers[t], option{
			id:   c.Instance,
			hash: s.hash,
			load: r.expected(s, mean),
		})
	}
}

func (r *Route) tier(c *wire.EndpointState) int {
	switch {
	case r.dataCentre == "" || c.DataCentre == r.dataCentre:
		return tierOwn
	case c.Region == r.region:
		return tierRegion
	default:
		return tierFar
	}
}

// mean is the mean of the reported loads, 0 when there are none.
func (r *Route) mean(candidates []*wire.EndpointState) float64 {
	sum, n := 0.0, 0
	for _, c := range candidates {
		if s := r.get(c.Instance); s.known {
			sum += s.load
			n++
		}
	}
	return sum / float64(max(n, 1))
}

// expected is the load of an endpoint now: what it reported, or the mean of the
// others if it has reported nothing, and what was sent there since.
func (r *Route) expected(s *state, mean float64) float64 {
	load := mean
	if s.known {
		load = s.load
	}
	return load + s.pending/s.slots
}

// one takes one endpoint out of the tiers. A farther tier is asked only when
// the nearer ones are empty or, within the region, full.
func (r *Route) one(prefixKey uint64, rng *rand.Rand) (id string, ok bool) {
	own, hasOwn := r.choose(tierOwn, prefixKey, rng)
	if hasOwn && r.tiers[tierOwn][own].load < full {
		return r.take(tierOwn, own), true
	}
	near, hasNear := r.choose(tierRegion, prefixKey, rng)
	switch {
	case hasOwn && hasNear && r.tiers[tierRegion][near].load < r.tiers[tierOwn][own].load:
		return r.take(tierRegion, near), true
	case hasOwn:
		return r.take(tierOwn, own), true
	case hasNear:
		return r.take(tierRegion, near), true
	}
	for t := tierFar; t < tierCount; t++ {
		if i, has := r.choose(t, prefixKey, rng); has {
			return r.take(t, i), true
		}
	}
	return "", false
}

func (r *Route) take(t, i int) string {
	tier := r.tiers[t]
	id := tier[i].id
	last := len(tier) - 1
	tier[i] = tier[last]
	r.tiers[t] = tier[:last]
	return id
}

// choose returns the index of the endpoint to take from a tier.
func (r *Route) choose(t int, prefixKey uint64, rng *rand.Rand) (int, bool) {
	tier := r.tiers[t]
	if len(tier) == 0 {
		return 0, false
	}
	if prefixKey != 0 {
		if i, ok := r.home(tier, prefixKey); ok {
			return i, true
		}
	}
	// Ties are broken by chance: entries that know nothing would otherwise all
	// begin with the same endpoint.
	first := rng.IntN(len(tier))
	best := first
	for i := 1; i < len(tier); i++ {
		next := (first + i) % len(tier)
		if tier[next].load < tier[best].load {
			best = next
		}
	}
	return best, true
}

// home returns the prefix's home, the first endpoint in rendezvous order, unless
// it is loaded beyond the bound.
func (r *Route) home(tier []option, prefixKey uint64) (int, bool) {
	mean := 0.0
	best, score := 0, uint64(0)
	for i, o := range tier {
		mean += o.load
		if s := mix(o.hash ^ prefixKey); s >= score {
			best, score = i, s
		}
	}
	mean /= float64(len(tier))
	return best, tier[best].load <= r.bound*max(mean, idle)
}

// idle is the load below which an endpoint keeps its prefixes whatever the mean
// is: with a mean near 0 the bound would turn away the first request.
const idle = 0.5

// mix spreads the bits of x (the finalizer of MurmurHash3), so that the xor of
// two hashes ranks endpoints independently for each prefix.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	x ^= x >> 33
	return x
}

// drains reports whether the endpoint said lately that it is leaving. That word
// counts until heartbeats carry it, and no longer: a door that stops and is back
// under the same name before a heartbeat told of it would else be passed over
// for ever, and after a rolling release this entry would find no endpoint at
// all. One that does leave refuses at worst one more request, which then goes
// elsewhere.
func (s *state) drains(now time.Time) bool {
	if !s.draining {
		return false
	}
	if s.refusedAt.IsZero() {
		s.refusedAt = now
	}
	if now.Sub(s.refusedAt) >= trustRefusal {
		s.draining = false
	}
	return s.draining
}
