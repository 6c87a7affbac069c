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

// viewMost bounds the answer of one process.
const viewMost = 8 << 20

// instancesCommand shows what the processes of a deployment believe.
type instancesCommand struct {
	Addrs  []string `arg:"" name:"address" help:"Metrics addresses of the processes, IP:PORT."`
	Output string   `short:"o" enum:"table,json" default:"table" help:"table or json (${default})."`
}

// Help implements kong's HelpProvider.
func (c *instancesCommand) Help() string {
	return "Exit code 7 says that the processes don't agree, or that one of them can't serve; the lines below the table name each."
}

// Run implements kong's command.
func (c *instancesCommand) Run(s *session) error {
	ctx, cancel := s.patience()
	defer cancel()
	all, silent := lookAll(ctx, c.Addrs)
	if c.Output == "json" {
		if err := s.printJSON(all); err != nil {
			return err
		}
	} else {
		s.print(viewTable(all))
	}
	problems := slices.Concat(silent, views.Differences(all))
	if len(problems) == 0 {
		return nil
	}
	return &notWholeError{Problems: problems}
}

func viewTable(all []views.View) string {
	rows := views.Rows(all)
	g := grid.New(rows[0]...)
	for _, row := range rows[1:] {
		g.Add(row...)
	}
	return g.Text()
}

// lookAll asks all processes at once; silent has a line for each that did not answer.
func lookAll(ctx context.Context, addrs []string) (all []views.View, silent []string) {
	found := make([]*views.View, len(addrs))
	errs := make([]error, len(addrs))
	var wg sync.WaitGroup
	for i, addr := range addrs {
		wg.Go(func() { found[i], errs[i] = look(ctx, addr) })
	}
	wg.Wait()
	for i, v := range found {
		if errs[i] != nil {
			silent = append(silent, fmt.Sprintf("%s: %v", addrs[i], errs[i]))
			continue
		}
		all = append(all, *v)
	}
	return all, silent
}

func look(ctx context.Context, addr string) (*views.View, error) {
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
		return nil, errors.Newf("status %d", resp.StatusCode)
	}
	var v views.View
	if err := json.NewDecoder(http.MaxBytesReader(nil, resp.Body, viewMost)).Decode(&v); err != nil {
		return nil, errors.Wrap(err, "answer")
	}
	return &v, nil
}
