package main

import (
	"bytes"
	"os"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lavendermux/lavendermux/burn"
	"github.com/lavendermux/lavendermux/counts"
	"github.com/lavendermux/lavendermux/report"
)

const reportFileMode = 0o644

type (
	// reportCommand groups the reports.
	reportCommand struct {
		Burn  burnCommand  `cmd:"" help:"Report the burn rates of the objectives' error budgets, by whom and why."`
		Load  loadCommand  `cmd:"" help:"Report who was refused or late and where the work went, from the logs of the processes."`
		Steps stepsCommand `cmd:"" help:"Report the time of trainers' steps by stage, from the logs of the processes."`
	}

	burnCommand struct {
		Output string `short:"o" enum:"table,json,html" default:"table" help:"table, json or html, a page with charts (${default})."`
		File   string `placeholder:"FILE" help:"File to write to; by default standard output."`
	}
)

// Help implements kong's HelpProvider.
func (c *burnCommand) Help() string {
	return `Each entry counts its own requests; name all entries with --entry, separated by commas, since the load balancer
would return the counts of one entry. The report lists the entries that failed and the start of counting.`
}

// Run implements kong's command.
func (c *burnCommand) Run(s *session) error {
	var series []burn.Series
	var entries []string
	missing, err := s.queryEntries(counts.Path, func(read func(any) error) error {
		var resp struct {
			Instance string        `json:"instance"`
			Series   []burn.Series `json:"series"`
		}
		if err := read(&resp); err != nil {
			return err
		}
		entries = append(entries, resp.Instance)
		series = append(series, resp.Series...)
		return nil
	})
	if err != nil {
		return err
	}
	r := report.New(time.Now(), series, report.WithEntries(entries...), report.WithMissing(missing...))
	if c.File == "" {
		return c.write(s, r)
	}
	var page bytes.Buffer
	fileSession := *s
	fileSession.out = &page
	if err := c.write(&fileSession, r); err != nil {
		return err
	}
	return errors.Wrap(os.WriteFile(c.File, page.Bytes(), reportFileMode), "writing the report")
}

func (c *burnCommand) write(s *session, r *report.Report) error {
	switch c.Output {
	case "json":
		return s.printJSON(r)
	case "html":
		page, err := r.HTML()
		if err != nil {
			return err
		}
		s.print(string(page))
		return nil
	}
	s.print(r.Table())
	return nil
}
