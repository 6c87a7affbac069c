// Package slots allocates the concurrency slots of one endpoint to live work and
// rollouts, and to pools.
//
// Rollouts run for tens of seconds to minutes and there is always a backlog of them,
// while live requests are short and arrive one by one. Running work is not preempted.
// Without reservations rollouts would fill all slots, and a live request would wait
// for one of them to end regardless of its priority in the queue. Likewise, a pool
// with high demand would starve one with low demand.
//
// Reservations only keep slots free; they never stop running work. Their cost and
// benefit are described in docs/measured/load.md.
package slots

import (
	"math"

	"github.com/lavendermux/lavendermux/work"
)

// Allocator tracks and reserves the slots of one endpoint. It isn't safe for concurrent
// use.
type Allocator struct {
	total         int
	reserveShare  float64
	poolMinimum   map[string]int
	runningByPool map[string]int
	running       int
	liveRunning   int
}

// New returns an allocator for total slots, configured by opts.
//
//	s := slots.New(32, slots.WithLiveReserve(0.1))
//	if s.Fits(w) { s.Start(w) }
func New(total int, opts ...Option) *Allocator {
	s := &Allocator{
		total:         total,
		poolMinimum:   map[string]int{},
		runningByPool: map[string]int{},
	}
	for _, opt := range opts {
		opt(s)
	}
	return s
}

// Fits reports whether w may start now.
func (s *Allocator) Fits(w work.Work) bool {
	free := s.total - s.running
	if free <= 0 {
		return false
	}
	// A pool below its minimum uses one of the slots reserved for it.
	if s.runningByPool[w.Pool] < s.poolMinimum[w.Pool] {
		return true
	}
	return free > s.withheld(w)
}

// Reserved returns the number of free slots that w may not use because they are reserved
// for other pools and, if w is a rollout, for live work.
func (s *Allocator) Reserved(w work.Work) int {
	if s.runningByPool[w.Pool] < s.poolMinimum[w.Pool] {
		return 0
	}
	return s.withheld(w)
}

// Start counts w as running.
func (s *Allocator) Start(w work.Work) {
	s.running++
	s.runningByPool[w.Pool]++
	if w.Live() {
		s.liveRunning++
	}
}

// Finish counts w as no longer running.
func (s *Allocator) Finish(w work.Work) {
	s.running--
	s.runningByPool[w.Pool]--
	if s.runningByPool[w.Pool] == 0 {
		delete(s.runningByPool, w.Pool)
	}
	if w.Live() {
		s.liveRunning--
	}
}

// Resize sets the number of slots, for example after an engine reports another
// number. Running work is not stopped.
func (s *Allocator) Resize(total int) {
	s.total = total
}

// Total returns the number of slots.
func (s *Allocator) Total() int {
	return s.total
}

// Running returns the number of slots in use.
func (s *Allocator) Running() int {
	return s.running
}

func (s *Allocator) withheld(w work.Work) int {
	withheld := 0
	for pool, n := range s.poolMinimum {
		if pool != w.Pool {
			withheld += max(0, n-s.runningByPool[pool])
		}
	}
	if !w.Live() {
		withheld += max(0, s.liveReserve()-s.liveRunning)
	}
	return withheld
}

// liveReserve returns the number of slots reserved for live work, rounded up: a tenth
// of 4 slots must not be 0.
func (s *Allocator) liveReserve() int {
	return int(math.Ceil(s.reserveShare * float64(s.total)))
}
