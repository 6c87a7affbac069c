package route

import (
	"math"
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
		if c.Draining || c.Gone || !c.Ready || s.draining {
			continue
		}
		t := r.tier(c)
		if !r.eject.Allowed(c.Instance, now) {
			t = tierAside
		}
		r.tiers[t] = append(r.tiers[t], option{
			id:   c.Instance,
			hash: s.hash,
			load: r.expected(s, mean, now),
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
		if s := r.get(c.Instance); !math.IsNaN(s.load) {
			sum += s.load
			n++
		}
	}
	if n == 0 {
		return 0
	}
	return sum / float64(n)
}

// expected is the load of an endpoint now: what it reported, drawn towards the
// mean with age, and what was sent there since.
func (r *Route) expected(s *state, mean float64, now time.Time) float64 {
	load := mean
	if !math.IsNaN(s.load) {
		trust := math.Exp(-now.Sub(s.at).Seconds() / r.memory.Seconds())
		load += (s.load - mean) * trust
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
	best := rng.IntN(len(tier))
	for range r.choices - 1 {
		if i := rng.IntN(len(tier)); tier[i].load < tier[best].load {
			best = i
		}
	}
	return best, true
}

// home returns the first of the prefix's homes whose load is within the bound.
func (r *Route) home(tier []option, prefixKey uint64) (int, bool) {
	mean := 0.0
	for _, o := range tier {
		mean += o.load
	}
	mean /= float64(len(tier))
	limit := min(max(mean*r.bound, idle), full)
	tried := uint64(math.MaxUint64)
	for range homes {
		best, score := -1, uint64(0)
		for i, o := range tier {
			if s := mix(o.hash ^ prefixKey); s < tried && s >= score {
				best, score = i, s
			}
		}
		if best < 0 {
			return 0, false
		}
		if tier[best].load <= limit {
			return best, true
		}
		tried = score
	}
	return 0, false
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
