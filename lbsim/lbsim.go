// Package lbsim is a discrete-event simulator of load balancing: it runs the
// admission, routing, queueing and retry policies under a synthetic load in virtual
// time, without a network.
//
// An entry picks a sidecar and retries; a sidecar queues and runs work. Engines,
// callers and the network are reduced to a few numbers. The same scenario and seed
// offer the same requests under every policy, so that policies are compared on the
// same load.
package lbsim

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"github.com/lavendermux/lavendermux/admit"
	"github.com/lavendermux/lavendermux/eject"
	"github.com/lavendermux/lavendermux/queue"
	"github.com/lavendermux/lavendermux/retry"
	"github.com/lavendermux/lavendermux/route"
	"github.com/lavendermux/lavendermux/score"
)

// TokensPerSecond is the tokens per second of one slot.
const TokensPerSecond = 40

type (
	// Scenario is a load and the policies that serve it.
	Scenario struct {
		// Entries, Sidecars and Slots (of each sidecar) size the deployment.
		Entries, Sidecars, Slots int
		// DataCentres is the number of data centres, all of one region, over which
		// entries and sidecars are spread.
		DataCentres int
		// Duration is how long requests arrive.
		Duration time.Duration
		// Load is the offered tokens as a multiple of the capacity.
		Load float64
		// LiveShare and LongShare are the shares of requests that are live and long.
		LiveShare, LongShare float64
		// LengthByKind makes all live work short and all rollouts long. The share of long
		// requests must then be 1 minus the share of live ones.
		LengthByKind bool
		// Callers share the load evenly, except for Heavy of them, which together send
		// the share HeavyShare.
		Callers, Heavy int
		HeavyShare     float64
		// PrefixCount is the number of prompt prefixes, 0 for none. A sidecar caches
		// CacheSize of them, and a miss costs PrefillTime of a slot's time.
		PrefixCount, CacheSize int
		PrefillTime            time.Duration
		// BurstFactor multiplies the load in the second quarter of the scenario; 0 for no
		// burst.
		BurstFactor float64
		// SlowCount sidecars run at SlowSpeed, a fraction of the normal speed; FailingCount ones
		// fail all work at once. Both faults last through the second half of the
		// scenario.
		SlowCount, FailingCount int
		SlowSpeed               float64
		// FailShare is the share of requests that fail at once on every sidecar.
		FailShare float64
		// LengthError is the standard deviation of the logarithm of true over expected
		// tokens.
		LengthError float64
		// EstimateBias multiplies the expected tokens that senders of live work report, as
		// when they report the maximum that a request may generate. 0 means 1.
		EstimateBias float64
		// MaxResubmits is how many times a refused caller resubmits.
		MaxResubmits int
		// IgnoreRetryAfter callers resubmit after a second and ignore any Retry-After time.
		IgnoreRetryAfter bool

		// Queue is "lavendermux" or a baseline: "fcfs", "bounded", "deadline",
		// "shortest", or "liveFcfs" and "liveShortest", which put live work first.
		// LiveReserve is the share of slots reserved for live work, PoolMinimum the slots of
		// each sidecar reserved for callers that are not heavy.
		Queue        string
		QueueOptions []queue.Option
		LiveReserve  float64
		PoolMinimum  int
		// Route is "lavendermux" or a baseline: "random", "roundRobin", "least".
		Route        string
		RouteOptions []route.Option
		// Eject enables the ejection of endpoints.
		Eject        bool
		EjectOptions []eject.Option
		// Admit enables fairness between callers in lavendermux's queue.
		Admit        bool
		AdmitOptions []admit.Option
		// SubsetSize is the number of sidecars in each data centre that an entry connects
		// to, 0 for all. Subsets is "aperture", or the baseline "random".
		SubsetSize   int
		SubsetPolicy string
		// Retry is "budget" or a baseline: "none", "always".
		Retry        string
		RetryOptions []retry.Option
	}

	// simulation is the state of one run.
	simulation struct {
		scenario *Scenario
		start    time.Time
		now      time.Time
		events   events
		order    int
		rng      *rand.Rand
		entries  []*entry
		sidecars []*sidecar
		score    *score.Score
	}

	event struct {
		at    time.Time
		order int
		do    func()
	}

	events []event
)

// Run runs the scenario once. The same seed offers the same requests.
func (p *Scenario) Run(seed uint64) *score.Score {
	start := time.Unix(1_000_000, 0)
	s := &simulation{
		scenario: p,
		start:    start,
		now:      start,
		rng:      rand.New(rand.NewPCG(seed, 2)),
		score:    score.New(p.Sidecars),
	}
	s.build()
	s.scheduleArrivals(rand.New(rand.NewPCG(seed, 1)))
	for len(s.events) > 0 {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.do()
	}
	return s.score
}

func (s *simulation) after(d time.Duration, do func()) {
	s.at(s.now.Add(d), do)
}

func (s *simulation) at(t time.Time, do func()) {
	s.order++
	heap.Push(&s.events, event{at: t, order: s.order, do: do})
}

// faultsActive reports whether the faults of the scenario have begun.
func (s *simulation) faultsActive() bool {
	return s.now.Sub(s.start) > s.scenario.Duration/2
}

func (e events) Len() int { return len(e) }

func (e events) Less(i, j int) bool {
	if !e[i].at.Equal(e[j].at) {
		return e[i].at.Before(e[j].at)
	}
	return e[i].order < e[j].order
}

func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push implements heap.Interface.
func (e *events) Push(x any) { *e = append(*e, x.(event)) }

// Pop implements heap.Interface.
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}
