package main

import (
	"cmp"
	"fmt"
	"net/url"
	"slices"

	"github.com/lavendermux/lavendermux/acts"
	"github.com/lavendermux/lavendermux/grid"
)

// explainCommand shows the automatic actions on a resource and their reasons.
type explainCommand struct {
	Kind   string `arg:"" help:"pool, subscription, service or policy."`
	Name   string `arg:"" help:"Name of the resource."`
	Output string `short:"o" enum:"table,json" default:"table" help:"table or json (${default})."`
}

// Help implements kong's HelpProvider.
func (c *explainCommand) Help() string {
	return `Each entry knows its own actions since it started; name all entries with --entry to see all actions.
Entries that don't respond are listed on standard error.`
}

// Run implements kong's command.
func (c *explainCommand) Run(s *session) error {
	path := "/v1/explain/" + url.PathEscape(c.Kind) + "/" + url.PathEscape(c.Name)
	actions := []acts.Action{}
	missing, err := s.queryEntries(path, func(read func(any) error) error {
		var resp struct {
			Deeds []acts.Action `json:"deeds"`
		}
		if err := read(&resp); err != nil {
			return err
		}
		actions = append(actions, resp.Deeds...)
		return nil
	})
	if err != nil {
		return err
	}
	for _, m := range missing {
		_, _ = fmt.Fprintf(s.errOut, "lavendermux: note: without %s\n", m)
	}
	slices.SortStableFunc(actions, func(a, b acts.Action) int { return cmp.Compare(b.FirstAt.UnixNano(), a.FirstAt.UnixNano()) })
	if c.Output == "json" {
		return s.printJSON(actions)
	}
	if len(actions) == 0 {
		s.print("No automatic actions on this resource.\n")
		return nil
	}
	g := grid.New("AT", "COUNT", "VERB", "WHAT", "CAUSE", "WHY", "BY")
	for _, d := range actions {
		g.Add(d.FirstAt.Format(timeFormat), formatInt(d.Count), d.Verb, d.Summary, d.Cause, d.Reason, d.Instance)
	}
	s.print(g.Text())
	return nil
}

// queryEntries calls each with a function that reads path from one entry, for every
// entry. It returns the entries that failed, each with its error. The error is set if
// all entries failed or the input is invalid.
func (s *session) queryEntries(path string, each func(read func(any) error) error) ([]string, error) {
	var missing []string
	var last error
	for _, entry := range s.flags.Entries {
		client, err := s.clientOf(entry)
		if err != nil {
			return nil, err
		}
		err = each(func(out any) error {
			ctx, cancel := s.timeout()
			defer cancel()
			return client.Read(ctx, path, out)
		})
		if exitCode(err) == exitInvalid {
			return nil, err
		}
		if err != nil {
			last = err
			missing = append(missing, fmt.Sprintf("%s: %v", entry, err))
		}
	}
	if len(missing) == len(s.flags.Entries) {
		return missing, last
	}
	return missing, nil
}
