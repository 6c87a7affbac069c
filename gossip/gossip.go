// Package gossip spreads the strikes against poison requests among instances, with a push
// of changes and anti-entropy.
//
// Changes are pushed to a few peers at once, and each passes on what was new to it. What
// this misses, because instances were cut off, paused or have just started, shows as a
// different digest in a peer's next heartbeat; the two then exchange all records.
package gossip

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"github.com/lavendermux/lavendermux/guard"
	"github.com/lavendermux/lavendermux/mesh"
	"github.com/lavendermux/lavendermux/sleep"
	"github.com/lavendermux/lavendermux/strike"
)

const (
	path = "/lavendermux.Gossip/Exchange"

	// batchDelay is how long changes are gathered before they are sent.
	batchDelay = 20 * time.Millisecond
	// fanOut is how many peers get a change at once; each passes on what is new to it.
	fanOut = 8
	// callTimeout bounds one call.
	callTimeout = 500 * time.Millisecond
	// exchangeInterval is the shortest time between two full exchanges that this instance
	// starts.
	exchangeInterval = 500 * time.Millisecond
)

type (
	// Agent exchanges the strikes of a guard with peers. See New.
	Agent struct {
		peers  peers
		guard  *guard.Tracker
		logger *log.Logger
		// poll is the time between full exchanges with a random peer, for deployments whose
		// heartbeats carry no digest; 0 turns them off.
		poll time.Duration
		// outOfSync has a peer with a different digest, due for a full exchange.
		outOfSync chan mesh.Node
	}

	// Option configures an [Agent]; see New.
	Option func(*Agent)

	// peers are the reachable instances, such as a *mesh.Mesh.
	peers interface {
		Self() mesh.Node
		Alive() []mesh.Node
		Client() *http.Client
	}

	message struct {
		From    string          `json:"from"`
		Records []strike.Record `json:"records,omitempty"`
		// All asks for all records of the receiver, if its digest differs.
		All    bool   `json:"all,omitempty"`
		Digest uint64 `json:"digest,omitempty"`
	}
)

// New returns the gossip agent of one instance.
//
//	g := gossip.New(mesh, guard, logger)
//	go g.Run(ctx)
func New(p peers, g *guard.Tracker, logger *log.Logger, opts ...Option) *Agent {
	out := &Agent{peers: p, guard: g, logger: logger, outOfSync: make(chan mesh.Node, 1)}
	for _, opt := range opts {
		opt(out)
	}
	return out
}

// WithPollInterval sets the interval of full exchanges with a random peer, for use where heartbeats
// carry no digest. By default there are none.
func WithPollInterval(every time.Duration) Option {
	return func(g *Agent) { g.poll = every }
}

// Handler returns the path and the handler of calls from peers.
func (g *Agent) Handler() (string, http.Handler) { return path, mesh.Handle(path, g.serve) }

func (g *Agent) serve(_ context.Context, in *message) (*message, error) {
	g.guard.MergeRecords(in.Records, in.From)
	out := &message{From: g.peers.Self().Name}
	if in.All && in.Digest != g.guard.Digest() {
		out.Records = g.guard.Records()
	}
	return out, nil
}

// ObserveDigest compares the digest in a peer's heartbeat, and schedules a full exchange if it
// differs. It never blocks.
func (g *Agent) ObserveDigest(n mesh.Node, digest uint64) {
	if digest == g.guard.Digest() {
		return
	}
	select {
	case g.outOfSync <- n:
	default: // another exchange is already due
	}
}

// Run sends changes to peers until ctx ends.
func (g *Agent) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { g.syncAll(ctx) })
	defer wg.Wait()
	for {
		select {
		case <-ctx.Done():
			return
		case <-g.guard.Changed():
		}
		if !sleep.For(ctx, batchDelay) {
			return
		}
		g.sendChanges(ctx)
	}
}

// sendChanges sends the changed records to some peers.
func (g *Agent) sendChanges(ctx context.Context) {
	records := g.guard.DrainChanged()
	if len(records) == 0 {
		return
	}
	peers := g.peers.Alive()
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	var wg sync.WaitGroup
	for _, n := range peers[:min(fanOut, len(peers))] {
		wg.Go(func() { g.exchange(ctx, n, message{From: g.peers.Self().Name, Records: records}) })
	}
	wg.Wait()
}

// syncAll exchanges all records with peers whose digest differs, or that are polled.
func (g *Agent) syncAll(ctx context.Context) {
	for {
		var poll <-chan time.Time
		if g.poll > 0 {
			poll = time.After(g.poll)
		}
		select {
		case <-ctx.Done():
			return
		case n := <-g.outOfSync:
			g.exchangeAll(ctx, n)
		case <-poll:
			if peers := g.peers.Alive(); len(peers) > 0 {
				g.exchangeAll(ctx, peers[rand.IntN(len(peers))])
			}
		}
		if !sleep.For(ctx, exchangeInterval) {
			return
		}
	}
}

func (g *Agent) exchangeAll(ctx context.Context, n mesh.Node) {
	digest := g.guard.Digest()
	g.exchange(ctx, n, message{From: g.peers.Self().Name, Records: g.guard.Records(), All: true, Digest: digest})
}

func (g *Agent) exchange(ctx context.Context, n mesh.Node, m message) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	res, err := mesh.Call[message, message](ctx, g.peers.Client(), n.Addr, path, &m)
	if err != nil {
		// The peer's digest will differ in its next heartbeat.
		g.logger.Info("Strikes not sent to peer.", "peer", n.Name, "records", len(m.Records), "error", err)
		return
	}
	g.guard.MergeRecords(res.Records, res.From)
}
