package beats

import (
	"context"
	"maps"
	"math"
	"slices"
	"sync"
	"time"

	"connectrpc.com/connect"

	"github.com/lavendermux/lavendermux/insts"
	"github.com/lavendermux/lavendermux/quorum"
	"github.com/lavendermux/lavendermux/wire"
)

const (
	// readTimeout bounds a quorum read, which delays the next heartbeat; voterTimeout bounds
	// the call to one entry, so that some that are dead leave time for the others.
	readTimeout  = 2 * time.Second
	voterTimeout = 500 * time.Millisecond
	// readParallel bounds the concurrent calls of a quorum read.
	readParallel = 64
	// revisionOnly requests the changes after the highest possible revision, so that the
	// response holds the peer's revision and no resources.
	revisionOnly = math.MaxInt64
)

// loadConfirmed loads the first configuration from a hub that confirms it with the
// metadata store.
func (c *Client) loadConfirmed(ctx context.Context, hub insts.Instance) {
	resp, err := c.fetchFrom(ctx, hub, &wire.FetchRequest{Confirm: true})
	if err != nil || !resp.GetConfirmed() {
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
	if err != nil || resp.GetRevision() < revision {
		c.log.Warn("Configuration not fetched.", "source", source, "sourceRevision", revision,
			"revision", resp.GetRevision(), "error", err)
		return
	}
	c.applyFirst(resp, "source", source, "proof", "quorum", "answers", read.Answers(), "entries", read.Voters())
}

// QuorumRead asks all other entries that are known for a number that only grows, such as a
// revision or a fencing token. All are asked, even when a quorum has answered, since the
// greatest one may be known to fewer entries than a majority while the others are cut off.
//
//	read := c.QuorumRead(ctx, askRevision)
//	source, revision, ok := read.Result()
func (c *Client) QuorumRead(
	ctx context.Context, ask func(ctx context.Context, entry insts.Instance) (int64, error),
) *quorum.Read {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	entries := c.knownEntries()
	read := quorum.New(slices.Collect(maps.Keys(entries)))
	own, _ := identity(c.self())
	delete(entries, own)
	var (
		mu    sync.Mutex
		calls sync.WaitGroup
	)
	slots := make(chan struct{}, readParallel)
	for id, entry := range entries {
		calls.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			ctx, cancel := context.WithTimeout(ctx, voterTimeout)
			defer cancel()
			n, err := ask(ctx, entry)
			if err != nil {
				return // A missing answer; the result counts those that came.
			}
			mu.Lock()
			defer mu.Unlock()
			read.Add(id, n)
		})
	}
	calls.Wait()
	return read
}

// askRevision returns the revision that an entry uses.
func (c *Client) askRevision(ctx context.Context, entry insts.Instance) (int64, error) {
	resp, err := c.fetchFrom(ctx, entry, &wire.FetchRequest{AfterRevision: revisionOnly})
	return resp.GetRevision(), err
}

// knownEntries returns all entries, by ID, that may have had a configuration in use: those
// of the instance list, leaving ones too, of the membership, and this one if it is an
// entry.
func (c *Client) knownEntries() map[string]insts.Instance {
	c.mu.Lock()
	listed := c.listedEntries
	c.mu.Unlock()
	entries := make(map[string]insts.Instance)
	for _, i := range listed {
		entries[i.ID] = i
	}
	if c.view != nil {
		for _, e := range c.view.Entries() {
			entries[e.GetInstance()] = entryInstance(e)
		}
	}
	if id, own := identity(c.self()); own.Role == insts.RoleEntry {
		entries[id] = own
	}
	return entries
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
