package main

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/lavendermux/lavendermux/demand"
	"github.com/lavendermux/lavendermux/sched"
	"github.com/lavendermux/lavendermux/stat"
	"github.com/lavendermux/lavendermux/steps"
	"github.com/lavendermux/lavendermux/strag"
)

type (
	chooseFunc = func(trainers []demand.Demand, now time.Time) (int, bool)

	trainersCase struct {
		name   string
		weight float64
		choose func() chooseFunc
	}

	trainersRun struct {
		idle, worst, age, p99, wasted, delivered, long float64
	}
)

// simulateTrainers simulates four trainers with different steps, one of which demands
// most of the tokens, on shared workers at several loads.
func simulateTrainers(seeds int) {
	cases := []trainersCase{
		{"first come", 0.5, func() chooseFunc { return oldestFirst }},
		{"random", 0.5, randomTrainer},
		{"round robin", 0.5, roundRobin},
		{"round robin within the bound", 0.5, boundedRoundRobin},
		{"sched, even weights", 0.5, newScheduler},
		{"sched, idle time only", 1, newScheduler},
		{"sched, 0.25 on idle time", 0.25, newScheduler},
		{"sched, 0.1 on idle time", 0.1, newScheduler},
		{"sched, staleness only", 0, newScheduler},
	}
	t := newTable("load", "choice", "idle share", "worst trainer's", "age mean", "age p99", "wasted share", "delivered Mtokens", "length against all")
	loads := []struct{ workers, longer int }{{80, 1}, {40, 1}, {20, 1}, {10, 1}, {40, 4}}
	for _, l := range loads {
		for _, c := range cases {
			scenario := trainersScenario(l.workers, l.longer, c)
			runs := runSeeds(seeds, func(seed uint64) trainersRun { return trainersOnce(trainersScenario(l.workers, l.longer, c), seed) })
			var s [7]stat.Series
			for _, r := range runs {
				for i, v := range []float64{r.idle, r.worst, r.age, r.p99, r.wasted, r.delivered / 1e6, r.long} {
					s[i].Add(v)
				}
			}
			load := fmt.Sprintf("%.2g", scenario.Load())
			if l.longer > 1 {
				load += ", long samples"
			}
			t.add([]string{load, c.name},
				&s[0], &s[1], &s[2], &s[3], &s[4], &s[5], &s[6])
		}
	}
	t.print()
}

func trainersOnce(p *steps.Scenario, seed uint64) trainersRun {
	r := p.Run(seed)
	return trainersRun{
		idle:      r.IdleShare.Mean(),
		worst:     r.IdleShare.Quantile(1),
		age:       r.Staleness.Mean(),
		p99:       r.Staleness.Quantile(0.99),
		wasted:    r.WastedTokens / max(1, r.DeliveredTokens+r.WastedTokens),
		delivered: r.DeliveredTokens,
		long:      r.LengthRatio,
	}
}

// trainersScenario multiplies the length of samples by longer and divides the size of
// steps by it.
func trainersScenario(workers, longer int, c trainersCase) *steps.Scenario {
	p := &steps.Scenario{
		Workers: workers, Slots: 8, Speed: 40, SlowShare: 0.03, StallShare: 0.1,
		Duration: 3 * time.Hour, EstimateError: 0.4, ChooseTrainer: c.choose(),
		NewPlanner: func() nextFunc { return strag.New().Next },
	}
	long := float64(longer)
	idle, stale := c.weight, 1-c.weight
	p.AddTrainer(1024/longer, 8, 2, 5*time.Minute, 1600*long, idle, stale)
	p.AddTrainer(256/longer, 8, 1, 4*time.Minute, 800*long, idle, stale)
	p.AddTrainer(128/longer, 4, 2, 2*time.Minute, 800*long, idle, stale)
	p.AddTrainer(256/longer, 8, 4, 6*time.Minute, 1600*long, idle, stale)
	return p
}

func newScheduler() chooseFunc { return sched.New().Choose }

// oldestFirst serves the trainer whose last version is the oldest.
func oldestFirst(trainers []demand.Demand, _ time.Time) (int, bool) {
	best, found := 0, false
	for i := range trainers {
		if trainers[i].Waiting > 0 && (!found || trainers[i].Published.Before(trainers[best].Published)) {
			best, found = i, true
		}
	}
	return best, found
}

func randomTrainer() chooseFunc {
	rng := rand.New(rand.NewPCG(2, 2))
	return func(trainers []demand.Demand, _ time.Time) (int, bool) {
		var list []int
		for i := range trainers {
			if trainers[i].Waiting > 0 {
				list = append(list, i)
			}
		}
		if len(list) == 0 {
			return 0, false
		}
		return list[rng.IntN(len(list))], true
	}
}

func roundRobin() chooseFunc {
	return roundRobinWhere(func(*demand.Demand, time.Time) bool { return true })
}

// boundedRoundRobin is round robin among trainers whose next sample is within the
// staleness bound.
func boundedRoundRobin() chooseFunc {
	c := sched.New()
	return roundRobinWhere(func(d *demand.Demand, _ time.Time) bool { return c.Staleness(d) <= d.MaxStaleness })
}

func roundRobinWhere(may func(*demand.Demand, time.Time) bool) chooseFunc {
	last := 0
	return func(trainers []demand.Demand, now time.Time) (int, bool) {
		for range trainers {
			last = (last + 1) % len(trainers)
			if trainers[last].Waiting > 0 && may(&trainers[last], now) {
				return last, true
			}
		}
		return 0, false
	}
}

// simulateMixedWeights simulates two pairs of equal trainers. In each pair one weights
// idle time only and the other staleness four times as much as idle time.
func simulateMixedWeights(seeds int) {
	t := newTable("workers", "weights", "idle share: first, idle time", "first, staleness", "second, idle time", "second, staleness", "age mean")
	for _, workers := range []int{40, 20, 10} {
		for _, mixed := range []bool{false, true} {
			name, weights := "even", [2]float64{0.5, 0.5}
			if mixed {
				name, weights = "mixed", [2]float64{1, 0.2}
			}
			runs := runSeeds(seeds, func(seed uint64) [5]float64 { return mixedOnce(workers, weights, seed) })
			var s [5]stat.Series
			for _, r := range runs {
				for i, v := range r {
					s[i].Add(v)
				}
			}
			t.add([]string{fmt.Sprint(workers), name}, &s[0], &s[1], &s[2], &s[3], &s[4])
		}
	}
	t.print()
}

func mixedOnce(workers int, weights [2]float64, seed uint64) [5]float64 {
	p := &steps.Scenario{
		Workers: workers, Slots: 8, Speed: 40, SlowShare: 0.03, StallShare: 0.1,
		Duration: 3 * time.Hour, EstimateError: 0.4, ChooseTrainer: newScheduler(),
		NewPlanner: func() nextFunc { return strag.New().Next },
	}
	for _, w := range weights {
		p.AddTrainer(512, 8, 2, 5*time.Minute, 1600, w, 1-w)
	}
	for _, w := range weights {
		p.AddTrainer(128, 4, 2, 2*time.Minute, 800, w, 1-w)
	}
	r := p.Run(seed)
	idle := r.IdleShare.Values
	return [5]float64{idle[0], idle[1], idle[2], idle[3], r.Staleness.Mean()}
}
