package main

import (
	"os"

	"github.com/cockroachdb/errors"

	"github.com/lavendermux/lavendermux/stages"
)

// stepsCommand reports on trainers' steps from logs.
type stepsCommand struct {
	Plot  string   `placeholder:"FILE" help:"Draw the steps into this file, as SVG."`
	Files []string `arg:"" type:"existingfile" help:"Logs of the processes."`
}

// Help implements kong's HelpProvider.
func (c *stepsCommand) Help() string {
	return `Each step's time is split along the way of the last item that its trainer waited for. The logs of all entries and
data instances are needed: a step changes hands.`
}

// Run prints where the steps' time went.
func (c *stepsCommand) Run(s *session) error {
	r := stages.New()
	for _, name := range c.Files {
		if err := readLog(name, r.Read); err != nil {
			return err
		}
	}
	if r.Len() == 0 {
		return errors.Newf("no line in %d files names a submission", len(c.Files))
	}
	s.print(r.Table())
	if c.Plot == "" {
		return nil
	}
	drawing, err := r.SVG()
	if err != nil {
		return err
	}
	return errors.Wrap(os.WriteFile(c.Plot, drawing, pageMode), "writing the drawing")
}
