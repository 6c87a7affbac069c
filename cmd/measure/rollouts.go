package main

import (
	"fmt"
	"maps"
	"slices"

	"github.com/lavendermux/lavendermux/fault"
	"github.com/lavendermux/lavendermux/grid"
	"github.com/lavendermux/lavendermux/stat"
	"golang.org/x/sync/errgroup"
)

// maxParallelSeeds is how many seeds run at a time.
const maxParallelSeeds = 4

type (
	// rolloutsCommand compares the scheduling policies for rollouts with plain
	// baselines.
	rolloutsCommand struct {
		Seeds int      `help:"How many seeds each play runs on." default:"10"`
		Only  []string `help:"Names of the plays to run; all when empty."`
	}

	// table collects rows of series measured over seeds.
	table struct {
		grid *grid.Table
	}
)

// Run prints one table for each simulation, or returns a *fault.FieldError when none
// has the given name.
func (c *rolloutsCommand) Run() error {
	simulations := map[string]func(seeds int){
		"mixed":    simulateMixedWeights,
		"roles":    simulateRoles,
		"starts":   simulateStarts,
		"trainers": simulateTrainers,
		"weights":  simulateWeights,
	}
	only := c.Only
	if len(only) == 0 {
		only = slices.Sorted(maps.Keys(simulations))
	}
	for _, name := range only {
		simulate, ok := simulations[name]
		if !ok {
			return &fault.FieldError{Field: "only", Problem: "no play is named " + name}
		}
		fmt.Printf("### %s, seeds 1 to %d\n\n", name, c.Seeds)
		simulate(c.Seeds)
	}
	return nil
}

// runSeeds runs a simulation on seeds 1 to n, a few at a time, and returns the results
// in the order of seeds.
func runSeeds[T any](n int, run func(seed uint64) T) []T {
	results := make([]T, n)
	var g errgroup.Group
	g.SetLimit(maxParallelSeeds)
	for i := range n {
		g.Go(func() error {
			results[i] = run(uint64(i + 1))
			return nil
		})
	}
	_ = g.Wait()
	return results
}

func newTable(head ...string) *table {
	return &table{grid: grid.New(head...)}
}

// add appends a row: its names, then mean ± deviation over seeds of each series.
func (t *table) add(names []string, series ...*stat.Series) {
	row := slices.Clone(names)
	for _, s := range series {
		row = append(row, fmt.Sprintf("%.3g ± %.2g", s.Mean(), s.StdDev()))
	}
	t.grid.Add(row...)
}

func (t *table) print() {
	fmt.Println(t.grid.Markdown())
}
