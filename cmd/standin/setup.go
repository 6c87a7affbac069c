package main

import (
	"context"
	"encoding/json"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"
	"github.com/lavendermux/lavendermux/insts"
	"github.com/lavendermux/lavendermux/rest"
)

// awaitInterval is the polling interval of a condition.
const awaitInterval = 100 * time.Millisecond

type (
	registerCommand struct {
		List     string   `required:"" help:"URL of the instance list."`
		Settings []string `arg:"" type:"existingfile" help:"Settings of entries and sidecars."`
	}

	awaitCommand struct {
		Entry        []string      `required:"" help:"URLs of entries."`
		Within       time.Duration `default:"30s" help:"Time limit."`
		Model        string        `help:"Model that must serve a request."`
		Subscription []string      `help:"Subscriptions that must have a holder."`
		Service      string        `help:"Plain service that must accept a booking with an idempotency key."`
	}

	// settings are the instance settings that the platform needs.
	settings struct {
		Instance   string `json:"instance"`
		Service    string `json:"service"`
		DataCentre string `json:"dataCentre"`
		Region     string `json:"region"`
		Listen     string `json:"listen"`
		PeerListen string `json:"peerListen"`
	}
)

// Run registers the instances of the settings files in the instance list.
func (c *registerCommand) Run(ctx context.Context) error {
	list := rest.New("instance list", c.List)
	for _, file := range c.Settings {
		raw, err := os.ReadFile(file)
		if err != nil {
			return errors.Wrap(err, "reading settings")
		}
		var s settings
		if err := json.Unmarshal(raw, &s); err != nil {
			return errors.Wrapf(err, "reading settings %s", file)
		}
		in := s.instance()
		err = retryUntil(ctx, func() error {
			return list.Do(ctx, http.MethodPut, "/v1/instances/"+in.ID, in, nil)
		})
		if err != nil {
			return errors.Wrapf(err, "registering %s", in.ID)
		}
	}
	return nil
}

func (s settings) instance() insts.Instance {
	in := insts.Instance{
		ID:         s.Instance,
		Role:       insts.RoleEndpoint,
		Service:    s.Service,
		DataCentre: s.DataCentre,
		Region:     s.Region,
		Address:    s.Listen,
		State:      insts.StateLive,
	}
	if s.PeerListen != "" {
		in.Role = insts.RoleEntry
		in.Address = s.PeerListen
	}
	return in
}

// Run waits until every entry is ready and serves the given subscriptions, service
// and model.
func (c *awaitCommand) Run(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, c.Within)
	defer cancel()
	for _, url := range c.Entry {
		entry := rest.New("entry "+url, url)
		err := retryUntil(ctx, func() error { return c.checkReady(ctx, url, entry) })
		if err != nil {
			return errors.Wrapf(err, "waiting for %s", url)
		}
	}
	return nil
}

func (c *awaitCommand) checkReady(ctx context.Context, url string, entry *rest.Client) error {
	resp, err := entry.Open(ctx, http.MethodGet, "/readyz", nil)
	if err != nil {
		return err
	}
	_ = resp.Body.Close()
	for _, sub := range c.Subscription {
		if err := entry.Do(ctx, http.MethodGet, "/v1/subscriptions/"+sub+"/status", nil, nil); err != nil {
			return err
		}
	}
	if c.Service != "" {
		if err := c.bookSlot(ctx, url); err != nil {
			return err
		}
	}
	if c.Model == "" {
		return nil
	}
	in := map[string]any{"prompt": "ready?", "maxTokens": 1}
	return entry.Do(ctx, http.MethodPost, "/v1/models/"+c.Model+"/generate", in, nil)
}

// bookSlot makes a test booking whose family and idempotency key are unique to the
// entry.
func (c *awaitCommand) bookSlot(ctx context.Context, url string) error {
	body := strings.NewReader(`{"slot":"ready","family":"` + url + `"}`)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url+"/v1/services/"+c.Service+"/bookings", body)
	if err != nil {
		return errors.Wrap(err, "creating a booking request")
	}
	req.Header.Set("Idempotency-Key", "ready-"+url)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return errors.Wrap(err, "booking")
	}
	defer resp.Body.Close()
	if resp.StatusCode/100 != 2 {
		return errors.Newf("booking failed with status %d", resp.StatusCode)
	}
	return nil
}

// retryUntil calls try until it succeeds or ctx ends, and then returns try's last
// error.
func retryUntil(ctx context.Context, try func() error) error {
	for {
		err := try()
		if err == nil {
			return nil
		}
		log.Debug("not ready, retrying", "err", err)
		select {
		case <-ctx.Done():
			return err
		case <-time.After(awaitInterval):
		}
	}
}
