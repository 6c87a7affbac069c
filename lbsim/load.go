package lbsim

import (
	"fmt"
	"math"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/lavendermux/lavendermux/wire"
	"github.com/lavendermux/lavendermux/work"
)

const (
	shortMeanTokens = 100
	longMeanTokens  = 1200
	lengthSpread    = 0.6
	shortMaxTokens  = 300
	longMaxTokens   = 2400

	shortDeadline   = 10 * time.Second
	longDeadline    = 90 * time.Second
	rolloutDeadline = 2 * time.Minute

	// lightPool is the pool of callers that are not heavy.
	lightPool = "light"

	// idempotentShare is the share of requests that are idempotent.
	idempotentShare = 0.8
)

// request is one request of a caller, with the state of all its attempts.
type request struct {
	work         work.Work
	entry        *entry
	arrived      time.Time
	firstArrival time.Time
	timeout      time.Duration
	tokens       int64
	short        bool
	idempotent   bool
	poison       bool
	prefix       uint64
	resubmits    int
	attempts     int
	runs         int
}

// scheduleArrivals schedules all requests of the scenario.
func (s *simulation) scheduleArrivals(rng *rand.Rand) {
	p := s.scenario
	mean := (1-p.LongShare)*shortMeanTokens + p.LongShare*longMeanTokens
	capacity := float64(p.Sidecars*p.Slots*TokensPerSecond) / mean
	for t := 0.0; t < p.Duration.Seconds(); {
		rate := capacity * p.Load
		quarter := p.Duration.Seconds() / 4
		if p.BurstFactor > 0 && t >= quarter && t < 2*quarter {
			rate *= p.BurstFactor
		}
		t += rng.ExpFloat64() / rate
		r := s.request(rng, s.start.Add(time.Duration(t*float64(time.Second))))
		s.at(r.arrived, func() {
			if r.isScored() {
				s.score.RecordArrival(r.work.Caller, r.work.Live(), r.arrived.Sub(s.start))
				if r.work.Live() && !r.short {
					s.score.LongOffered++
				}
			}
			r.entry.submit(r)
		})
	}
}

// isScored reports whether the request is scored. A request whose deadline is after
// the end of the load is not: it may run then without competing load.
func (r *request) isScored() bool {
	s := r.entry.simulation
	return !r.firstArrival.Add(r.timeout).After(s.start.Add(s.scenario.Duration))
}

// recordRun counts one run of the request at an endpoint.
func (r *request) recordRun() {
	r.runs++
	if r.runs > 1 && !r.idempotent {
		r.entry.simulation.score.DuplicateRuns++
	}
}

func (s *simulation) request(rng *rand.Rand, at time.Time) *request {
	p := s.scenario
	long := rng.Float64() < p.LongShare
	live := rng.Float64() < p.LiveShare
	if p.LengthByKind {
		long = !live
	}
	mean, maxTokens := float64(shortMeanTokens), float64(shortMaxTokens)
	deadline := shortDeadline
	if long {
		mean, maxTokens = longMeanTokens, longMaxTokens
		deadline = longDeadline
	}
	kind := wire.WorkKind_WORK_KIND_LIVE
	if !live {
		kind = wire.WorkKind_WORK_KIND_ROLLOUT
		deadline = rolloutDeadline
	}
	expected := math.Exp(rng.NormFloat64()*lengthSpread - lengthSpread*lengthSpread/2)
	trueRatio := math.Exp(rng.NormFloat64()*p.LengthError - p.LengthError*p.LengthError/2)
	r := &request{
		arrived:      at,
		firstArrival: at,
		timeout:      deadline,
		entry:        s.entries[rng.IntN(len(s.entries))],
		short:        !long && live,
		idempotent:   rng.Float64() < idempotentShare,
		poison:       rng.Float64() < p.FailShare,
		work: work.Work{
			Caller:         s.caller(rng),
			Pool:           lightPool,
			Kind:           kind,
			Deadline:       at.Add(deadline),
			ExpectedTokens: int64(min(max(expected*mean, 8), maxTokens)),
		},
	}
	if strings.HasPrefix(r.work.Caller, "heavy-") {
		r.work.Pool = "heavy"
	}
	r.tokens = max(int64(float64(r.work.ExpectedTokens)*trueRatio), 1)
	if p.EstimateBias > 0 && live {
		r.work.ExpectedTokens = int64(float64(r.work.ExpectedTokens) * p.EstimateBias)
	}
	if p.PrefixCount > 0 {
		r.prefix = prefix(rng, p.PrefixCount)
	}
	return r
}

func (s *simulation) caller(rng *rand.Rand) string {
	p := s.scenario
	if rng.Float64() < p.HeavyShare {
		return fmt.Sprintf("heavy-%d", rng.IntN(p.Heavy))
	}
	return fmt.Sprintf("caller-%d", rng.IntN(p.Callers-p.Heavy))
}

// prefix draws one of n prefixes from a Zipf distribution: the k-th in proportion
// to 1/k.
func prefix(rng *rand.Rand, n int) uint64 {
	k := uint64(math.Exp(rng.Float64() * math.Log(float64(n)+1)))
	return k * 0x9e3779b97f4a7c15
}
