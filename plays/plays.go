// Package plays runs the decisions under load against a play of load, event by
// event, without a network and in no real time.
//
// Entries and doors are as the decision packages see them: an entry admits,
// picks a door and retries; a door queues and runs. Engines, callers and the
// network are a few numbers. The same play and seed offers the same requests
// whatever the policy is, so that policies are compared on the same load.
package plays

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

// Rate is the tokens that one slot makes in a second.
const Rate = 40

type (
	// Play is a load and the policy that meets it.
	Play struct {
		// Entries, Doors and Slots (of each door) size the deployment.
		Entries, Doors, Slots int
		// DataCentres is over how many data centres of one region both spread.
		DataCentres int
		// Length is how long requests come.
		Length time.Duration
		// Load is the tokens offered, as a multiple of the capacity.
		Load float64
		// Live and Long are the shares of requests that are live and long.
		Live, Long float64
		// Apart makes all live work short and all rollouts long; Long is then to
		// be 1-Live.
		Apart bool
		// Callers share the load evenly, but for the Heavy first of them, who
		// together take the share HeavyShare.
		Callers, Heavy int
		HeavyShare     float64
		// Prefixes is how many prompts' prefixes there are, 0 for none; a door
		// caches Cached of them, and a prefix not cached costs Prefill.
		Prefixes, Cached int
		Prefill          time.Duration
		// Burst multiplies the load in the second quarter of the length.
		Burst float64
		// Slow doors run at SlowSpeed; Failing doors fail all work at once. They
		// do so in the second half of the length.
		Slow, Failing int
		SlowSpeed     float64
		// Poison is the share of requests that fail at once on every door.
		Poison float64
		// Error is the deviation of the logarithm of true by expected tokens.
		Error float64
		// Bias multiplies what senders of live work expect, as when they give the
		// most that it may make. 0 is 1.
		Bias float64
		// Patience is how often a refused caller asks again.
		Patience int
		// Deaf callers come back after a second, whatever they were told.
		Deaf bool

		// Queue is "lavendermux" or a baseline: "fcfs", "bounded", "deadline",
		// "shortest", and "liveFcfs" and "liveShortest", with live work first. Reserve is the share of slots kept for live work,
		// Minimum the slots of each door kept for callers that aren't heavy.
		Queue        string
		QueueOptions []queue.Option
		Reserve      float64
		Minimum      int
		// Route is "lavendermux" or a baseline: "random", "roundRobin", "least".
		Route        string
		RouteOptions []route.Option
		// Eject turns the setting aside of endpoints on.
		Eject        bool
		EjectOptions []eject.Option
		// Admit turns fairness between callers on, in lavendermux's queue.
		Admit        bool
		AdmitOptions []admit.Option
		// Subset is how many doors of each data centre an entry talks to, 0 for
		// all. Subsets is "aperture", or the baseline "random".
		Subset  int
		Subsets string
		// Retry is "budget" or a baseline: "none", "always".
		Retry        string
		RetryOptions []retry.Option
	}

	// stage is one run of a play.
	stage struct {
		play    *Play
		start   time.Time
		now     time.Time
		events  events
		order   int
		rng     *rand.Rand
		entries []*entry
		doors   []*door
		score   *score.Score
	}

	event struct {
		at    time.Time
		order int
		do    func()
	}

	events []event
)

// Run plays the load once.
func (p *Play) Run(seed uint64) *score.Score {
	start := time.Unix(1_000_000, 0)
	s := &stage{
		play:  p,
		start: start,
		now:   start,
		rng:   rand.New(rand.NewPCG(seed, 2)),
		score: score.New(p.Doors),
	}
	s.build()
	s.arrivals(rand.New(rand.NewPCG(seed, 1)))
	for len(s.events) > 0 {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.do()
	}
	return s.score
}

func (s *stage) after(d time.Duration, do func()) {
	s.at(s.now.Add(d), do)
}

func (s *stage) at(t time.Time, do func()) {
	s.order++
	heap.Push(&s.events, event{at: t, order: s.order, do: do})
}

// faulty reports whether the faults of the play have begun.
func (s *stage) faulty() bool {
	return s.now.Sub(s.start) > s.play.Length/2
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
