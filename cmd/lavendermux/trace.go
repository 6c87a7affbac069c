package main

import (
	"io"
	"os"

	"github.com/cockroachdb/errors"

	"github.com/lavendermux/lavendermux/trace"
)

type traceCommand struct {
	Attempts bool     `help:"Also print the lines about other attempts of the same request, by its fingerprint."`
	ID       string   `arg:"" help:"ID of a request, an item or a batch submission, or the fingerprint of a request."`
	Files    []string `arg:"" type:"existingfile" help:"Logs of the processes."`
}

// Run prints the lines of all logs about one ID, in chronological order.
func (c *traceCommand) Run(s *session) error {
	timeline, err := c.read(trace.New(c.ID))
	if err != nil {
		return err
	}
	if fingerprints := timeline.Fingerprints(); c.Attempts && len(fingerprints) > 0 {
		if timeline, err = c.read(trace.New(c.ID, fingerprints...)); err != nil {
			return err
		}
	}
	if timeline.Len() == 0 {
		return errors.Newf("no line in %d files mentions %s", len(c.Files), c.ID)
	}
	return timeline.Write(s.out)
}

func (c *traceCommand) read(timeline *trace.Timeline) (*trace.Timeline, error) {
	for _, name := range c.Files {
		if err := readLog(name, timeline.Read); err != nil {
			return nil, err
		}
	}
	return timeline, nil
}

// readLog opens a log file and passes it to read.
func readLog(name string, read func(io.Reader) error) error {
	f, err := os.Open(name)
	if err != nil {
		return errors.Wrap(err, "reading logs")
	}
	defer func() { _ = f.Close() }() // read-only: nothing to flush
	return errors.Wrapf(read(f), "%s", name)
}
