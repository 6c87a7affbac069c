package route

import (
	"math/rand/v2"
	"time"

	"github.com/lavendermux/lavendermux/wire"
)

// The tiers of candidates, nearest first. Ejected endpoints come last: they are
// better than no answer at all.
const (
	tierDataCentre = iota
	tierRegion
	tierOther
	tierEjected
	tierCount
)

// buildTiers sorts the candidates into tiers, with the load expected of each now.
func (r *Router) buildTiers(candidates []*wire.EndpointState, now time.Time) {
	for i := range r.tiers {
		r.tiers[i] = r.tiers[i][:0]
	}
	meanLoad := r.meanLoad(candidates)
	for _, c := range candidates {
		s := r.stateOf(c.Instance)
		if c.Draining || c.Gone || !c.Ready || s.isDraining(now) {
			continue
		}
		t := r.tierOf(c)
		if !r.eject.Allowed(c.Instance, now) {
			t = tierEjected
		}
		r.tiers[t] = append(r.tiers[t], candidate{
			id:   c.Instance,
			hash: s.hash,
			load: r.expectedLoad(s, meanLoad),
		})
	}
}

func (r *Router) tierOf(c *wire.EndpointState) int {
	switch {
	case r.dataCentre == "" || c.DataCentre == r.dataCentre:
		return tierDataCentre
	case c.Region == r.region:
		return tierRegion
	default:
		return tierOther
	}
}

// meanLoad returns the mean of the reported loads, 0 when there are none.
func (r *Router) meanLoad(candidates []*wire.EndpointState) float64 {
	sum, n := 0.0, 0
	for _, c := range candidates {
		if s := r.stateOf(c.Instance); s.hasLoad {
			sum += s.load
			n++
		}
	}
	return sum / float64(max(n, 1))
}

// expectedLoad returns the reported load, or the mean load when there is no
// report, plus the requests sent since.
func (r *Router) expectedLoad(s *loadState, mean float64) float64 {
	load := mean
	if s.hasLoad {
		load = s.load
	}
	return load + s.pending/s.slots
}

// pickOne removes one endpoint from the tiers and returns it. It uses a farther
// tier only when the nearer ones are empty or, within the region, full.
func (r *Router) pickOne(prefixKey uint64, rng *rand.Rand) (id string, ok bool) {
	own, hasOwn := r.choose(tierDataCentre, prefixKey, rng)
	if hasOwn && r.tiers[tierDataCentre][own].load < fullLoad {
		return r.remove(tierDataCentre, own), true
	}
	near, hasNear := r.choose(tierRegion, prefixKey, rng)
	switch {
	case hasOwn && hasNear && r.tiers[tierRegion][near].load < r.tiers[tierDataCentre][own].load:
		return r.remove(tierRegion, near), true
	case hasOwn:
		return r.remove(tierDataCentre, own), true
	case hasNear:
		return r.remove(tierRegion, near), true
	}
	for t := tierOther; t < tierCount; t++ {
		if i, has := r.choose(t, prefixKey, rng); has {
			return r.remove(t, i), true
		}
	}
	return "", false
}

func (r *Router) remove(t, i int) string {
	tier := r.tiers[t]
	id := tier[i].id
	last := len(tier) - 1
	tier[i] = tier[last]
	r.tiers[t] = tier[:last]
	return id
}

// choose returns the index of the best endpoint of a tier.
func (r *Router) choose(t int, prefixKey uint64, rng *rand.Rand) (int, bool) {
	tier := r.tiers[t]
	if len(tier) == 0 {
		return 0, false
	}
	if prefixKey != 0 {
		if i, ok := r.prefixAffinity(tier, prefixKey); ok {
			return i, true
		}
	}
	// Ties are broken at random: otherwise all entries without load reports would
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

// prefixAffinity returns the index of the endpoint that ranks first for the prefix by
// rendezvous hashing, and whether its load is within the bound.
func (r *Router) prefixAffinity(tier []candidate, prefixKey uint64) (int, bool) {
	mean := 0.0
	best, score := 0, uint64(0)
	for i, o := range tier {
		mean += o.load
		if s := mix(o.hash ^ prefixKey); s >= score {
			best, score = i, s
		}
	}
	mean /= float64(len(tier))
	return best, tier[best].load <= r.loadBound*max(mean, minBoundLoad)
}

// minBoundLoad is the load up to which an endpoint keeps its prefixes whatever
// the mean load: with a mean near 0 the bound would reject the first request.
const minBoundLoad = 0.5

// mix is the finalizer of MurmurHash3. It spreads the bits of x, so that the xor
// of two hashes ranks endpoints independently for each prefix.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	x ^= x >> 33
	return x
}

// isDraining reports whether the endpoint recently reported that it is leaving.
// The report counts only until heartbeats carry it: an endpoint that restarts
// under the same name before the next heartbeat would otherwise be skipped
// forever, and after a rolling update the entry would have no endpoint left. One
// that does leave refuses at most one more request, which then goes elsewhere.
func (s *loadState) isDraining(now time.Time) bool {
	if !s.draining {
		return false
	}
	if s.drainingSince.IsZero() {
		s.drainingSince = now
	}
	if now.Sub(s.drainingSince) >= drainingTTL {
		s.draining = false
	}
	return s.draining
}
