package main

import (
	"fmt"
	"time"

	"github.com/lavendermux/lavendermux/object"
)

const (
	watchWait = 30 * time.Second
	// watchPause is how long to wait after a failed watch, so that an entry that
	// is down is not asked without end.
	watchPause = 2 * time.Second
)

// watchCommand prints changes until it is interrupted.
type watchCommand struct {
	Kind   string `arg:"" optional:"" help:"pool, subscription, service or policy; all kinds when left out."`
	Name   string `arg:"" optional:"" help:"Name of one resource."`
	After  int64  `help:"Print what changed after this revision; by default everything there is, then changes."`
	Count  int    `help:"End after so many changes; by default never."`
	Output string `short:"o" enum:"table,json" default:"table" help:"table or json, one change a line (${default})."`
}

// Run implements kong's command.
func (c *watchCommand) Run(s *session) error {
	client, err := s.client()
	if err != nil {
		return err
	}
	after, left := c.After, c.Count
	for s.ctx.Err() == nil {
		items, revision, err := client.Watch(s.ctx, c.Kind, c.Name, after, watchWait)
		if exitCode(err) == exitInvalid {
			return err
		}
		if err != nil {
			s.askAgain(err)
			continue
		}
		after = revision
		for _, o := range items {
			c.print(s, o)
			if left--; left == 0 {
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

// askAgain waits before the next watch, unless the last one failed because the
// command was interrupted.
func (s *session) askAgain(err error) {
	if s.ctx.Err() != nil {
		return
	}
	_, _ = fmt.Fprintf(s.errOut, "lavendermux: note: asking again: %v\n", err)
	s.pause(watchPause)
}

// pause waits, or less when the command is interrupted.
func (s *session) pause(d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-s.ctx.Done():
	case <-timer.C:
	}
}
