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

	"github.com/lavendermux/lavendermux/claim"
	"github.com/lavendermux/lavendermux/move"
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

// Planner decides about one set of claims that share workers. It remembers how
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
//	moves := p.Plan(claims, now)
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
func (p *Planner) Plan(claims []claim.Claim, now time.Time) []move.Move {
	if len(claims) < 2 {
		return nil
	}
	elapsed := p.elapsed(now)
	targets := p.targets(claims)
	p.charge(claims, targets, elapsed)
	return p.moves(claims, targets)
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
func (p *Planner) targets(claims []claim.Claim) []int {
	left := 0
	targets := make([]int, len(claims))
	for i := range claims {
		targets[i] = claims[i].Minimum
		left += claims[i].Workers - claims[i].Minimum
	}
	ranked := rank(claims)
	for _, guaranteed := range []bool{true, false} {
		for _, i := range ranked {
			want := int(math.Ceil(p.room * claims[i].Need))
			if guaranteed {
				want = min(want, claims[i].Guarantee)
			}
			more := min(max(0, want-targets[i]), max(0, left))
			targets[i] += more
			left -= more
		}
	}
	return targets
}

// charge counts the work that was not done for want of workers.
func (p *Planner) charge(claims []claim.Claim, targets []int, elapsed float64) {
	for i := range claims {
		q := &claims[i]
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
func (p *Planner) moves(claims []claim.Claim, targets []int) []move.Move {
	var moves []move.Move
	spare := make([]int, len(claims))
	for i := range claims {
		spare[i] = max(0, claims[i].Workers-targets[i])
	}
	ranked := rank(claims)
	for _, to := range ranked {
		q := &claims[to]
		short := targets[to] - q.Workers
		if short <= 0 || p.debt[q.Name] < float64(short)*p.cost.Seconds() {
			continue
		}
		for _, from := range slices.Backward(ranked) {
			n := min(short, spare[from])
			if n <= 0 || from == to {
				continue
			}
			moves = append(moves, move.Move{From: claims[from].Name, To: q.Name, Count: n})
			short -= n
			spare[from] -= n
		}
	}
	return moves
}

// rank returns the indexes of claims by falling priority.
func rank(claims []claim.Claim) []int {
	ranked := make([]int, len(claims))
	for i := range ranked {
		ranked[i] = i
	}
	slices.SortStableFunc(ranked, func(a, b int) int {
		return cmp.Compare(claims[b].Priority, claims[a].Priority)
	})
	return ranked
}
