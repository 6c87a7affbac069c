// Package shift decides when workers change from one role or pool to another.
//
// It answers bursts on one side of a shared fleet: live load that doubles for
// some minutes beside rollouts that would fill every worker. Without it either
// the burst waits while workers beside it do work that could wait, or workers go
// back and forth with every swing of the load and spend their time draining; one
// would notice live p99 in the burst, or moves without end.
package shift

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/lavendermux/lavendermux/move"
	"github.com/lavendermux/lavendermux/quota"
)

const (
	// defaultCost is the time that a worker serves nobody when it moves: below it
	// a move loses more than the shortage has cost so far. Live p99 in bursts to
	// twice the load was 9 s, with 590 moves an hour; at a cost of 5 s it was 6 s
	// with 1,090 moves, and at 20 s 15 s with 350.
	defaultCost = 10 * time.Second
	// defaultRoom is the need and a fifth of it. Without the fifth live p99 was
	// 13 s in place of 9 s, and with two fifths the lowest pool did 0.93 of its
	// work in place of 0.99.
	defaultRoom = 1.2
	// longest is the longest time between two calls that counts as observed.
	longest = 10 * time.Second
)

// Planner decides about one set of quotas that share workers. It remembers how
// long each has been short, so one call may run at a time.
type Planner struct {
	cost time.Duration
	room float64

	last time.Time
	debt map[string]float64
}

// New returns a planner.
//
//	p := shift.New(shift.WithCost(10 * time.Second))
//	moves := p.Plan(quotas, now)
func New(opts ...Option) *Planner {
	p := &Planner{
		cost: defaultCost,
		room: defaultRoom,
		debt: map[string]float64{},
	}
	for _, opt := range opts {
		opt(p)
	}
	return p
}

// Plan returns the moves to begin now.
func (p *Planner) Plan(quotas []quota.Quota, now time.Time) []move.Move {
	if len(quotas) < 2 {
		return nil
	}
	elapsed := p.elapsed(now)
	targets := p.targets(quotas)
	p.charge(quotas, targets, elapsed)
	return p.moves(quotas, targets)
}

func (p *Planner) elapsed(now time.Time) float64 {
	elapsed := now.Sub(p.last)
	if p.last.IsZero() || elapsed < 0 {
		elapsed = 0
	}
	p.last = now
	return min(elapsed, longest).Seconds()
}

// targets shares the workers out: the minimum of each, then by priority what
// each needs up to its guarantee, then by priority what each needs.
func (p *Planner) targets(quotas []quota.Quota) []int {
	left := 0
	targets := make([]int, len(quotas))
	for i := range quotas {
		targets[i] = quotas[i].Minimum
		left += quotas[i].Workers - quotas[i].Minimum
	}
	ranked := rank(quotas)
	for _, guaranteed := range []bool{true, false} {
		for _, i := range ranked {
			want := int(math.Ceil(p.room * quotas[i].Need))
			if guaranteed {
				want = min(want, quotas[i].Guarantee)
			}
			more := min(max(0, want-targets[i]), max(0, left))
			targets[i] += more
			left -= more
		}
	}
	return targets
}

// charge counts the work that was not done for want of workers.
func (p *Planner) charge(quotas []quota.Quota, targets []int, elapsed float64) {
	for i := range quotas {
		q := &quotas[i]
		short := targets[i] - q.Workers
		if short <= 0 {
			delete(p.debt, q.Name)
			continue
		}
		p.debt[q.Name] += float64(short) * elapsed
	}
}

// moves takes workers from those that have more than their target, the lowest
// priority first, for those that have waited long enough.
func (p *Planner) moves(quotas []quota.Quota, targets []int) []move.Move {
	var moves []move.Move
	spare := make([]int, len(quotas))
	for i := range quotas {
		spare[i] = max(0, quotas[i].Workers-targets[i])
	}
	ranked := rank(quotas)
	for _, to := range ranked {
		q := &quotas[to]
		short := targets[to] - q.Workers
		if short <= 0 || p.debt[q.Name] < float64(short)*p.cost.Seconds() {
			continue
		}
		for _, from := range slices.Backward(ranked) {
			n := min(short, spare[from])
			if n <= 0 || from == to {
				continue
			}
			moves = append(moves, move.Move{From: quotas[from].Name, To: q.Name, Count: n})
			short -= n
			spare[from] -= n
		}
	}
	return moves
}

// rank returns the indexes of quotas by falling priority.
func rank(quotas []quota.Quota) []int {
	ranked := make([]int, len(quotas))
	for i := range ranked {
		ranked[i] = i
	}
	slices.SortStableFunc(ranked, func(a, b int) int {
		return cmp.Compare(quotas[b].Priority, quotas[a].Priority)
	})
	return ranked
}
