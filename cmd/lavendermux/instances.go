package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/lavendermux/lavendermux/grid"
	"github.com/lavendermux/lavendermux/views"
)

// maxViewBytes bounds the response of one process.
const maxViewBytes = 8 << 20

// instancesCommand shows the state of a deployment as each of its processes sees it.
type instancesCommand struct {
	Addrs  []string `arg:"" name:"address" help:"Metrics addresses of the processes, IP:PORT."`
	Output string   `short:"o" enum:"table,json" default:"table" help:"table or json (${default})."`
}

// Help implements kong's HelpProvider.
func (c *instancesCommand) Help() string {
	return "Exit code 7 means that the processes disagree or that one can't serve; the lines below the table list each problem."
}

// Run implements kong's command.
func (c *instancesCommand) Run(s *session) error {
	ctx, cancel := s.timeout()
	defer cancel()
	all, failed := fetchViews(ctx, c.Addrs)
	if c.Output == "json" {
		if err := s.printJSON(all); err != nil {
			return err
		}
	} else {
		s.print(viewTable(all))
	}
	problems := slices.Concat(failed, views.Differences(all))
	if len(problems) == 0 {
		return nil
	}
	return &unhealthyError{Problems: problems}
}

func viewTable(all []views.View) string {
	rows := views.Rows(all)
	g := grid.New(rows[0]...)
	for _, row := range rows[1:] {
		g.Add(row...)
	}
	return g.Text()
}

// fetchViews fetches the views of all processes concurrently; failed has a line for each
// process that gave none.
func fetchViews(ctx context.Context, addrs []string) (all []views.View, failed []string) {
	found := make([]*views.View, len(addrs))
	errs := make([]error, len(addrs))
	var wg sync.WaitGroup
	for i, addr := range addrs {
		wg.Go(func() { found[i], errs[i] = fetchView(ctx, addr) })
	}
	wg.Wait()
	for i, v := range found {
		if errs[i] != nil {
			failed = append(failed, fmt.Sprintf("%s: %v", addrs[i], errs[i]))
			continue
		}
		all = append(all, *v)
	}
	return all, failed
}

func fetchView(ctx context.Context, addr string) (*views.View, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+views.Path, nil)
	if err != nil {
		return nil, errors.Wrap(err, "address")
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return nil, errors.Wrap(err, "no answer")
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, errors.Newf("unexpected status %d", resp.StatusCode)
	}
	var v views.View
	if err := json.NewDecoder(http.MaxBytesReader(nil, resp.Body, maxViewBytes)).Decode(&v); err != nil {
		return nil, errors.Wrap(err, "answer")
	}
	return &v, nil
}
