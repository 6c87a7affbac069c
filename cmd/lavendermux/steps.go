package main

import (
	"os"

	"github.com/cockroachdb/errors"

	"github.com/lavendermux/lavendermux/stages"
)

// stepsCommand reports the time of trainers' steps by stage, from logs.
type stepsCommand struct {
	Plot  string   `placeholder:"FILE" help:"Write a chart of the steps to this file, as SVG."`
	Files []string `arg:"" type:"existingfile" help:"Logs of the processes."`
}

// Help implements kong's HelpProvider.
func (c *stepsCommand) Help() string {
	return `The time of each step is split by the stages of the last item that its trainer waited for. The logs of all entries
and data instances are needed, since the owner of a step can change.`
}

// Run prints the time of the steps by stage.
func (c *stepsCommand) Run(s *session) error {
	r := stages.New()
	for _, name := range c.Files {
		if err := readLog(name, r.Read); err != nil {
			return err
		}
	}
	if r.Len() == 0 {
		return errors.Newf("no batch submission found in %d files", len(c.Files))
	}
	s.print(r.Table())
	if c.Plot == "" {
		return nil
	}
	chart, err := r.SVG()
	if err != nil {
		return err
	}
	return errors.Wrap(os.WriteFile(c.Plot, chart, reportFileMode), "writing the chart")
}
