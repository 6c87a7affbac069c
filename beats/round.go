package beats

import (
	"cmp"
	"context"
	"slices"
	"time"

	"connectrpc.com/connect"
	"github.com/lavendermux/lavendermux/hubsel"
	"github.com/lavendermux/lavendermux/insts"
	"github.com/lavendermux/lavendermux/rendez"
	"github.com/lavendermux/lavendermux/wire"
	"github.com/lavendermux/lavendermux/wire/wireconnect"
	"google.golang.org/protobuf/proto"
)

const (
	// callTimeout bounds the calls to one hub in a round.
	callTimeout = 2 * time.Second
	// nonHubBackoff is how long an entry that isn't a hub is skipped.
	nonHubBackoff = 2 * time.Second
	// maxAttempts bounds how many entries are called in one round, since a round over
	// many dead ones would delay the next heartbeat.
	maxAttempts = 4
	// minRelistDelay and maxRelistDelay bound the delay until the list is read again
	// when no hub was found; the delay doubles. The list lags, so an instance that
	// starts with the rest of a deployment often finds it empty and must not wait long;
	// while all entries are gone for minutes, not every instance may read the list each
	// second.
	minRelistDelay = time.Second
	maxRelistDelay = 15 * time.Second
	// maxDoublings bounds the doublings of that delay.
	maxDoublings = 4
	// normalJitter and failureJitter are the relative jitter of delays in normal
	// operation and after failures.
	normalJitter  = 0.1
	failureJitter = 0.5
)

// round sends a heartbeat to one hub, or to both if it is the first one or the state of
// the instance changed: an entry that is cut off from one hub must not keep sending
// work to an endpoint that drains.
func (c *Client) round(ctx context.Context) {
	c.readList(ctx)
	now := time.Now()
	c.refreshCandidates()
	if c.view != nil {
		c.view.Sweep(now)
	}
	req := c.nextRequest()
	want := 1
	if c.changed(req) {
		want = hubsPerDataCentre
	}
	reached := map[string]bool{}
	for range maxAttempts {
		target, ok := c.nextHub(reached)
		if !ok || len(reached) == want || ctx.Err() != nil {
			break
		}
		if c.beatTo(ctx, target, req) {
			reached[target.ID] = true
		}
	}
	if !c.config.Loaded() {
		c.loadConfig(ctx)
	}
	c.finishRound(len(reached))
}

// nextHub returns the hub that has waited longest for a heartbeat, so that neither of
// the two takes this instance for dead while the other one is being replaced.
func (c *Client) nextHub(reached map[string]bool) (insts.Instance, bool) {
	targets := slices.DeleteFunc(c.targets(time.Now()), func(i insts.Instance) bool { return reached[i.ID] })
	if len(targets) == 0 {
		return insts.Instance{}, false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.MinFunc(targets, func(a, b insts.Instance) int {
		return c.lastBeat[a.ID].Compare(c.lastBeat[b.ID])
	}), true
}

// targets returns the entries that are hubs as far as this instance knows: of its own
// data centre, else of another one of the region, else of any.
func (c *Client) targets(now time.Time) []insts.Instance {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, r := range c.hubOrders {
		order := slices.DeleteFunc(r.Available(now), func(i insts.Instance) bool {
			return now.Before(c.nonHubUntil[i.ID])
		})
		if len(order) > 0 {
			return order[:min(len(order), hubsPerDataCentre)]
		}
	}
	return nil
}

// beatTo sends a heartbeat to one entry and fetches what the hub has and this instance
// lacks. It reports whether the entry answered as hub.
func (c *Client) beatTo(ctx context.Context, target insts.Instance, req *wire.BeatRequest) bool {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	resp, err := c.peer(target).Beat(callCtx, connect.NewRequest(req))
	switch {
	case ctx.Err() != nil:
		return false
	case err != nil:
		c.markFailed(target)
		return false
	case !resp.Msg.GetHub():
		c.markNonHub(target)
		return false
	}
	c.markReachable(target)
	c.notifyLeaving(resp.Msg.GetLeaving())
	if n := resp.Msg.GetSiblings(); c.onSiblings != nil && n > 0 {
		c.onSiblings(n)
	}
	if c.config.Loaded() {
		c.fetchConfig(callCtx, target, resp.Msg)
	} else {
		c.loadConfirmed(callCtx, target)
	}
	c.readMembers(callCtx, target, resp.Msg)
	return true
}

// notifyLeaving calls onLeaving when a hub reports a change in the instance list.
func (c *Client) notifyLeaving(leaving bool) {
	if c.onLeaving == nil || leaving == c.leaving {
		return
	}
	c.leaving = leaving
	c.log.Info("leaving state of this instance changed in the instance list", "leaving", leaving)
	c.onLeaving(leaving)
	c.Wake()
}

// markFailed skips an entry that didn't answer, both as hub and in the order that
// determines whether this entry should act as hub.
func (c *Client) markFailed(target insts.Instance) {
	jitterFactor := c.jitterFactor(failureJitter)
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, r := range c.hubOrders {
		if r.Key() == target.DataCentre {
			r.MarkFailed(target.ID, time.Now(), jitterFactor)
		}
	}
}

// markNonHub skips an entry that answers but isn't a hub. It keeps its rank in the
// order, since it may only need a moment to start: otherwise all entries after it would
// start as hubs too.
func (c *Client) markNonHub(target insts.Instance) {
	until := time.Now().Add(c.jitter(nonHubBackoff, failureJitter))
	c.mu.Lock()
	defer c.mu.Unlock()
	c.nonHubUntil[target.ID] = until
}

func (c *Client) markReachable(target insts.Instance) {
	own, _ := identity(c.self())
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.nonHubUntil, target.ID)
	c.lastBeat[target.ID] = time.Now()
	for _, r := range c.hubOrders {
		r.MarkReachable(target.ID)
	}
	if target.ID != own {
		c.lastHubContact = time.Now()
	}
}

// fetchConfig updates the configuration to the hub's revision. The cache itself rejects
// older revisions, such as those of a hub that was cut off.
func (c *Client) fetchConfig(ctx context.Context, target insts.Instance, resp *wire.BeatResponse) {
	if resp.GetRevision() <= c.config.Revision() {
		return
	}
	before := c.config.Revision()
	req := connect.NewRequest(&wire.FetchRequest{AfterRevision: before})
	got, err := c.peer(target).Fetch(ctx, req)
	if err != nil {
		c.log.Warn("Configuration not fetched.", "hub", target.ID, "hubRevision", resp.GetRevision(), "revision", before, "error", err)
		return
	}
	if c.config.Apply(got.Msg) {
		c.log.Info("Configuration updated.", "source", target.ID, "before", before, "revision", got.Msg.GetRevision())
	}
}

// readMembers updates the membership from one of the two hubs, always the same one
// while it answers: versions of two hubs can't be compared, and alternating would
// transfer the full table each time. Half of the instances read from each hub.
func (c *Client) readMembers(ctx context.Context, target insts.Instance, resp *wire.BeatResponse) {
	if c.view == nil || !c.readsMembersFrom(target) {
		return
	}
	version, boot := c.view.Cursor()
	if version == resp.GetTableVersion() && boot == resp.GetBoot() {
		return
	}
	req := connect.NewRequest(&wire.MembersRequest{AfterVersion: version, Boot: boot})
	if got, err := c.peer(target).Members(ctx, req); err == nil {
		c.view.Apply(time.Now(), got.Msg)
	}
}

func (c *Client) readsMembersFrom(target insts.Instance) bool {
	targets := c.targets(time.Now())
	if len(targets) == 0 {
		return true
	}
	own, _ := identity(c.self())
	if i := slices.IndexFunc(targets, func(i insts.Instance) bool { return i.ID == own }); i >= 0 {
		return target.ID == own
	}
	index := int(rendez.Fraction("follow", own) * float64(len(targets)))
	return targets[index].ID == target.ID
}

// nextRequest returns the next heartbeat.
func (c *Client) nextRequest() *wire.BeatRequest {
	req := c.self()
	req.Revision = c.config.Revision()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sequence++
	req.Sequence = c.sequence
	return req
}

// changed reports whether the instance's state differs from the last heartbeat, apart
// from load and revision.
func (c *Client) changed(req *wire.BeatRequest) bool {
	plain := proto.CloneOf(req)
	plain.Sequence, plain.Revision = 0, 0
	if plain.GetEndpoint() != nil {
		plain.GetEndpoint().Load = nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	same := c.lastRequest != nil && proto.Equal(c.lastRequest, plain)
	c.lastRequest = plain
	return !same
}

// finishRound records how many hubs answered in the round.
func (c *Client) finishRound(reached int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.firstRoundDone = true
	if reached > 0 {
		c.failedRounds = 0
		return
	}
	c.lastRequest = nil
	c.failedRounds++
	c.advanceRelist(time.Now().Add(c.relistWait()))
}

// relistWait returns the delay until the list is read again after rounds without a hub.
// The caller holds c.mu.
func (c *Client) relistWait() time.Duration {
	wait := min(minRelistDelay<<min(c.failedRounds, maxDoublings), maxRelistDelay)
	return time.Duration(float64(wait) * (1 + failureJitter*(2*c.rand.Float64()-1)))
}

// advanceRelist moves the next reading of the list forward to at, if that is earlier.
// The caller holds c.mu.
func (c *Client) advanceRelist(at time.Time) {
	if at.Before(c.relistAt) {
		c.relistAt = at
	}
}

// readList reads the instance list when it is due. On failure the previous list is
// kept.
func (c *Client) readList(ctx context.Context) {
	now := time.Now()
	c.mu.Lock()
	due := !now.Before(c.relistAt)
	c.mu.Unlock()
	if !due {
		return
	}
	listed, err := c.list(ctx)
	wait := c.jitter(c.relist, normalJitter)
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil {
		wait = c.relistWait()
	}
	c.relistAt = time.Now().Add(wait)
	if err == nil {
		c.listedEntries = slices.DeleteFunc(listed, func(i insts.Instance) bool { return i.Role != insts.RoleEntry })
		c.listed = slices.DeleteFunc(slices.Clone(c.listedEntries), func(i insts.Instance) bool {
			return i.State == insts.StateLeaving
		})
		c.candidatesUntil = time.Time{}
	}
}

// refreshCandidates updates the hub candidates: the own data centre first, then those
// of the region, then the others. If this instance is an entry it is a candidate
// itself, even if the list doesn't have it yet.
func (c *Client) refreshCandidates() {
	_, own := identity(c.self())
	candidates := append(slices.Clone(c.Candidates()), own)
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.hubOrders) == 0 {
		c.hubOrders = append(c.hubOrders, hubsel.New(own.DataCentre))
	}
	known := map[string]bool{}
	for _, r := range c.hubOrders {
		known[r.Key()] = true
	}
	added := []insts.Instance{}
	for _, i := range candidates {
		if i.Role == insts.RoleEntry && !known[i.DataCentre] {
			known[i.DataCentre] = true
			added = append(added, i)
		}
	}
	slices.SortFunc(added, func(a, b insts.Instance) int { return cmp.Compare(a.DataCentre, b.DataCentre) })
	for _, i := range added {
		c.hubOrders = append(c.hubOrders, hubsel.New(i.DataCentre))
		if i.Region == own.Region {
			last := len(c.hubOrders) - 1
			c.hubOrders = slices.Insert(c.hubOrders[:last], 1, c.hubOrders[last])
		}
	}
	for _, r := range c.hubOrders {
		r.Set(candidates)
	}
}

func (c *Client) peer(target insts.Instance) peer {
	own, _ := identity(c.self())
	if c.local != nil && target.ID == own {
		return c.local
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.peers[target.Address]
	if p == nil {
		p = wireconnect.NewPeerServiceClient(c.http, "http://"+target.Address)
		c.peers[target.Address] = p
	}
	return p
}
