package main

import (
	"context"
	"fmt"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/lavendermux/lavendermux/pairs"
)

// waysCommand compares several builds on the same days with the same seeds.
type waysCommand struct {
	Way     []string `required:"" sep:"none" placeholder:"NAME=FOLDER" help:"A way and the folder in which it is played; the standing one first."`
	Day     []string `required:"" help:"Days."`
	Seed    []string `required:"" help:"Seeds."`
	Figure  string   `default:"(?m)^worth (-?[0-9.]+)" help:"What the figure looks like in what a play prints; its first group is the figure."`
	Jobs    int      `default:"4" help:"How many plays run at a time."`
	Command []string `arg:"" passthrough:"" help:"The command that plays; {day} and {seed} are filled in."`
}

// buildRun is one run of one build.
type buildRun struct {
	way, folder, day, seed string
}

// Run runs all builds and prints the paired results.
func (c *waysCommand) Run() error {
	if c.Command[0] == "--" {
		c.Command = c.Command[1:]
	}
	if len(c.Command) == 0 {
		return errors.New("no command is given")
	}
	pattern, err := regexp.Compile(c.Figure)
	if err != nil {
		return errors.Wrap(err, "--figure")
	}
	runs, err := c.runs()
	if err != nil {
		return err
	}
	values := make([]float64, len(runs))
	failures := make([]error, len(runs))
	var wg sync.WaitGroup
	slots := make(chan struct{}, max(1, c.Jobs))
	for i, p := range runs {
		wg.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			values[i], failures[i] = c.measure(p, pattern)
		})
	}
	wg.Wait()
	var table pairs.Table
	for i, p := range runs {
		if failures[i] != nil {
			fmt.Printf("%s, %s seed %s: %v\n", p.way, p.day, p.seed, failures[i])
			continue
		}
		table.Add(p.way, p.day+" seed "+p.seed, values[i])
	}
	fmt.Print(table.String())
	return errors.Join(failures...)
}

// runs puts the builds of each day and seed next to each other, so that they meet the
// same machine load.
func (c *waysCommand) runs() ([]buildRun, error) {
	var all []buildRun
	for _, day := range c.Day {
		for _, seed := range c.Seed {
			for _, w := range c.Way {
				name, folder, ok := strings.Cut(w, "=")
				if !ok {
					return nil, errors.Newf("--way %s: is not NAME=FOLDER", w)
				}
				folder, err := filepath.Abs(folder)
				if err != nil {
					return nil, errors.Wrapf(err, "--way %s", w)
				}
				all = append(all, buildRun{way: name, folder: folder, day: day, seed: seed})
			}
		}
	}
	return all, nil
}

func (c *waysCommand) measure(p buildRun, pattern *regexp.Regexp) (float64, error) {
	args := make([]string, len(c.Command))
	for i, w := range c.Command {
		args[i] = strings.NewReplacer("{day}", p.day, "{seed}", p.seed).Replace(w)
	}
	cmd := exec.CommandContext(context.Background(), args[0], args[1:]...)
	cmd.Dir = p.folder
	out, err := cmd.CombinedOutput()
	match := pattern.FindSubmatch(out)
	if len(match) < 2 {
		return 0, errors.Newf("output of %d bytes has no figure: %v", len(out), err)
	}
	return strconv.ParseFloat(string(match[1]), 64)
}
