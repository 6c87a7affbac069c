package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"

	"github.com/lavendermux/lavendermux/platform/sims/soak"
)

type soakCommand struct {
	Program string        `default:"bin/lavendermux" help:"Program under test."`
	Dir     string        `default:"run/soak" help:"Directory for settings and logs, with one subdirectory per seed."`
	First   uint64        `default:"1" help:"First seed."`
	Seeds   int           `default:"1" help:"Number of seeds."`
	Jobs    int           `default:"3" help:"Number of concurrent runs, each of seven processes."`
	During  time.Duration `default:"12s" help:"Duration of fault injection in each run."`
	Single  bool          `help:"Require that each sample comes from one weight version."`
	Verbose bool          `help:"Log each fault."`
}

// Run runs the seeds and prints the violations.
func (c *soakCommand) Run(ctx context.Context) error {
	seeds := make(chan uint64)
	var wg sync.WaitGroup
	var mu sync.Mutex
	failed := 0
	for slot := range c.Jobs {
		wg.Go(func() {
			for seed := range seeds {
				ok := c.runSeed(ctx, seed, slot)
				mu.Lock()
				if !ok {
					failed++
				}
				mu.Unlock()
			}
		})
	}
	for n := range c.Seeds {
		seeds <- c.First + uint64(n)
	}
	close(seeds)
	wg.Wait()
	if failed > 0 {
		return errors.Newf("%d of %d seeds failed", failed, c.Seeds)
	}
	return nil
}

func (c *soakCommand) runSeed(ctx context.Context, seed uint64, slot int) bool {
	out := io.Discard
	if c.Verbose {
		out = os.Stderr
	}
	dir := filepath.Join(c.Dir, fmt.Sprint(seed))
	opts := []soak.Option{soak.WithSeed(seed), soak.WithSlot(slot), soak.WithDuration(c.During), soak.WithLogger(log.New(out))}
	if c.Single {
		opts = append(opts, soak.WithSingleVersion())
	}
	r, err := soak.New(c.Program, dir, opts...).Run(ctx)
	if err != nil {
		fmt.Printf("seed %d: not run: %v\n", seed, err)
		return false
	}
	fmt.Printf("seed %d: %d faults, %d steps, %d samples, %d of %d calls answered, %d without an answer, %d violations\n",
		seed, len(r.Faults), r.Steps, r.Samples, r.Answered, r.Calls, r.UnknownOutcomes, len(r.Violations))
	for _, b := range r.Violations {
		fmt.Println("  ", b)
	}
	if len(r.Violations) > 0 {
		fmt.Println("   faults:", r.Faults)
	}
	return len(r.Violations) == 0
}
