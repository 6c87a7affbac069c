// Package mesh keeps the instances of a deployment in touch with each other.
//
// Each instance announces itself once in the metadata store and then asks its
// peers for a sign of life directly. Whoever answered a moment ago is alive; no
// lease has to be kept, and an outage of the store changes nothing. Being wrong
// about a peer is safe: what has to be exclusive is fenced in the store.
package mesh

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"

	"github.com/lavendermux/lavendermux/kvst"
	"github.com/lavendermux/lavendermux/sleep"
)

const (
	// prefix holds one key for each instance.
	prefix = "lavendermux/nodes/"

	// pingEvery and aliveFor: an instance counts as lost after three missed
	// signs of life. A result that a trainer waits for is then about a second
	// late, a twelfth of its patience.
	pingEvery = 350 * time.Millisecond
	aliveFor  = 1200 * time.Millisecond
	// pingPerPeer bounds what an instance spends on its peers: some 70 questions
	// a second, asked or answered, from 24 peers on.
	pingPerPeer = 15 * time.Millisecond
	// pingTimeout bounds one question; a peer answers within milliseconds.
	pingTimeout = 800 * time.Millisecond
	// settleTime is how long after its registration an instance knows which peers
	// live: they answer within a round trip.
	settleTime = 200 * time.Millisecond
	// forgetAfter drops a peer that was replaced.
	forgetAfter = 30 * time.Second
	// listRetry is the pause after a failed registration.
	listRetry = 400 * time.Millisecond

	pingPath = "/lavendermux.Mesh/Ping"
)

type (
	// Mesh is the peers of one instance. See New.
	Mesh struct {
		self   Node
		client *http.Client
		logger *log.Logger
		status func() Status

		mu    sync.Mutex
		peers map[string]*peer
		lost  func(Node, Status)
		told  func(Node, Status)
		// settled is closed once the peers that live are known.
		settled chan struct{}
	}

	// Option changes a Mesh as New makes it.
	Option func(*Mesh)

	// Node is one boot of an instance.
	Node struct {
		Name string `json:"name"`
		Addr string `json:"addr"`
		// Boot is another one after each start.
		Boot string `json:"boot"`
		// Plans marks instances that plan which engine loads what.
		Plans bool `json:"plans"`
		// Power is the machine's share of a processor.
		Power float64 `json:"power"`
	}

	peer struct {
		Node
		heard time.Time
		alive bool
		Status
		cancel context.CancelFunc
	}

	pingRequest struct {
		From   Node   `json:"from"`
		Status Status `json:"status"`
	}

	// Status is what an instance tells its peers about itself.
	Status struct {
		// Holding are the submissions that are open here, each with the epoch
		// of its record.
		Holding map[string]int64 `json:"holding"`
		// Ages has how long ago each of them was accepted, in milliseconds.
		Ages map[string]int64 `json:"ages,omitempty"`
		// Demand is the work of the newest submission of each model, in tokens.
		Demand map[string]float64 `json:"demand,omitempty"`
		// Reaches says that the metadata store can be reached from here.
		Reaches bool `json:"reaches"`
		// Strained instances are short of processor time.
		Strained bool `json:"strained,omitempty"`
		// Stopping instances take no new work.
		Stopping bool `json:"stopping"`
	}

	pingResponse struct {
		Node   Node   `json:"node"`
		Status Status `json:"status"`
	}
)

// Holder is how the node is named in records: by name and boot.
func (n Node) Holder() string { return n.Name + "/" + n.Boot }

// New returns a mesh; Run keeps it in touch.
//
//	m := mesh.New(self, client, logger, mesh.WithLost(takeOver))
//	go m.Run(ctx, store)
func New(self Node, client *http.Client, logger *log.Logger, opts ...Option) *Mesh {
	m := &Mesh{
		self:   self,
		client: client,
		logger: logger,
		peers:  make(map[string]*peer),
		status: func() Status { return Status{} },
		lost:   func(Node, Status) {},
		told:   func(Node, Status) {},

		settled: make(chan struct{}),
	}
	for _, opt := range opts {
		opt(m)
	}
	return m
}

// WithStatus has f asked for what peers are told. The default tells nothing.
func WithStatus(f func() Status) Option {
	return func(m *Mesh) { m.status = f }
}

// WithLost is called when a peer is lost or has started again, with what it told
// last. The default does nothing.
func WithLost(f func(n Node, last Status)) Option {
	return func(m *Mesh) { m.lost = f }
}

// WithTold is called with all that peers tell. The default does nothing.
func WithTold(f func(n Node, s Status)) Option {
	return func(m *Mesh) { m.told = f }
}

// Self is this instance.
func (m *Mesh) Self() Node { return m.self }

// Handler serves the questions of peers.
func (m *Mesh) Handler() (path string, h http.Handler) {
	return pingPath, Handle(pingPath, m.ping)
}

// Handle makes a handler of a typed call between instances.
func Handle[Req, Res any](path string, f func(context.Context, *Req) (*Res, error)) http.Handler {
	return connect.NewUnaryHandler(path, func(ctx context.Context, r *connect.Request[Req]) (*connect.Response[Res], error) {
		out, err := f(ctx, r.Msg)
		if err != nil {
			return nil, err
		}
		return connect.NewResponse(out), nil
	}, connect.WithCodec(codec{}))
}

// Call asks the instance at addr.
func Call[Req, Res any](ctx context.Context, client *http.Client, addr, path string, in *Req) (*Res, error) {
	c := connect.NewClient[Req, Res](client, "http://"+addr+path, connect.WithCodec(codec{}))
	res, err := c.CallUnary(ctx, connect.NewRequest(in))
	if err != nil {
		return nil, err
	}
	return res.Msg, nil
}

// Client is the HTTP client for calls to peers.
func (m *Mesh) Client() *http.Client { return m.client }

// Alive returns the peers that answered a moment ago and aren't stopping, by
// name.
func (m *Mesh) Alive() []Node {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []Node
	for _, p := range m.peers {
		if p.alive && !p.Stopping {
			out = append(out, p.Node)
		}
	}
	slices.SortFunc(out, func(a, b Node) int { return strings.Compare(a.Name, b.Name) })
	return out
}

// Heirs returns the live peers that can take submissions on, and how many each
// holds.
func (m *Mesh) Heirs() map[Node]int {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := make(map[Node]int)
	for _, p := range m.peers {
		if p.alive && !p.Stopping && !p.Strained && p.Reaches {
			out[p.Node] = len(p.Holding)
		}
	}
	return out
}

// Size is the number of entries that are alive, with this instance if it is one.
func (m *Mesh) Size() int { return len(m.Entries(false)) }

// Entries returns the live entries by name, with this instance if it is one; with
// reaching, only those that reach the metadata store.
func (m *Mesh) Entries(reaching bool) []Node {
	var out []Node
	own := m.status()
	if m.self.Plans && !own.Stopping && (own.Reaches || !reaching) {
		out = append(out, m.self)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, p := range m.peers {
		if p.alive && p.Plans && !p.Stopping && (p.Reaches || !reaching) {
			out = append(out, p.Node)
		}
	}
	slices.SortFunc(out, func(a, b Node) int { return strings.Compare(a.Name, b.Name) })
	return out
}

// Reaching returns the live peers that reach the metadata store.
func (m *Mesh) Reaching() []Node {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []Node
	for _, p := range m.peers {
		if p.alive && p.Reaches {
			out = append(out, p.Node)
		}
	}
	slices.SortFunc(out, func(a, b Node) int { return strings.Compare(a.Name, b.Name) })
	return out
}

// Settled waits until the peers that live are known, and reports whether they are.
// Instances that come up together would otherwise take each other for lost.
func (m *Mesh) Settled(ctx context.Context) bool {
	select {
	case <-m.settled:
		return true
	case <-ctx.Done():
		return false
	}
}

// IsSettled reports whether the peers that live are known by now.
func (m *Mesh) IsSettled() bool {
	select {
	case <-m.settled:
		return true
	default:
		return false
	}
}

// Knows reports whether a live peer has the name.
func (m *Mesh) Knows(name string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	p, ok := m.peers[name]
	return ok && p.alive
}

// Find returns the peer that a record names as holder, if it is alive.
func (m *Mesh) Find(holder string) (Node, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, p := range m.peers {
		if p.Holder() == holder {
			return p.Node, p.alive
		}
	}
	return Node{}, false
}

// HolderOf returns the live peer that has the submission open, the latest one if
// an earlier holder hasn't noticed yet that it was overtaken.
func (m *Mesh) HolderOf(id string) (n Node, ok bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	latest := int64(0)
	for _, p := range m.peers {
		if epoch, holds := p.Holding[id]; holds && p.alive && epoch > latest {
			n, ok, latest = p.Node, true, epoch
		}
	}
	return n, ok
}

// AgeOf returns how long ago a submission was accepted, as its holders told last,
// also those that were lost a moment ago.
func (m *Mesh) AgeOf(id string) (age time.Duration, ok bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, p := range m.peers {
		if ms, told := p.Ages[id]; told {
			age, ok = max(age, time.Duration(ms)*time.Millisecond+time.Since(p.heard)), true
		}
	}
	return age, ok
}

// Demand returns the work of each model at this instance and its live peers, by
// the newest submission that any of them has.
func (m *Mesh) Demand() map[string]float64 {
	out := make(map[string]float64)
	add := func(s Status) {
		for model, tokens := range s.Demand {
			out[model] = max(out[model], tokens)
		}
	}
	add(m.status())
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, p := range m.peers {
		if p.alive {
			add(p.Status)
		}
	}
	return out
}

// Run announces this instance and stays in touch until ctx ends.
func (m *Mesh) Run(ctx context.Context, store kvst.Store) {
	for ctx.Err() == nil {
		err := m.register(ctx, store)
		if err == nil {
			break
		}
		m.logger.Warn("Not registered yet.", "error", err)
		sleep.For(ctx, listRetry)
	}
	sleep.For(ctx, settleTime)
	close(m.settled)
	<-ctx.Done()
}

// register announces this instance and meets those that are announced. Of two that come
// up together at least one finds the other, as each is announced before it lists, and
// whoever is asked meets the asker.
func (m *Mesh) register(ctx context.Context, store kvst.Store) error {
	raw, err := json.Marshal(m.self)
	if err != nil {
		return errors.Wrap(err, "encoding this instance")
	}
	if _, err := store.Commit(ctx, kvst.Txn{Puts: []kvst.Put{{Key: prefix + m.self.Name, Value: raw}}}); err != nil {
		return err
	}
	items, _, err := store.List(ctx, prefix)
	if err != nil {
		return err
	}
	for _, it := range items {
		var n Node
		if err := json.Unmarshal(it.Value, &n); err != nil {
			m.logger.Error("Peer's record unreadable.", "key", it.Key, "error", err)
			continue
		}
		m.meet(ctx, n)
	}
	return nil
}

// meet begins to stay in touch with n.
func (m *Mesh) meet(ctx context.Context, n Node) {
	if n.Name == m.self.Name || n.Addr == "" {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if p, ok := m.peers[n.Name]; ok {
		if p.Addr == n.Addr {
			return
		}
		p.cancel()
	}
	ctx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	p := &peer{Node: n, cancel: cancel, heard: time.Now()}
	m.peers[n.Name] = p
	go m.keepInTouch(ctx, p)
}

func (m *Mesh) keepInTouch(ctx context.Context, p *peer) {
	for ctx.Err() == nil {
		every := m.interval()
		if m.silence(p) >= every*9/10 {
			askCtx, cancel := context.WithTimeout(ctx, pingTimeout)
			res, err := Call[pingRequest, pingResponse](askCtx, m.client, p.Addr, pingPath, &pingRequest{From: m.self, Status: m.status()})
			cancel()
			if err == nil {
				m.heard(ctx, p, res.Node, res.Status)
			} else if m.missed(p) {
				return
			}
		}
		sleep.For(ctx, every)
	}
}

// interval is the time between two signs of life from one peer. It grows with the
// number of peers, so that what an instance spends on them stays the same.
func (m *Mesh) interval() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return max(pingEvery, time.Duration(len(m.peers))*pingPerPeer)
}

// silence is how long nothing was heard from a peer; a peer that asked counts, as
// its question carried all that an answer would.
func (m *Mesh) silence(p *peer) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !p.alive {
		return time.Hour
	}
	return time.Since(p.heard)
}

func (m *Mesh) heard(_ context.Context, p *peer, n Node, st Status) {
	m.mu.Lock()
	old := *p
	p.Node = n
	p.heard = time.Now()
	p.alive = true
	p.Status = st
	m.mu.Unlock()
	if !old.alive {
		m.logger.Info("Peer in touch.", "peer", n.Name, "boot", n.Boot)
	}
	if old.Boot != "" && old.Boot != n.Boot && len(old.Holding) > 0 {
		m.lost(old.Node, old.Status)
	}
	m.told(n, st)
}

// missed takes an unanswered question and reports whether to give the peer up.
func (m *Mesh) missed(p *peer) bool {
	m.mu.Lock()
	silent := time.Since(p.heard)
	lost := p.alive && silent > max(aliveFor, 3*time.Duration(len(m.peers))*pingPerPeer)
	if lost {
		p.alive = false
	}
	gone := silent > forgetAfter
	if gone {
		delete(m.peers, p.Name)
		p.cancel()
	}
	old := *p
	m.mu.Unlock()
	if lost {
		m.logger.Warn("Peer lost.", "peer", old.Name, "boot", old.Boot, "silent", silent.Round(time.Millisecond), "holding", len(old.Holding))
		m.lost(old.Node, old.Status)
	}
	return gone
}

func (m *Mesh) ping(ctx context.Context, in *pingRequest) (*pingResponse, error) {
	m.meet(ctx, in.From)
	m.mu.Lock()
	p := m.peers[in.From.Name]
	m.mu.Unlock()
	if p != nil {
		m.heard(ctx, p, in.From, in.Status)
	}
	return &pingResponse{Node: m.self, Status: m.status()}, nil
}
