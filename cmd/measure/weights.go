package main

import (
	"fmt"
	"slices"
	"time"

	"github.com/lavendermux/lavendermux/order"
	"github.com/lavendermux/lavendermux/pace"
	"github.com/lavendermux/lavendermux/stat"
	"github.com/lavendermux/lavendermux/task"
	"github.com/lavendermux/lavendermux/worker"
	"github.com/lavendermux/lavendermux/wsim"
)

type (
	weightsCase struct {
		name string
		run  func(p *wsim.Scenario, seed uint64) [8]float64
	}

	// greedy is the plain baseline: every worker stages as soon as it may, and
	// switches as soon as it can, or once all have staged the version.
	greedy struct {
		together bool
	}

	// liveBlind hides the live load from a rollout of weights.
	liveBlind struct {
		*pace.Rollout
	}
)

// Next returns every task that is left to do.
func (g *greedy) Next(workers []worker.Worker, now time.Time) []task.Task {
	bare := false
	for i := range workers {
		s := workers[i].State
		bare = bare || s == worker.Unstaged || s == worker.Staging
	}
	var tasks []task.Task
	for i := range workers {
		w := &workers[i]
		switch {
		case now.Before(w.NotBefore):
		case w.State == worker.Unstaged:
			tasks = append(tasks, task.Task{Worker: w.Name, Kind: order.Stage})
		case w.State == worker.Staged && (!g.together || !bare):
			tasks = append(tasks, task.Task{Worker: w.Name, Kind: order.Switch})
		}
	}
	return tasks
}

// Next is the rollout's own Next without the live load.
func (b *liveBlind) Next(workers []worker.Worker, now time.Time) []task.Task {
	hidden := slices.Clone(workers)
	for i := range hidden {
		hidden[i].LiveLoad = 0
	}
	return b.Rollout.Next(hidden, now)
}

// Refused does nothing.
func (g *greedy) Refused() {}

// State returns no state.
func (g *greedy) State() string { return "" }

// simulateWeights simulates rollouts of weights on 700 workers with a weight store
// that grants three fetches a second, of which others request up to one.
func simulateWeights(seeds int) {
	paced := func(opts ...pace.Option) func(p *wsim.Scenario, seed uint64) [8]float64 {
		return func(p *wsim.Scenario, seed uint64) [8]float64 {
			opts := append([]pace.Option{pace.WithRate(p.Rate)}, opts...)
			return weightsRow(p, seed, pace.New(opts...))
		}
	}
	cases := []weightsCase{
		{"no limit, each switches at once", func(p *wsim.Scenario, seed uint64) [8]float64 { return weightsRow(p, seed, &greedy{}) }},
		{"no limit, all together", func(p *wsim.Scenario, seed uint64) [8]float64 { return weightsRow(p, seed, &greedy{together: true}) }},
		{"pace", paced()},
		{"pace, blind to live load", func(p *wsim.Scenario, seed uint64) [8]float64 {
			return weightsRow(p, seed, &liveBlind{pace.New(pace.WithRate(p.Rate))})
		}},
		{"pace, growth 2", paced(pace.WithGrowth(2))},
		{"pace, growth 32", paced(pace.WithGrowth(32))},
		{"pace, quorum 0.9", paced(pace.WithQuorum(0.9))},
		{"pace, quorum 1", paced(pace.WithQuorum(1))},
	}
	loads := []struct {
		name     string
		scenario wsim.Scenario
	}{
		{"calm", wsim.Scenario{}},
		{"a switch takes 1 s", wsim.Scenario{SwitchTime: time.Second}},
		{"1% fail, 1% silent", wsim.Scenario{FailProb: 0.01, SilentShare: 0.01}},
		{"others take a third", wsim.Scenario{FailProb: 0.01, OtherRate: 1}},
		{"version does not load", wsim.Scenario{LoadFaultProb: 1}},
		{"version fails in use", wsim.Scenario{SwitchFaultProb: 1}},
		{"version fails half the time", wsim.Scenario{LoadFaultProb: 0.5}},
	}
	t := newTable("load", "way", "staged s", "whole s", "switch s", "refused", "failed loads", "failed switches", "live beside loading", "halted")
	for _, l := range loads {
		for _, c := range cases {
			runs := runSeeds(seeds, func(seed uint64) [8]float64 {
				scenario := l.scenario
				scenario.Workers, scenario.Rate, scenario.Duration = 700, 3, 10*time.Minute
				scenario.SwitchTime = max(scenario.SwitchTime, 300*time.Millisecond)
				return c.run(&scenario, seed)
			})
			var s [8]stat.Series
			for _, r := range runs {
				for i, v := range r {
					s[i].Add(v)
				}
			}
			t.add([]string{l.name, c.name}, &s[0], &s[1], &s[2], &s[3], &s[4], &s[5], &s[6], &s[7])
		}
	}
	fmt.Println("600 s stands for never.")
	fmt.Println()
	t.print()
}

func weightsRow(p *wsim.Scenario, seed uint64, h interface {
	Next(workers []worker.Worker, now time.Time) []task.Task
	Refused()
	State() string
}) [8]float64 {
	r := p.Run(seed, h)
	halted := 0.0
	if r.State == pace.Halted || r.State == pace.Partial {
		halted = 1
	}
	return [8]float64{
		r.Staged, r.TotalTime, r.Switch, float64(r.Refused), float64(r.FailedLoads), float64(r.FailedSwitches), r.LiveLoad, halted,
	}
}
