package main

import (
	"fmt"
	"strings"
	"time"

	"github.com/lavendermux/lavendermux/grid"
	"github.com/lavendermux/lavendermux/opclnt"
	"github.com/lavendermux/lavendermux/status"
	"github.com/lavendermux/lavendermux/xtime"
)

const (
	// statusPollInterval is the time between two status requests while waiting. A change
	// is in force on all instances within seconds.
	statusPollInterval = 500 * time.Millisecond
	timeFormat         = "2006-01-02 15:04:05Z"
)

// statusCommand shows the propagation and the conditions of a resource.
type statusCommand struct {
	Kind   string         `arg:"" help:"pool, subscription, service or policy."`
	Name   string         `arg:"" help:"Name of the resource."`
	Wait   xtime.Duration `default:"0s" help:"How long to wait until it is in force on all instances (${default})."`
	Output string         `short:"o" enum:"table,json" default:"table" help:"table or json (${default})."`
}

// Help implements kong's HelpProvider.
func (c *statusCommand) Help() string {
	return "Exit code 7 means that the accepted revision is not in force on all instances."
}

// Run implements kong's command.
func (c *statusCommand) Run(s *session) error {
	client, err := s.client()
	if err != nil {
		return err
	}
	found, err := s.pollStatus(client, c.Kind, c.Name, c.Wait.Std())
	if err != nil {
		return err
	}
	if c.Output == "json" {
		err = s.printJSON(found)
	} else {
		s.print(statusText(found))
	}
	if err != nil {
		return err
	}
	return checkInForce(found)
}

// waitInForce waits until a resource is in force on all instances. With a timeout of 0
// it returns at once, without a request.
func (s *session) waitInForce(client *opclnt.Client, kind, name string, timeout time.Duration) error {
	if timeout == 0 {
		return nil
	}
	found, err := s.pollStatus(client, kind, name, timeout)
	if err != nil {
		return err
	}
	if err := checkInForce(found); err != nil {
		return err
	}
	s.print(fmt.Sprintf("%s %s in force on all %d instances\n", kind, name, found.Propagation.Total))
	return nil
}

// pollStatus returns the status once the resource is in force on all instances or the
// timeout is over.
func (s *session) pollStatus(client *opclnt.Client, kind, name string, timeout time.Duration) (status.Status, error) {
	deadline := time.Now().Add(timeout)
	for {
		ctx, cancel := s.timeout()
		found, err := client.Status(ctx, kind, name)
		cancel()
		isOver := s.ctx.Err() != nil || !time.Now().Before(deadline)
		if err != nil || isOver || found.Propagation.Complete() {
			return found, err
		}
		s.sleep(statusPollInterval)
	}
}

func checkInForce(found status.Status) error {
	if found.Propagation.Complete() {
		return nil
	}
	return &notInForceError{
		what:      fmt.Sprintf("%s %s at revision %d", found.Kind, found.Name, found.AcceptedRevision),
		instances: found.Propagation.Instances,
		of:        found.Propagation.Total,
	}
}

func statusText(found status.Status) string {
	what := "accepted"
	if found.Deleted {
		what = "deletion accepted"
	}
	text := fmt.Sprintf("%s %s: %s at revision %d (%s)\n", found.Kind, found.Name, what, found.AcceptedRevision, found.Operation)
	text += fmt.Sprintf("in force on %d of %d instances", found.Propagation.Instances, found.Propagation.Total)
	if !found.Propagation.Since.IsZero() {
		text += " since " + found.Propagation.Since.Format(timeFormat)
	}
	text += "\n"
	if len(found.Propagation.Lagging) > 0 {
		text += "lagging: " + strings.Join(found.Propagation.Lagging, ", ") + "\n"
	}
	if len(found.Propagation.Stale) > 0 {
		text += "no news from: " + strings.Join(found.Propagation.Stale, ", ") + "\n"
	}
	if len(found.Conditions) == 0 {
		return text
	}
	g := grid.New("CAUSE", "SINCE", "REASON")
	for _, c := range found.Conditions {
		since := "-"
		if !c.Since.IsZero() {
			since = c.Since.Format(timeFormat)
		}
		g.Add(c.Cause, since, c.Reason)
	}
	return text + "\n" + g.Text()
}
