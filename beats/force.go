package beats

import (
	"context"
	"time"

	"connectrpc.com/connect"
	"github.com/lavendermux/lavendermux/spread"
	"github.com/lavendermux/lavendermux/wire"
)

const (
	// digestsKeep is how long an answer about who has which configuration is used
	// again: an operator's tooling may ask for every resource at once.
	digestsKeep = time.Second
	// digestsTimeout bounds the question to a hub.
	digestsTimeout = time.Second
	// maxLagging bounds how many instances that lag are named.
	maxLagging = 10
)

// InForce reports on how many instances of the fleet a revision is in force. It
// asks a hub, at most once a second; when none answers, the report is as old as
// its AsOf says.
func (c *Client) InForce(revision int64) spread.Report {
	ctx, cancel := context.WithTimeout(context.Background(), digestsTimeout)
	defer cancel()
	c.mu.Lock()
	fresh := time.Since(c.digestsAt) < digestsKeep
	c.mu.Unlock()
	if !fresh {
		c.readDigests(ctx)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return report(c.digests, revision)
}

// readDigests asks the hubs in turn. The version of the own copy goes along, so
// that the answer holds little beside the digests; what it holds is passed over,
// the next beat brings it.
func (c *Client) readDigests(ctx context.Context) {
	req := &wire.MembersRequest{}
	if c.view != nil {
		req.AfterVersion, req.Boot = c.view.Cursor()
	}
	for _, t := range c.targets(time.Now()) {
		resp, err := c.peer(t).Members(ctx, connect.NewRequest(req))
		if err != nil {
			continue
		}
		c.mu.Lock()
		c.digests, c.digestsAt = resp.Msg.GetDigests(), time.Now()
		c.mu.Unlock()
		return
	}
}

func report(digests []*wire.DataCentreDigest, revision int64) spread.Report {
	out := spread.Report{Lagging: []string{}}
	for _, d := range digests {
		asOf := time.UnixMilli(d.GetAsOfUnixMs())
		if out.AsOf.IsZero() || asOf.Before(out.AsOf) {
			out.AsOf = asOf
		}
		for _, n := range d.GetCounts() {
			out.Of += int(n.GetInstances())
			if n.GetRevision() >= revision {
				out.Instances += int(n.GetInstances())
				continue
			}
			room := max(0, maxLagging-len(out.Lagging))
			out.Lagging = append(out.Lagging, n.GetExamples()[:min(room, len(n.GetExamples()))]...)
		}
	}
	return out
}
