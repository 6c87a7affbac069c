package main

import (
	"fmt"
	"time"

	"github.com/lavendermux/lavendermux/object"
)

const (
	watchTimeout = 30 * time.Second
	// watchRetryDelay is the pause after a failed watch, which keeps the command from
	// polling an entry that is down in a tight loop.
	watchRetryDelay = 2 * time.Second
)

// watchCommand prints changes until it is interrupted.
type watchCommand struct {
	Kind   string `arg:"" optional:"" help:"pool, subscription, service or policy; all kinds when left out."`
	Name   string `arg:"" optional:"" help:"Name of one resource."`
	After  int64  `help:"Print the changes after this revision; by default all resources, then changes."`
	Count  int    `help:"Exit after this many changes; by default never."`
	Output string `short:"o" enum:"table,json" default:"table" help:"table or json, one change per line (${default})."`
}

// Run implements kong's command.
func (c *watchCommand) Run(s *session) error {
	client, err := s.client()
	if err != nil {
		return err
	}
	after, remaining := c.After, c.Count
	for s.ctx.Err() == nil {
		items, revision, err := client.Watch(s.ctx, c.Kind, c.Name, after, watchTimeout)
		if exitCode(err) == exitInvalid {
			return err
		}
		if err != nil {
			s.waitAfterError(err)
			continue
		}
		after = revision
		for _, o := range items {
			c.print(s, o)
			if remaining--; remaining == 0 {
				return nil
			}
		}
	}
	return nil
}

func (c *watchCommand) print(s *session, o object.Object) {
	if c.Output == "json" {
		s.printLine(o)
		return
	}
	verb := "changed"
	if o.Deleted {
		verb = "deleted"
	}
	s.print(fmt.Sprintf("%-8d %-12s %-24s %s\n", o.Revision, o.Kind, o.Name, verb))
}

// waitAfterError prints err and waits before the next watch, unless the last one failed
// because the command was interrupted.
func (s *session) waitAfterError(err error) {
	if s.ctx.Err() != nil {
		return
	}
	_, _ = fmt.Fprintf(s.errOut, "lavendermux: note: retrying the watch: %v\n", err)
	s.sleep(watchRetryDelay)
}

// sleep waits for d or until the command is interrupted.
func (s *session) sleep(d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-s.ctx.Done():
	case <-timer.C:
	}
}
