// Package gossip spreads among the instances under which requests endpoints ended.
//
// What is new is told to some peers at once, and each passes on what it hadn't heard. What
// that misses, since instances were cut off, paused or have just started, shows as another
// digest in a peer's next sign of life; the two then exchange all that they know.
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

	// collect is how long news is gathered before it is told.
	collect = 20 * time.Millisecond
	// fanout is how many peers are told at once; each passes on what is new to it.
	fanout = 8
	// timeout bounds one call.
	timeout = 500 * time.Millisecond
	// allEvery bounds how often this instance exchanges all that it knows.
	allEvery = 500 * time.Millisecond
)

type (
	// Gossip tells peers what a guard knows. See New.
	Gossip struct {
		peers  peers
		guard  *guard.Guard
		logger *log.Logger
		// poll is the time between two questions to a peer whose digest nobody tells; 0 asks
		// none.
		poll time.Duration
		// differing has the last peer whose digest was another one.
		differing chan mesh.Node
	}

	// Option changes a Gossip as New makes it.
	Option func(*Gossip)

	// peers are the instances in touch, such as a *mesh.Mesh.
	peers interface {
		Self() mesh.Node
		Alive() []mesh.Node
		Client() *http.Client
	}

	message struct {
		From    string          `json:"from"`
		Records []strike.Record `json:"records,omitempty"`
		// All asks for everything that the other one knows, if its digest is another one.
		All    bool   `json:"all,omitempty"`
		Digest uint64 `json:"digest,omitempty"`
	}
)

// New returns the gossip of one instance.
//
//	g := gossip.New(mesh, guard, logger)
//	go g.Run(ctx)
func New(p peers, g *guard.Guard, logger *log.Logger, opts ...Option) *Gossip {
	out := &Gossip{peers: p, guard: g, logger: logger, differing: make(chan mesh.Node, 1)}
	for _, opt := range opts {
		opt(out)
	}
	return out
}

// WithPoll has a peer asked in such intervals what it knows, where signs of life carry no
// digest. The default asks none.
func WithPoll(every time.Duration) Option {
	return func(g *Gossip) { g.poll = every }
}

// Handler serves peers.
func (g *Gossip) Handler() (string, http.Handler) { return path, mesh.Handle(path, g.serve) }

func (g *Gossip) serve(_ context.Context, in *message) (*message, error) {
	g.guard.Take(in.Records, in.From)
	out := &message{From: g.peers.Self().Name}
	if in.All && in.Digest != g.guard.Digest() {
		out.Records = g.guard.Records()
	}
	return out, nil
}

// Told takes the digest that a peer has told. It never waits.
func (g *Gossip) Told(n mesh.Node, digest uint64) {
	if digest == g.guard.Digest() {
		return
	}
	select {
	case g.differing <- n:
	default: // another one is about to be asked
	}
}

// Run tells peers what is new until ctx ends.
func (g *Gossip) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { g.runAll(ctx) })
	defer wg.Wait()
	for {
		select {
		case <-ctx.Done():
			return
		case <-g.guard.Changed():
		}
		if !sleep.For(ctx, collect) {
			return
		}
		g.tell(ctx)
	}
}

// tell tells some peers what is new.
func (g *Gossip) tell(ctx context.Context) {
	records := g.guard.Fresh()
	if len(records) == 0 {
		return
	}
	peers := g.peers.Alive()
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	var wg sync.WaitGroup
	for _, n := range peers[:min(fanout, len(peers))] {
		wg.Go(func() { g.exchange(ctx, n, message{From: g.peers.Self().Name, Records: records}) })
	}
	wg.Wait()
}

// runAll exchanges everything with peers that know something else.
func (g *Gossip) runAll(ctx context.Context) {
	for {
		var poll <-chan time.Time
		if g.poll > 0 {
			poll = time.After(g.poll)
		}
		select {
		case <-ctx.Done():
			return
		case n := <-g.differing:
			g.exchangeAll(ctx, n)
		case <-poll:
			if peers := g.peers.Alive(); len(peers) > 0 {
				g.exchangeAll(ctx, peers[rand.IntN(len(peers))])
			}
		}
		if !sleep.For(ctx, allEvery) {
			return
		}
	}
}

func (g *Gossip) exchangeAll(ctx context.Context, n mesh.Node) {
	digest := g.guard.Digest()
	g.exchange(ctx, n, message{From: g.peers.Self().Name, Records: g.guard.Records(), All: true, Digest: digest})
}

func (g *Gossip) exchange(ctx context.Context, n mesh.Node, m message) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	res, err := mesh.Call[message, message](ctx, g.peers.Client(), n.Addr, path, &m)
	if err != nil {
		// Its digest will differ in its next sign of life.
		g.logger.Info("Crashes not told.", "peer", n.Name, "records", len(m.Records), "error", err)
		return
	}
	g.guard.Take(res.Records, res.From)
}
