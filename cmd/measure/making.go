package main

import (
	"context"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/lavendermux/lavendermux/grid"
	"github.com/lavendermux/lavendermux/sims/simtrn"
)

// makingTimeout bounds the run of one size.
const makingTimeout = 3 * time.Minute

type makingCommand struct {
	Entry        string         `required:"" help:"URL of the entry that holds the pool's job."`
	Store        string         `required:"" help:"URL of the weight store stand-in."`
	Model        string         `default:"reply" help:"Model that is trained."`
	Subscription string         `default:"replies" help:"Subscription that is pulled."`
	Pid          map[string]int `required:"" help:"Numbers of the processes to look at: entry=1;door=2."`
	Groups       []int          `default:"32,128,512" help:"Groups of eight samples in a step; one run each."`
	MaxTokens    int64          `default:"512" help:"Greatest length of a sample."`
	Steps        int            `default:"3" help:"Steps of each run."`
	Seed         uint64         `default:"1" help:"Seed of the trainer."`
}

// Run runs one trainer at several step sizes and prints the resources that each
// process used.
func (c *makingCommand) Run() error {
	path := pathCommand{Pid: c.Pid}
	g := grid.New("samples a step", "samples/s", "tokens/s", "step, longest, s", "idle share", "staleness",
		"process", "core ms a sample", "core µs a token", "resident, MB")
	version := int64(2)
	for _, groups := range c.Groups {
		before, err := path.usages()
		if err != nil {
			return err
		}
		ctx, cancel := context.WithTimeout(context.Background(), makingTimeout)
		sum, err := simtrn.New(c.Subscription, []string{c.Entry},
			simtrn.WithModel(c.Model), simtrn.WithWeightStore(c.Store, 1<<20), simtrn.WithSteps(c.Steps),
			simtrn.WithGroups(groups, 8), simtrn.WithMaxStaleness(4), simtrn.WithLengths(c.MaxTokens, 200), simtrn.WithFirstVersion(version),
			simtrn.WithTrainTime(time.Second), simtrn.WithSeed(c.Seed), simtrn.WithGroupIDPrefix(fmt.Sprintf("n%d-%d-", groups, c.MaxTokens)),
		).Run(ctx)
		cancel()
		if err != nil {
			return errors.Wrapf(err, "training with %d groups", groups)
		}
		version += int64(c.Steps) + 1
		after, err := path.usages()
		if err != nil {
			return err
		}
		for _, process := range sortedNames(after) {
			cpu := (after[process].cpu - before[process].cpu).Seconds()
			g.Add(fmt.Sprint(groups*8), fmt.Sprintf("%.0f", float64(sum.Samples)/sum.Seconds),
				fmt.Sprintf("%.0f", float64(sum.Tokens)/sum.Seconds), fmt.Sprintf("%.1f", sum.StepMax),
				fmt.Sprintf("%.2f", sum.IdleShare), fmt.Sprintf("%.2f", sum.StalenessMean), process,
				fmt.Sprintf("%.3f", 1000*cpu/float64(sum.Samples)), fmt.Sprintf("%.2f", 1e6*cpu/float64(sum.Tokens)),
				megabytes(after[process].rss))
		}
	}
	fmt.Println(g.Markdown())
	return nil
}
