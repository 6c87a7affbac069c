package node

import (
	"context"

	"github.com/lavendermux/lavendermux/endpt"
	"github.com/lavendermux/lavendermux/guard"
	"github.com/lavendermux/lavendermux/poison"
	"github.com/lavendermux/lavendermux/rendez"
	"github.com/lavendermux/lavendermux/reqfp"
)

// maxRetryTurns bounds the number of turns for retries of a quarantined request. In a large
// fleet several instances share a turn; otherwise a caller would hardly ever reach the
// instance whose turn it is.
const maxRetryTurns = 8

// newPoisonTracker returns the tracker of poison requests.
func (n *Node) newPoisonTracker() *guard.Tracker {
	return guard.New(n.logger, n.meter, guard.WithProbe(n.adapters.Closed), guard.WithLookup(n.lookupEndpoint),
		guard.WithSync(func(ctx context.Context, p reqfp.Fingerprint) { n.qstore.SyncIfPartitioned(ctx, p) }),
		guard.WithTableOptions(poison.WithRetryTurns(n.retryTurn)))
}

// lookupEndpoint reports whether an incarnation of an endpoint is known, and whether it is
// leaving.
func (n *Node) lookupEndpoint(e endpt.Endpoint) (ok, leaving bool) {
	v, ok := n.state.Registry.Lookup(e)
	return ok, v.Draining
}

// retryTurn returns the turn, out of turns, in which this instance may retry a quarantined
// request.
func (n *Node) retryTurn(p reqfp.Fingerprint) (turn, turns int) {
	names := []string{n.cfg.Instance}
	for _, peer := range n.mesh.Alive() {
		if peer.Plans {
			names = append(names, peer.Name)
		}
	}
	turns = min(len(names), maxRetryTurns)
	return rendez.Rank(p.String(), names, n.cfg.Instance) % turns, turns
}
