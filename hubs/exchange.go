package hubs

import (
	"context"
	"sync"
	"time"

	"connectrpc.com/connect"

	"github.com/lavendermux/lavendermux/hubsel"
	"github.com/lavendermux/lavendermux/insts"
	"github.com/lavendermux/lavendermux/rendez"
	"github.com/lavendermux/lavendermux/sleep"
	"github.com/lavendermux/lavendermux/wire"
)

const (
	// hubsPerDataCentre is how many entries of a data centre act as hub.
	hubsPerDataCentre = 2
	// nonHubBackoff is how long an entry that isn't a hub is skipped.
	nonHubBackoff = 4 * time.Second
	// maxAttempts bounds how many entries of a data centre are called in one round.
	maxAttempts = 3
)

// exchangeLoop sends heartbeats to one hub of each other data centre until ctx ends.
func (h *Hub) exchangeLoop(ctx context.Context) {
	orders := map[string]*hubsel.Candidates{}
	for sleep.For(ctx, h.jitter(h.interval, normalJitter)) {
		h.refreshCandidates(orders)
		var round sync.WaitGroup
		for _, r := range orders {
			round.Go(func() { h.exchange(ctx, r) })
		}
		round.Wait()
	}
}

// refreshCandidates updates the hub candidates of the other data centres.
func (h *Hub) refreshCandidates(orders map[string]*hubsel.Candidates) {
	candidates := h.candidates()
	own := h.self().GetDataCentre()
	for _, c := range candidates {
		if c.DataCentre != own && c.Role == insts.RoleEntry && orders[c.DataCentre] == nil {
			orders[c.DataCentre] = hubsel.New(c.DataCentre)
		}
	}
	for _, r := range orders {
		r.Set(candidates)
	}
}

// exchange calls the entries of one data centre in order until one answers as hub. The
// two hubs of a data centre start with different entries, so that the hubs of the fleet
// don't all call the same one.
func (h *Hub) exchange(ctx context.Context, r *hubsel.Candidates) {
	order := r.Available(time.Now())
	if len(order) >= hubsPerDataCentre && rendez.Fraction(h.self().GetInstance(), order[0].DataCentre) < 1.0/hubsPerDataCentre {
		order[0], order[1] = order[1], order[0]
	}
	for _, c := range order[:min(len(order), maxAttempts)] {
		resp, err := h.beatTo(ctx, c)
		if err == nil && resp.GetHub() {
			r.MarkReachable(c.ID)
			h.syncFrom(ctx, c, resp)
			return
		}
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			r.MarkFailed(c.ID, time.Now(), h.jitterFactor(failureJitter))
			continue
		}
		r.SkipUntil(c.ID, time.Now().Add(h.jitter(nonHubBackoff, failureJitter)))
	}
}

func (h *Hub) beatTo(ctx context.Context, c insts.Instance) (*wire.BeatResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	h.mu.Lock()
	if h.table == nil {
		h.mu.Unlock()
		return nil, errNotHub
	}
	digest := h.table.Digest(time.Now())
	h.mu.Unlock()
	req := connect.NewRequest(&wire.BeatRequest{Revision: h.config.Revision(), Digest: digest})
	resp, err := h.peer(c.Address).Beat(ctx, req)
	if err != nil {
		return nil, err
	}
	return resp.Msg, nil
}

// syncFrom fetches what another hub has and this one lacks.
func (h *Hub) syncFrom(ctx context.Context, c insts.Instance, resp *wire.BeatResponse) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	// The first configuration comes from the store, or from the heartbeat client once it is
	// proved: the other hub may have been cut off itself.
	if h.config.Loaded() && resp.GetRevision() > h.config.Revision() {
		h.fetchConfig(ctx, c)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.table == nil {
		return
	}
	if resp.GetDigest() != nil {
		h.table.SetDigest(resp.GetDigest())
	}
	version, boot := h.table.Cursor(c.DataCentre)
	if version == resp.GetTableVersion() && boot == resp.GetBoot() {
		h.table.MarkReachable(time.Now(), c.DataCentre)
		return
	}
	h.mu.Unlock()
	got, err := h.peer(c.Address).Members(ctx, connect.NewRequest(&wire.MembersRequest{
		AfterVersion: version, Boot: boot, DataCentre: c.DataCentre,
	}))
	h.mu.Lock()
	if err == nil && h.table != nil {
		h.table.Merge(time.Now(), c.DataCentre, got.Msg)
	}
}

// fetchConfig fetches the changes that another hub has and this one lacks.
func (h *Hub) fetchConfig(ctx context.Context, c insts.Instance) {
	before := h.config.Revision()
	got, err := h.peer(c.Address).Fetch(ctx, connect.NewRequest(&wire.FetchRequest{AfterRevision: before}))
	if err != nil {
		h.log.Warn("Configuration not fetched.", "hub", c.ID, "revision", before, "error", err)
		return
	}
	if h.config.Apply(got.Msg) {
		h.log.Info("Configuration updated.", "source", c.ID, "before", before, "revision", got.Msg.GetRevision())
	}
}
