package main

import (
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
		if err := readLog(story, name); err != nil {
			return err
		}
	}
	if story.Len() == 0 {
		return errors.Newf("no line in %d files names %s", len(c.Files), c.ID)
	}
	return story.Write(s.out)
}

func readLog(story *trace.Story, name string) error {
	f, err := os.Open(name)
	if err != nil {
		return errors.Wrap(err, "trace")
	}
	defer func() { _ = f.Close() }() // it was only read
	return errors.Wrapf(story.Read(f), "%s", name)
}
