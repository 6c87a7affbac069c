package entry

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lavendermux/lavendermux/fault"
	"github.com/lavendermux/lavendermux/keyval"
	"github.com/lavendermux/lavendermux/kvst"
	"github.com/lavendermux/lavendermux/mesh"
	"github.com/lavendermux/lavendermux/record"
)

// gossipPollInterval is how often another entry instance is queried for poison
// requests, so that an instance that was partitioned or has just started learns of
// them soon.
const gossipPollInterval = time.Second

type (
	// gossipPeers is the gossip membership of the entry instances.
	gossipPeers struct {
		entry *Entry
	}

	// storeAdapter adapts the client of the metadata store to kvst. It commits one key
	// at a time.
	storeAdapter struct {
		kv *keyval.Client
	}
)

// Self returns this instance.
func (n *gossipPeers) Self() mesh.Node {
	return mesh.Node{Name: n.entry.cfg.Instance, Addr: n.entry.cfg.PeerListen}
}

// Alive returns the other live entry instances that are not leaving.
func (n *gossipPeers) Alive() []mesh.Node {
	var out []mesh.Node
	for _, e := range n.entry.view.Entries() {
		if e.GetInstance() != n.entry.cfg.Instance && !e.GetLeaving() && !e.GetGone() {
			out = append(out, mesh.Node{Name: e.GetInstance(), Addr: e.GetAddress()})
		}
	}
	return out
}

// Client returns the HTTP client for the peers.
func (n *gossipPeers) Client() *http.Client { return n.entry.net.PeerClient() }

// Get returns the item of key, with revision 0 if it does not exist.
func (s *storeAdapter) Get(ctx context.Context, key string) (kvst.Item, error) {
	rec, err := s.kv.Get(ctx, key)
	var missing *fault.NotFoundError
	if errors.As(err, &missing) {
		return kvst.Item{Key: key}, nil
	}
	return item(rec), err
}

// List returns the items with prefix and the revision of the store.
func (s *storeAdapter) List(ctx context.Context, prefix string) ([]kvst.Item, int64, error) {
	recs, revision, err := s.kv.List(ctx, prefix)
	items := make([]kvst.Item, len(recs))
	for i, rec := range recs {
		items[i] = item(rec)
	}
	return items, revision, err
}

// Commit puts or removes one key if it has the expected revision.
func (s *storeAdapter) Commit(ctx context.Context, t kvst.Txn) (revision int64, err error) {
	switch {
	case len(t.Puts) == 1 && len(t.Remove) == 0:
		p := t.Puts[0]
		revision, err = s.kv.Put(ctx, p.Key, p.Value, t.Expect[p.Key], 0)
	case len(t.Puts) == 0 && len(t.Remove) == 1:
		err = s.kv.Delete(ctx, t.Remove[0], t.Expect[t.Remove[0]])
	default:
		return 0, errors.Newf("%d puts and %d removals in one write; want one of either", len(t.Puts), len(t.Remove))
	}
	var conflict *fault.ConflictError
	if errors.As(err, &conflict) {
		return 0, &kvst.ConflictError{Current: []kvst.Item{{Key: conflict.Key, Revision: conflict.Revision}}}
	}
	return revision, err
}

func item(rec record.Record) kvst.Item {
	return kvst.Item{Key: rec.Key, Value: rec.Value, Revision: rec.Revision}
}
