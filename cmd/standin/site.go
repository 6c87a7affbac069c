package main

import (
	"context"
	"os"
	"time"

	"github.com/charmbracelet/log"

	"github.com/lavendermux/lavendermux/bytesz"
	"github.com/lavendermux/lavendermux/platform/sims/simsit"
)

type siteCommand struct {
	Dir    string        `default:"run/site" help:"Directory for the settings of the lavendermux processes."`
	During time.Duration `default:"20s" help:"How long trainer and callers run."`
	Memory int           `help:"Memory of each process in its settings, in MB; 0: none."`
	Fds    int           `help:"Descriptors of each process in its settings; 0: none."`
	Bodies bytesz.Size   `default:"1MB" help:"Maximum size of a body in the manifest."`
}

// Run simulates a deployment of the users' platform.
func (c *siteCommand) Run(ctx context.Context) error {
	return simsit.New(c.Dir, log.New(os.Stdout), simsit.WithProcessLimits(c.Memory, c.Fds), simsit.WithMaxBodyBytes(int(c.Bodies))).Run(ctx, c.During)
}
