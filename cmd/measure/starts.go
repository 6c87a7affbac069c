package main

import (
	"math/rand/v2"
	"time"

	"github.com/lavendermux/lavendermux/demand"
	"github.com/lavendermux/lavendermux/slot"
	"github.com/lavendermux/lavendermux/start"
	"github.com/lavendermux/lavendermux/stat"
	"github.com/lavendermux/lavendermux/steps"
	"github.com/lavendermux/lavendermux/strag"
)

type (
	nextFunc = func(slots []slot.Slot, free int, now time.Time) []start.Decision

	startsCase struct {
		name string
		next func() nextFunc
	}

	startsRun struct {
		p50, p99, idle, wasted, moved float64
	}
)

// simulateStarts simulates single steps of 4,096 samples in groups of 8 on 80 workers
// of 12 slots, with slow and stalling workers.
func simulateStarts(seeds int) {
	loads := []struct {
		name               string
		slow, still, noise float64
	}{
		{"even workers, good guess", 0, 0, 0.2},
		{"even workers, poor guess", 0, 0, 0.7},
		{"even workers, no guess", 0, 0, -1},
		{"5% slow", 0.05, 0, 0.4},
		{"5% slow, 20% stand still", 0.05, 0.2, 0.4},
	}
	cases := []startsCase{
		{"first come", func() nextFunc { return inOrder }},
		{"random", randomOrder},
		{"strag, no stragglers moved", func() nextFunc { return strag.New(strag.WithMaxMoves(0)).Next }},
		{"strag", func() nextFunc { return strag.New().Next }},
		{"first come, stragglers moved", inOrderWithMoves},
		{"one move", func() nextFunc { return strag.New(strag.WithMaxMoves(1)).Next }},
	}
	t := newTable("load", "order", "step p50 s", "step p99 s", "idle share", "wasted share", "moved")
	for _, l := range loads {
		for _, c := range cases {
			var p50, p99, idle, wasted, moved stat.Series
			runs := runSeeds(seeds, func(seed uint64) startsRun {
				scenario := stepScenario(l.slow, l.still, l.noise)
				scenario.NewPlanner = c.next
				r := scenario.Run(seed)
				return startsRun{
					p50:    r.StepTime.Quantile(0.5),
					p99:    r.StepTime.Quantile(0.99),
					idle:   r.IdleShare.Mean(),
					wasted: r.WastedTokens / (r.DeliveredTokens + r.WastedTokens),
					moved:  float64(r.Moved) / float64(max(1, r.StepTime.Count())),
				}
			})
			for _, r := range runs {
				p50.Add(r.p50)
				p99.Add(r.p99)
				idle.Add(r.idle)
				wasted.Add(r.wasted)
				moved.Add(r.moved)
			}
			t.add([]string{l.name, c.name}, &p50, &p99, &idle, &wasted, &moved)
		}
	}
	t.print()
}

func stepScenario(slow, still, noise float64) *steps.Scenario {
	p := &steps.Scenario{
		Workers: 80, Slots: 12, Speed: 40, SlowShare: slow, StallShare: still,
		Duration: 40 * time.Minute, EstimateError: noise, ChooseTrainer: onlyTrainer,
	}
	p.AddTrainer(4096, 8, 0, 2*time.Minute, 800, 1, 0)
	return p
}

// onlyTrainer starts samples of the only trainer while it waits for a step.
func onlyTrainer(trainers []demand.Demand, _ time.Time) (int, bool) {
	return 0, trainers[0].Waiting > 0 && !trainers[0].IdleSince.IsZero()
}

// inOrder starts slots in the order in which they were submitted.
func inOrder(slots []slot.Slot, free int, _ time.Time) []start.Decision {
	var starts []start.Decision
	for i := range slots {
		if len(starts) == free {
			break
		}
		if slots[i].Waiting() {
			starts = append(starts, start.Decision{Slot: i})
		}
	}
	return starts
}

// inOrderWithMoves starts slots as inOrder does, and moves stragglers as strag does.
func inOrderWithMoves() nextFunc {
	p := strag.New()
	return func(slots []slot.Slot, free int, now time.Time) []start.Decision {
		starts := inOrder(slots, free, now)
		if len(starts) > 0 {
			return starts
		}
		return p.Next(slots, free, now)
	}
}

func randomOrder() nextFunc {
	rng := rand.New(rand.NewPCG(1, 1))
	return func(slots []slot.Slot, free int, _ time.Time) []start.Decision {
		var starts []start.Decision
		for _, i := range rng.Perm(len(slots)) {
			if len(starts) == free {
				break
			}
			if slots[i].Waiting() {
				starts = append(starts, start.Decision{Slot: i})
			}
		}
		return starts
	}
}
