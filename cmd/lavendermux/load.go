package main

import (
	"github.com/cockroachdb/errors"

	"github.com/lavendermux/lavendermux/report"
)

// loadCommand reports who was refused or late and where the work went, from logs.
type loadCommand struct {
	Files []string `arg:"" type:"existingfile" help:"Logs of the processes."`
}

// Help implements kong's HelpProvider.
func (c *loadCommand) Help() string {
	return `Tables of requests by customer, route, data centre of the entry and endpoint, of item runs by model and endpoint, and
of submissions by status. Times are in milliseconds. SHARE is the part of the time at endpoints. REFUSED requests have not
run; LATE ones took longer than the latency objective of their route, or had no answer in their time budget; FAILED ones got
no answer for another reason, or a status of 500 or more. A request that was sent to several endpoints counts at each. CUT OFF runs were moved to another
endpoint or had no more use; REJECTED ones were not started by the endpoint, or answered with an error; BROKEN ones ended
without their last event. INTERVAL is the time of an event.`
}

// Run prints the tables.
func (c *loadCommand) Run(s *session) error {
	l := report.NewLoad()
	for _, name := range c.Files {
		if err := readLog(name, l.Read); err != nil {
			return err
		}
	}
	if l.Len() == 0 {
		return errors.Newf("no request, item run or submission found in %d files", len(c.Files))
	}
	s.print(l.Table())
	return nil
}
