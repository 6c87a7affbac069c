// Package surge simulates roles that share workers under changing load, in virtual
// time, to compare rebalancing policies on the same seeded load.
package surge

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/lavendermux/lavendermux/claim"
	"github.com/lavendermux/lavendermux/move"
	"github.com/lavendermux/lavendermux/stat"
)

const (
	// tick is the time step of the simulation; load is reported one tick late.
	tick = time.Second
	// smoothing is the EWMA weight of one tick's load in the reported need.
	smoothing = 0.3
)

type (
	// Scenario is a load and a rebalancing policy. See AddRole and Run.
	Scenario struct {
		// Duration is the simulated time, MoveTime how long a worker is out of service while
		// it moves.
		Duration, MoveTime time.Duration
		// Plan decides the moves; nil for a static split.
		Plan func(claims []claim.Claim, now time.Time) []move.Move

		roles []*role
	}

	// role is one of the roles that share the workers.
	role struct {
		claim       claim.Claim
		meanLoad    float64
		bursts      float64
		burstFactor float64
		ready       int
		arriving    []arrival
		backlog     float64
		waits       stat.Series
		done        float64
		offered     float64
		shortTicks  float64
		inBurst     bool
		burstEnd    time.Time
		recover     stat.Series
	}

	arrival struct {
		at    time.Time
		count int
	}

	// result is what the roles got.
	result struct {
		// WaitP99 is the 99th percentile of each role's wait, in seconds: 1% of the work
		// waits longer.
		WaitP99 []float64
		// DoneShare is each role's completed work as a share of its offered work.
		DoneShare []float64
		// ShortShare is, for each role, the share of time in which it had fewer workers
		// than both its load and its guarantee.
		ShortShare []float64
		// RecoverySeconds is, for each role, the mean time in seconds from the end of a burst
		// until work waits less than a second.
		RecoverySeconds []float64
		// Moves is the number of workers moved; a worker counts once for each move.
		Moves int
	}
)

// AddRole adds a role with its claim. The mean load is in workers; bursts is the number of
// bursts an hour, each of one to six minutes, which multiply the load by burstFactor.
func (p *Scenario) AddRole(c claim.Claim, meanLoad, bursts, burstFactor float64) {
	p.roles = append(p.roles, &role{claim: c, meanLoad: meanLoad, bursts: bursts, burstFactor: burstFactor})
}

// Run runs the simulation with a seed.
//
//	r := scenario.Run(1)
//	fmt.Println(r.WaitP99[0])
func (p *Scenario) Run(seed uint64) *result {
	now := time.Unix(0, 0)
	loads := make([][]float64, len(p.roles))
	bursts := make([][]bool, len(p.roles))
	for i, s := range p.roles {
		loads[i], bursts[i] = s.drawLoad(rand.New(rand.NewPCG(seed, uint64(i))), int(p.Duration/tick))
		s.ready = s.claim.Workers
		s.claim.NeededWorkers = s.meanLoad
	}
	r := &result{}
	for t := range loads[0] {
		now = now.Add(tick)
		for i, s := range p.roles {
			s.step(loads[i][t], now)
			s.trackRecovery(bursts[i][t], now)
		}
		if p.Plan != nil {
			p.applyMoves(r, now)
		}
	}
	for _, s := range p.roles {
		r.WaitP99 = append(r.WaitP99, s.waits.Quantile(0.99))
		r.DoneShare = append(r.DoneShare, s.done/s.offered)
		r.ShortShare = append(r.ShortShare, s.shortTicks/p.Duration.Seconds())
		r.RecoverySeconds = append(r.RecoverySeconds, s.recover.Mean())
	}
	return r
}

// drawLoad returns the load of each tick, made of a slow wave, noise and bursts, and
// whether the tick is in a burst.
func (s *role) drawLoad(rng *rand.Rand, ticks int) (loads []float64, bursts []bool) {
	loads = make([]float64, ticks)
	bursts = make([]bool, ticks)
	phase := rng.Float64() * 2 * math.Pi
	until := -1
	for t := range loads {
		if t > until && rng.Float64() < s.bursts/time.Hour.Seconds() {
			until = t + 60 + rng.IntN(300)
		}
		wave := 1 + 0.2*math.Sin(phase+2*math.Pi*float64(t)/1800)
		loads[t] = s.meanLoad * wave * (1 + 0.15*rng.NormFloat64())
		if t <= until {
			loads[t] *= s.burstFactor
			bursts[t] = true
		}
		loads[t] = max(0, loads[t])
	}
	return loads, bursts
}

// step simulates one tick. Waits are weighted by the load, one observation for every
// 10 workers of it.
func (s *role) step(load float64, now time.Time) {
	for len(s.arriving) > 0 && !s.arriving[0].at.After(now) {
		s.ready += s.arriving[0].count
		s.arriving = s.arriving[1:]
	}
	s.offered += load
	s.backlog += load
	done := min(s.backlog, float64(s.ready))
	s.done += done
	s.backlog -= done
	wait := s.backlog / max(1, float64(s.ready))
	for range int(math.Ceil(load / 10)) {
		s.waits.Add(wait)
	}
	need := load + s.backlog/60
	s.claim.NeededWorkers += smoothing * (need - s.claim.NeededWorkers)
	if float64(s.ready) < min(load, float64(s.claim.GuaranteedWorkers)) {
		s.shortTicks++
	}
}

// trackRecovery records the time from the end of a burst until the backlog is gone.
func (s *role) trackRecovery(inBurst bool, now time.Time) {
	if s.inBurst && !inBurst {
		s.burstEnd = now
	}
	s.inBurst = inBurst
	if inBurst {
		s.burstEnd = time.Time{}
	}
	if !s.burstEnd.IsZero() && s.backlog < max(1, float64(s.ready)) {
		s.recover.Add(now.Sub(s.burstEnd).Seconds())
		s.burstEnd = time.Time{}
	}
}

func (p *Scenario) applyMoves(r *result, now time.Time) {
	claims := make([]claim.Claim, len(p.roles))
	for i, s := range p.roles {
		claims[i] = s.claim
	}
	for _, m := range p.Plan(claims, now) {
		r.Moves += m.Count
		for _, s := range p.roles {
			switch s.claim.Name {
			case m.From:
				s.claim.Workers -= m.Count
				s.ready -= m.Count
			case m.To:
				s.claim.Workers += m.Count
				s.arriving = append(s.arriving, arrival{at: now.Add(p.MoveTime), count: m.Count})
			}
		}
	}
}
