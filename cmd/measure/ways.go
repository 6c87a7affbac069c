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

// waysCommand plays the same days with the same seeds by several builds.
type waysCommand struct {
	Way     []string `required:"" sep:"none" placeholder:"NAME=FOLDER" help:"A way and the folder in which it is played; the standing one first."`
	Day     []string `required:"" help:"Days."`
	Seed    []string `required:"" help:"Seeds."`
	Figure  string   `default:"(?m)^worth (-?[0-9.]+)" help:"What the figure looks like in what a play prints; its first group is the figure."`
	Jobs    int      `default:"4" help:"How many plays run at a time."`
	Command []string `arg:"" passthrough:"" help:"The command that plays; {day} and {seed} are filled in."`
}

// play is one play by one way.
type play struct {
	way, folder, day, seed string
}

// Run plays all and prints the figures in pairs.
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
	plays, err := c.plays()
	if err != nil {
		return err
	}
	figures := make([]float64, len(plays))
	failures := make([]error, len(plays))
	var wg sync.WaitGroup
	room := make(chan struct{}, max(1, c.Jobs))
	for i, p := range plays {
		wg.Go(func() {
			room <- struct{}{}
			defer func() { <-room }()
			figures[i], failures[i] = c.figure(p, pattern)
		})
	}
	wg.Wait()
	var table pairs.Table
	for i, p := range plays {
		if failures[i] != nil {
			fmt.Printf("%s, %s seed %s: %v\n", p.way, p.day, p.seed, failures[i])
			continue
		}
		table.Add(p.way, p.day+" seed "+p.seed, figures[i])
	}
	fmt.Print(table.String())
	return errors.Join(failures...)
}

// plays has the ways next to each other, so that both meet the same load of the machine.
func (c *waysCommand) plays() ([]play, error) {
	var all []play
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
				all = append(all, play{way: name, folder: folder, day: day, seed: seed})
			}
		}
	}
	return all, nil
}

func (c *waysCommand) figure(p play, pattern *regexp.Regexp) (float64, error) {
	words := make([]string, len(c.Command))
	for i, w := range c.Command {
		words[i] = strings.NewReplacer("{day}", p.day, "{seed}", p.seed).Replace(w)
	}
	cmd := exec.CommandContext(context.Background(), words[0], words[1:]...)
	cmd.Dir = p.folder
	out, err := cmd.CombinedOutput()
	found := pattern.FindSubmatch(out)
	if len(found) < 2 {
		return 0, errors.Newf("no figure in %d bytes, %v", len(out), err)
	}
	return strconv.ParseFloat(string(found[1]), 64)
}
