package main

import (
	"io"
	"os"

	"github.com/cockroachdb/errors"

	"github.com/lavendermux/lavendermux/trace"
)

type traceCommand struct {
	Attempts bool     `help:"Also the lines about other attempts of the same request, by its fingerprint."`
	ID       string   `arg:"" help:"Id of a request, an item or a batch submission, or the fingerprint of a request."`
	Files    []string `arg:"" type:"existingfile" help:"Logs of the processes."`
}

// Run prints the story of one id from several logs, in the order of time.
func (c *traceCommand) Run(s *session) error {
	story, err := c.read(trace.New(c.ID))
	if err != nil {
		return err
	}
	if prints := story.Prints(); c.Attempts && len(prints) > 0 {
		if story, err = c.read(trace.New(c.ID, prints...)); err != nil {
			return err
		}
	}
	if story.Len() == 0 {
		return errors.Newf("no line in %d files names %s", len(c.Files), c.ID)
	}
	return story.Write(s.out)
}

func (c *traceCommand) read(story *trace.Story) (*trace.Story, error) {
	for _, name := range c.Files {
		if err := readLog(name, story.Read); err != nil {
			return nil, err
		}
	}
	return story, nil
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
