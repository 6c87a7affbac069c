package beats

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/lavendermux/lavendermux/insts"
	"github.com/lavendermux/lavendermux/quorum"
)

const (
	// readTimeout bounds a quorum read, which delays the next heartbeat; voterTimeout bounds
	// the call to one entry, so that some that are dead leave time for the others.
	readTimeout  = 2 * time.Second
	voterTimeout = 500 * time.Millisecond
	// readParallel bounds the concurrent calls of a quorum read.
	readParallel = 64
	// sampleSize is the number of entries that are asked first.
	sampleSize = 8
)

// QuorumRead asks all other entries that are known for a number that only grows, such as a
// revision or a fencing token. All are asked, even when a quorum has answered, since the
// greatest one may be known to fewer entries than a majority while the others are cut off.
// If fewer than half of a first few answer, as when all instances have just started, the others
// are spared: a quorum is unlikely, and in a large fleet the calls of all instances would exceed
// what a hub may send.
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
	others := slices.Collect(maps.Values(entries)) // in random order
	sample := min(len(others), sampleSize)
	askAll(ctx, others[:sample], read, ask)
	if 2*read.Answers() >= sample {
		askAll(ctx, others[sample:], read, ask)
	}
	return read
}

// askAll asks entries at the same time and adds their answers to read.
func askAll(
	ctx context.Context, entries []insts.Instance, read *quorum.Read,
	ask func(ctx context.Context, entry insts.Instance) (int64, error),
) {
	var (
		mu    sync.Mutex
		calls sync.WaitGroup
	)
	slots := make(chan struct{}, readParallel)
	for _, entry := range entries {
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
			read.Add(entry.ID, n)
		})
	}
	calls.Wait()
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
