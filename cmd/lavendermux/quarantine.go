package main

import (
	"fmt"
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/lavendermux/lavendermux/grid"
	"github.com/lavendermux/lavendermux/opclnt"
	"github.com/lavendermux/lavendermux/reqfp"
	"github.com/lavendermux/lavendermux/views"
)

type (
	// quarantineCommand groups the commands about poison requests, which crash endpoints.
	quarantineCommand struct {
		List  quarantineListCommand  `cmd:"" help:"List the poison requests, under which endpoints crashed, as each instance knows them."`
		Clear quarantineClearCommand `cmd:"" help:"End the quarantine of a request at all instances."`
	}

	quarantineListCommand struct {
		Addrs []string `arg:"" optional:"" name:"address" help:"Metrics addresses of the processes, IP:PORT; by default the entries of --entry."`
	}

	quarantineClearCommand struct {
		Print string `arg:"" help:"Fingerprint of the request, from the list or a log."`
		Addr  string `arg:"" optional:"" name:"address" help:"Metrics address of one process, IP:PORT, which informs the others; by default the first entry of --entry."`
	}
)

// Help implements kong's HelpProvider.
func (c *quarantineClearCommand) Help() string {
	return `A request under which three endpoints crashed is quarantined for 10 minutes or longer. Clear it once the service
is fixed; if it still crashes endpoints, it is quarantined again after three more crashes.`
}

// Run prints the poison requests that the instances know.
func (c *quarantineListCommand) Run(s *session) error {
	ctx, cancel := s.timeout()
	defer cancel()
	names, clients, err := s.processes(c.Addrs)
	if err != nil {
		return err
	}
	found := make([]views.View, len(clients))
	errs := make([]error, len(clients))
	var wg sync.WaitGroup
	for i, client := range clients {
		wg.Go(func() { found[i], errs[i] = client.Quarantined(ctx) })
	}
	wg.Wait()
	var failed []string
	for i, err := range errs {
		if err != nil {
			failed = append(failed, fmt.Sprintf("%s: %v", names[i], err))
		}
	}
	rows := views.QuarantineRows(found)
	g := grid.New(rows[0]...)
	for _, row := range rows[1:] {
		g.Add(row...)
	}
	s.print(g.Text())
	if len(failed) > 0 {
		return &unhealthyError{Problems: failed}
	}
	return nil
}

// Run ends the quarantine of one request.
func (c *quarantineClearCommand) Run(s *session) error {
	var p reqfp.Fingerprint
	if err := p.UnmarshalText([]byte(c.Print)); err != nil {
		return err
	}
	ctx, cancel := s.timeout()
	defer cancel()
	var addrs []string
	if c.Addr != "" {
		addrs = []string{c.Addr}
	}
	names, clients, err := s.processes(addrs)
	if err != nil {
		return err
	}
	strikes, err := clients[0].Release(ctx, p)
	if err != nil {
		return errors.Wrap(err, names[0])
	}
	if strikes == 0 {
		return errors.Newf("no strikes against %s at %s", p, names[0])
	}
	s.print("cleared\n")
	return nil
}

// processes returns clients of the processes at the metrics addresses, or of the entries
// of the --entry flag if there are no addresses.
func (s *session) processes(addrs []string) (names []string, clients []*opclnt.Client, err error) {
	for _, addr := range addrs {
		names, clients = append(names, addr), append(clients, opclnt.New("http://"+addr))
	}
	if len(addrs) > 0 {
		return names, clients, nil
	}
	for _, url := range s.flags.Entries {
		client, err := s.clientOf(url)
		if err != nil {
			return nil, nil, err
		}
		names, clients = append(names, url), append(clients, client)
	}
	return names, clients, nil
}
