package main

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/cockroachdb/errors"

	"github.com/lavendermux/lavendermux/finger"
	"github.com/lavendermux/lavendermux/grid"
	"github.com/lavendermux/lavendermux/views"
)

type (
	// heldCommand groups the commands about requests under which endpoints ended.
	heldCommand struct {
		List  heldListCommand  `cmd:"" help:"List the requests under which endpoints ended, as each instance knows them."`
		Clear heldClearCommand `cmd:"" help:"Let a request through again at all instances."`
	}

	heldListCommand struct {
		Addrs []string `arg:"" name:"address" help:"Metrics addresses of the processes, IP:PORT."`
	}

	heldClearCommand struct {
		Print string `arg:"" help:"Fingerprint of the request, from the list or a log."`
		Addr  string `arg:"" name:"address" help:"Metrics address of one process, IP:PORT; it tells the others."`
	}
)

// Help implements kong's HelpProvider.
func (c *heldClearCommand) Help() string {
	return `A request under which three endpoints ended is held back for 10 minutes and longer. Clear it once the service
is mended; if it still ends endpoints, it is held back again after three more.`
}

// Run prints what the instances hold back.
func (c *heldListCommand) Run(s *session) error {
	ctx, cancel := s.patience()
	defer cancel()
	all, silent := lookAll(ctx, c.Addrs)
	rows := views.HeldRows(all)
	g := grid.New(rows[0]...)
	for _, row := range rows[1:] {
		g.Add(row...)
	}
	s.print(g.Text())
	if len(silent) > 0 {
		return &notWholeError{Problems: silent}
	}
	return nil
}

// Run clears one request.
func (c *heldClearCommand) Run(s *session) error {
	var p finger.Print
	if err := p.UnmarshalText([]byte(c.Print)); err != nil {
		return err
	}
	ctx, cancel := s.patience()
	defer cancel()
	strikes, err := clearHeld(ctx, c.Addr, p)
	if err != nil {
		return errors.Wrap(err, c.Addr)
	}
	if strikes == 0 {
		return errors.Newf("nothing counts against %s at %s", p, c.Addr)
	}
	s.print("cleared\n")
	return nil
}

func clearHeld(ctx context.Context, addr string, p finger.Print) (strikes int, err error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodDelete, "http://"+addr+views.HeldPath+p.String(), nil)
	if err != nil {
		return 0, errors.Wrap(err, "address")
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, errors.Wrap(err, "no answer")
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return 0, errors.Newf("status %d", resp.StatusCode)
	}
	var answer struct {
		Strikes int `json:"strikes"`
	}
	if err := json.NewDecoder(resp.Body).Decode(&answer); err != nil {
		return 0, errors.Wrap(err, "answer")
	}
	return answer.Strikes, nil
}
