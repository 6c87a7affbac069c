package main

import (
	"fmt"

	"github.com/lavendermux/lavendermux/xtime"
)

// deleteCommand deletes a resource.
type deleteCommand struct {
	Kind     string         `arg:"" help:"pool, subscription, service or policy."`
	Name     string         `arg:"" help:"Name of the resource."`
	Revision int64          `help:"Delete exactly this revision; by default the current one."`
	Wait     xtime.Duration `default:"0s" help:"How long to wait until the deletion is in force on all instances (${default})."`
}

// Run implements kong's command.
func (c *deleteCommand) Run(s *session) error {
	client, err := s.client()
	if err != nil {
		return err
	}
	ctx, cancel := s.timeout()
	defer cancel()
	revision := c.Revision
	if revision == 0 {
		current, err := client.Get(ctx, c.Kind, c.Name)
		if err != nil {
			return asNotRun(err)
		}
		revision = current.Revision
	}
	deleted, err := client.Delete(ctx, c.Kind, c.Name, revision)
	if err != nil {
		return err
	}
	s.print(fmt.Sprintf("%s %s deleted at revision %d\n", c.Kind, c.Name, deleted.Revision))
	return s.waitInForce(client, c.Kind, c.Name, c.Wait.Std())
}
