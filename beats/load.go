package beats

import (
	"context"
	"math"

	"connectrpc.com/connect"

	"github.com/lavendermux/lavendermux/insts"
	"github.com/lavendermux/lavendermux/wire"
)

// revisionOnly requests the changes after the highest possible revision, so that the response
// holds the peer's revision and no resources.
const revisionOnly = math.MaxInt64

// loadConfirmed loads the first configuration from a hub that confirms it with the
// metadata store.
func (c *Client) loadConfirmed(ctx context.Context, hub insts.Instance) {
	resp, err := c.fetchFrom(ctx, hub, &wire.FetchRequest{Confirm: true})
	if err != nil || !resp.GetConfirmed() || !resp.GetWhole() {
		c.log.Info("Configuration of a hub not confirmed by the metadata store.",
			"hub", hub.ID, "revision", resp.GetRevision(), "error", err)
		return
	}
	c.applyFirst(resp, "source", hub.ID, "proof", "keyValue")
}

// loadConfig loads the first configuration while no hub can confirm one: the newest that
// is in use on a quorum of the entries. A single peer proves nothing, since it may have
// been cut off while a later revision came into force.
func (c *Client) loadConfig(ctx context.Context) {
	read := c.QuorumRead(ctx, c.askRevision)
	source, revision, ok := read.Result()
	if !ok {
		c.log.Warn("No configuration proved current; requests are rejected.",
			"answers", read.Answers(), "needed", read.Needed(), "entries", read.Voters())
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	resp, err := c.fetchFrom(ctx, c.knownEntries()[source], &wire.FetchRequest{})
	if err != nil || resp.GetRevision() < revision || !resp.GetWhole() {
		c.log.Warn("Configuration not fetched.", "source", source, "sourceRevision", revision,
			"revision", resp.GetRevision(), "error", err)
		return
	}
	c.applyFirst(resp, "source", source, "proof", "quorum", "answers", read.Answers(), "entries", read.Voters())
}

// askRevision returns the revision that an entry uses.
func (c *Client) askRevision(ctx context.Context, entry insts.Instance) (int64, error) {
	resp, err := c.fetchFrom(ctx, entry, &wire.FetchRequest{AfterRevision: revisionOnly})
	return resp.GetRevision(), err
}

func (c *Client) fetchFrom(ctx context.Context, from insts.Instance, req *wire.FetchRequest) (*wire.FetchResponse, error) {
	resp, err := c.peer(from).Fetch(ctx, connect.NewRequest(req))
	if err != nil {
		return nil, err
	}
	return resp.Msg, nil
}

// applyFirst applies the first configuration. Proof are the fields of the log line that
// tell why it is current.
func (c *Client) applyFirst(resp *wire.FetchResponse, proof ...any) {
	c.config.Apply(resp)
	c.log.Info("Configuration loaded.", append([]any{"revision", resp.GetRevision()}, proof...)...)
}
