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
	return c.inForce.Report(c.digests, revision, time.Now())
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
