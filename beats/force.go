package beats

import (
	"context"
	"time"

	"connectrpc.com/connect"
	"github.com/lavendermux/lavendermux/spread"
	"github.com/lavendermux/lavendermux/wire"
)

const (
	// digestsTTL is how long the digests of applied revisions are reused: an operator's
	// tooling may ask for every resource at once.
	digestsTTL = time.Second
	// digestsTimeout bounds the reading of digests from the hubs.
	digestsTimeout = time.Second
)

// InForce reports on how many instances of the fleet a revision is in force. It asks a
// hub at most once a second; when none answers, the report is as old as its AsOf says.
func (c *Client) InForce(revision int64) spread.Report {
	ctx, cancel := context.WithTimeout(context.Background(), digestsTimeout)
	defer cancel()
	c.mu.Lock()
	fresh := time.Since(c.digestsAt) < digestsTTL
	c.mu.Unlock()
	if !fresh {
		c.readDigests(ctx)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.inForce.Report(c.digests, revision, time.Now())
}

// readDigests asks the hubs in turn. The request carries the version of the local
// membership view, so that the response holds little beside the digests; any members in
// it are ignored, as the next heartbeat brings them.
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
