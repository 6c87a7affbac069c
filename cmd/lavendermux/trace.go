package main

import (
	"io"
	"os"

	"github.com/cockroachdb/errors"

	"github.com/lavendermux/lavendermux/trace"
)

type traceCommand struct {
	ID    string   `arg:"" help:"Id of a request, an item or a batch submission."`
	Files []string `arg:"" type:"existingfile" help:"Logs of the processes."`
}

// Run prints the story of one id from several logs, in the order of time.
func (c *traceCommand) Run(s *session) error {
	story := trace.New(c.ID)
	for _, name := range c.Files {
		if err := readLog(name, story.Read); err != nil {
			return err
		}
	}
	if story.Len() == 0 {
		return errors.Newf("no line in %d files names %s", len(c.Files), c.ID)
	}
	return story.Write(s.out)
}

// readLog has a report read one log.
func readLog(name string, read func(io.Reader) error) error {
	f, err := os.Open(name)
	if err != nil {
		return errors.Wrap(err, "reading logs")
	}
	defer func() { _ = f.Close() }() // it was only read
	return errors.Wrapf(read(f), "%s", name)
}
