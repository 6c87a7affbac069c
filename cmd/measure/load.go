package main

import (
	"fmt"
	"strings"

	"golang.org/x/sync/errgroup"

	"github.com/lavendermux/lavendermux/grid"
	"github.com/lavendermux/lavendermux/lbsim"
	"github.com/lavendermux/lavendermux/score"
	"github.com/lavendermux/lavendermux/stat"
)

type (
	loadCommand struct {
		Seeds   int      `default:"10" help:"How many seeds each play is run with: 1, 2, and so on."`
		Only    []string `help:"Run only the comparisons whose name begins with one of these."`
		Workers int      `default:"3" help:"How many plays run at a time."`
	}

	// comparison is one scenario run with several policies.
	comparison struct {
		name     string
		text     string
		scenario lbsim.Scenario
		columns  []string
		variants []variant
	}

	variant struct {
		name   string
		change func(*lbsim.Scenario)
	}
)

// Run implements the command.
func (c *loadCommand) Run() error {
	for _, cmp := range comparisons() {
		if !c.wanted(cmp.name) {
			continue
		}
		table, err := cmp.table(c.Seeds, c.Workers)
		if err != nil {
			return err
		}
		if _, err := fmt.Printf("### %s\n\n%s\n\n%s\n", cmp.name, cmp.text, table); err != nil {
			return err
		}
	}
	if !c.wanted("subset, static") {
		return nil
	}
	_, err := fmt.Printf("### subset, static\n\n350 entries before 700 endpoints.\n\n%s\n", subsetTable())
	return err
}

func (c *loadCommand) wanted(name string) bool {
	for _, only := range c.Only {
		if strings.HasPrefix(name, only) {
			return true
		}
	}
	return len(c.Only) == 0
}

// table runs every policy with every seed.
func (c *comparison) table(seeds, workers int) (string, error) {
	results := make([][]*score.Score, len(c.variants))
	var g errgroup.Group
	g.SetLimit(workers)
	for i, w := range c.variants {
		results[i] = make([]*score.Score, seeds)
		for seed := range seeds {
			scenario := c.scenario
			w.change(&scenario)
			g.Go(func() error {
				results[i][seed] = scenario.Run(uint64(seed + 1))
				return nil
			})
		}
	}
	if err := g.Wait(); err != nil {
		return "", err
	}
	t := grid.New(append([]string{"way"}, c.columns...)...)
	for i, w := range c.variants {
		row := []string{w.name}
		for _, name := range c.columns {
			row = append(row, cell(name, &c.scenario, results[i]))
		}
		t.Add(row...)
	}
	return t.Markdown(), nil
}

// cell is the mean and standard deviation of a column over the seeds.
func cell(name string, p *lbsim.Scenario, scores []*score.Score) string {
	var s stat.Series
	for _, sc := range scores {
		s.Add(columns[name](sc, p))
	}
	return fmt.Sprintf("%.3g ± %.2g", s.Mean(), s.StdDev())
}
