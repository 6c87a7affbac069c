// Package slots divides the slots of one endpoint between live work and
// rollouts, and between pools.
//
// The load it answers: rollouts run for tens of seconds to minutes and there
// are always more of them, while a live request comes alone and is short. Work
// that has started isn't taken back. Without a division all slots fill with
// rollouts, and a live request then waits for the first of them to end, however
// it is ordered in the queue; likewise a pool that asks for little finds every
// slot taken by one that asks for much.
//
// The division only ever leaves slots free; it never stops running work. What a
// reserve costs and brings is measured in docs/measured/load.md.
package slots

import (
	"math"

	"github.com/lavendermux/lavendermux/work"
)

// Slots is the division of one endpoint's slots. It isn't safe for concurrent
// use.
type Slots struct {
	total        int
	reserveShare float64
	minimum      map[string]int
	byPool       map[string]int
	running      int
	live         int
}

// New returns a division of total slots.
//
//	s := slots.New(32, slots.WithLiveReserve(0.1), slots.WithMinimum("filing", 4))
//	if s.Fits(w) { s.Start(w) }
func New(total int, opts ...Option) *Slots {
	s := &Slots{
		total:   total,
		minimum: map[string]int{},
		byPool:  map[string]int{},
	}
	for _, opt := range opts {
		opt(s)
	}
	return s
}

// Fits reports whether the work may start now.
func (s *Slots) Fits(w work.Work) bool {
	free := s.total - s.running
	if free <= 0 {
		return false
	}
	// A pool below its minimum takes one of the slots that were kept for it.
	if s.byPool[w.Pool] < s.minimum[w.Pool] {
		return true
	}
	return free > s.kept(w)
}

// Kept returns how many of the free slots the work may not take: they are for
// other pools' minimum and, when the work is a rollout, for live work.
func (s *Slots) Kept(w work.Work) int {
	if s.byPool[w.Pool] < s.minimum[w.Pool] {
		return 0
	}
	return s.kept(w)
}

// Start counts work as running.
func (s *Slots) Start(w work.Work) {
	s.running++
	s.byPool[w.Pool]++
	if w.Live() {
		s.live++
	}
}

// Finish counts work as no longer running.
func (s *Slots) Finish(w work.Work) {
	s.running--
	s.byPool[w.Pool]--
	if s.byPool[w.Pool] == 0 {
		delete(s.byPool, w.Pool)
	}
	if w.Live() {
		s.live--
	}
}

// Resize changes how many slots there are, as when an engine reports another
// number. Running work stays.
func (s *Slots) Resize(total int) {
	s.total = total
}

// Total returns how many slots there are.
func (s *Slots) Total() int {
	return s.total
}

// Running returns how many slots are taken.
func (s *Slots) Running() int {
	return s.running
}

func (s *Slots) kept(w work.Work) int {
	kept := 0
	for pool, n := range s.minimum {
		if pool != w.Pool {
			kept += max(0, n-s.byPool[pool])
		}
	}
	if !w.Live() {
		kept += max(0, s.reserve()-s.live)
	}
	return kept
}

// The reserve is rounded up: of 4 slots a tenth must not be none.
func (s *Slots) reserve() int {
	return int(math.Ceil(s.reserveShare * float64(s.total)))
}
