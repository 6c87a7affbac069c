// Package mesh keeps the instances of a deployment in touch with each other.
//
// Each instance announces itself once in the metadata store and then asks its
// neighbours for a sign of life directly (package ring: all others in a small fleet, a
// few in a large one). What one hears of its neighbours it tells the others, so that
// everybody knows who lives and what they hold. No lease has to be kept, and an outage
// of the store changes nothing. Being wrong about a peer is safe: what has to be
// exclusive is fenced in the store.
package mesh

import (
	"context"
	"encoding/json"
	"maps"
	"net/http"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"

	"github.com/lavendermux/lavendermux/clocks"
	"github.com/lavendermux/lavendermux/kvst"
	"github.com/lavendermux/lavendermux/rendez"
	"github.com/lavendermux/lavendermux/sleep"
	"github.com/lavendermux/lavendermux/uptime"
)

const (
	// prefix holds one key for each instance.
	prefix = "lavendermux/nodes/"

	// settleTime is how long after its registration an instance knows which peers
	// live: they answer within a round trip.
	settleTime = 200 * time.Millisecond
	// startTime is how long after that all instances of a fleet that comes up together
	// have announced themselves.
	startTime = 2 * time.Second
	// listRetry is the pause after a failed registration.
	listRetry = 400 * time.Millisecond
	// relistEvery is how often the announced instances are listed again, so that two
	// parts of a fleet that lost each other for longer than forgetAfter meet again. A
	// fleet of 350 makes 6 lists a second of it.
	relistEvery = time.Minute
	// relistAlone is the same while no peer is in touch.
	relistAlone = 2 * time.Second
	// firstNews is where the count of news starts, so that 0 says that a peer has none.
	firstNews = 1
	// buryAfter is how long an instance is out of touch before its announcement is
	// removed: 130 instances a day are replaced, and each of them would be asked, again
	// and again, for good.
	buryAfter = 10 * time.Minute
)

type (
	// Mesh is the peers of one instance. See New.
	Mesh struct {
		client *http.Client
		logger *log.Logger
		status func() Status
		clock  *clocks.Clock

		mu   sync.Mutex
		self Node
		// version counts the changes of what this instance tells, last is its state.
		version int64
		last    Status
		peers   map[string]*peer
		// touched is when any peer gave a sign of life; alone says that this instance
		// hears from nobody, and so knows of nobody. A pause of its own doesn't make it
		// alone: it would take over what living peers hold in the moment it goes on.
		touched time.Time
		alone   bool
		// news counts the changes of what is known about peers; whole says that a
		// neighbour has told all that it knows.
		news  int64
		whole bool
		// joined and left are peers for the next line of the log.
		joined, left []string
		// missing has the announced instances that are out of touch, and since when.
		missing map[string]time.Time
		lost    func(Node, Status)
		told    func(Node, Status)
		// life is the time for which peers are asked; nil before Run.
		life context.Context //nolint:containedctx // Peers are met by calls that end earlier.
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
		// Incarnation is the store's revision at which this boot was announced, so
		// that a later boot has a greater one; 0 until it is announced.
		Incarnation int64 `json:"incarnation,omitempty"`
		// Plans marks instances that plan which engine loads what.
		Plans bool `json:"plans"`
		// Power is the machine's share of a processor.
		Power float64 `json:"power"`
		// DataCentre is where the instance stands; Disk names the disk on which it keeps
		// copies, "" if it has none.
		DataCentre string `json:"dataCentre,omitempty"`
		Disk       string `json:"disk,omitempty"`
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
		self:    self,
		client:  client,
		logger:  logger,
		peers:   make(map[string]*peer),
		missing: make(map[string]time.Time),
		news:    firstNews,
		status:  func() Status { return Status{} },
		clock:   clocks.New(time.Now, uptime.Now),
		lost:    func(Node, Status) {},
		told:    func(Node, Status) {},

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

// WithClock has a clock read the time of day of peers. The default is one of the mesh's
// own, which nobody asks.
func WithClock(c *clocks.Clock) Option {
	return func(m *Mesh) { m.clock = c }
}

// WithTold is called with all that peers tell. The default does nothing.
func WithTold(f func(n Node, s Status)) Option {
	return func(m *Mesh) { m.told = f }
}

// Self is this instance.
func (m *Mesh) Self() Node {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.self
}

// Mount serves the questions of peers.
func (m *Mesh) Mount(mux *http.ServeMux) {
	mux.Handle(touchPath, Handle(touchPath, m.answer))
	mux.Handle(witnessPath, Handle(witnessPath, m.testify))
}

// Run announces this instance and stays in touch until ctx ends.
func (m *Mesh) Run(ctx context.Context, store kvst.Store) {
	m.mu.Lock()
	m.life = ctx
	m.retune()
	m.mu.Unlock()
	go m.look(ctx)
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
	m.askWhole()
	sleep.For(ctx, startTime)
	m.askWhole()
	for m.rest(ctx) {
		if err := m.list(ctx, store); err != nil {
			m.logger.Warn("Instances not listed.", "error", err)
		}
		m.askWhole()
	}
}

// askWhole has the next neighbour tell all that it knows. Of a fleet that comes up
// together each has asked somebody who didn't know the others yet.
func (m *Mesh) askWhole() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.whole = false
}

// rest waits until the announced instances should be listed again.
func (m *Mesh) rest(ctx context.Context) bool {
	for start := time.Now(); time.Since(start) < relistEvery; {
		if !sleep.For(ctx, relistAlone) {
			return false
		}
		if len(m.Alive()) == 0 {
			return true
		}
	}
	return true
}

// register announces this instance and meets those that are announced. Of two that come
// up together at least one finds the other, as each is announced before it lists, and
// whoever is asked meets the asker.
func (m *Mesh) register(ctx context.Context, store kvst.Store) error {
	raw, err := json.Marshal(m.Self())
	if err != nil {
		return errors.Wrap(err, "encoding this instance")
	}
	revision, err := store.Commit(ctx, kvst.Txn{Puts: []kvst.Put{{Key: prefix + m.Self().Name, Value: raw}}})
	if err != nil {
		return err
	}
	m.mu.Lock()
	m.self.Incarnation = revision
	m.mu.Unlock()
	return m.list(ctx, store)
}

// list meets the announced instances, and removes the announcements of those that have
// been out of touch for long.
func (m *Mesh) list(ctx context.Context, store kvst.Store) error {
	items, _, err := store.List(ctx, prefix)
	if err != nil {
		return err
	}
	alive := []string{m.Self().Name}
	for _, n := range m.Alive() {
		alive = append(alive, n.Name)
	}
	m.keepMissing(items)
	for _, it := range items {
		var n Node
		if err := json.Unmarshal(it.Value, &n); err != nil {
			m.logger.Error("Peer's record unreadable.", "key", it.Key, "error", err)
			continue
		}
		n.Incarnation = it.Revision
		m.meet(n)
		if m.isMissingLong(n.Name) && rendez.Rank(n.Name, alive, m.Self().Name) == 0 {
			m.bury(ctx, store, it)
		}
	}
	return nil
}

// keepMissing forgets missing instances whose announcements are gone.
func (m *Mesh) keepMissing(items []kvst.Item) {
	announced := make(map[string]bool, len(items))
	for _, it := range items {
		announced[it.Key[len(prefix):]] = true
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	maps.DeleteFunc(m.missing, func(name string, _ time.Time) bool { return !announced[name] })
}

// isMissingLong reports whether an announced instance has been out of touch for
// buryAfter.
func (m *Mesh) isMissingLong(name string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	p, ok := m.peers[name]
	if name == m.self.Name || (ok && p.alive) {
		delete(m.missing, name)
		return false
	}
	since, ok := m.missing[name]
	if !ok {
		m.missing[name] = time.Now()
	}
	return ok && time.Since(since) > buryAfter
}

// bury removes the announcement of an instance, unless it has announced itself again.
func (m *Mesh) bury(ctx context.Context, store kvst.Store, it kvst.Item) {
	_, err := store.Commit(ctx, kvst.Txn{Expect: map[string]int64{it.Key: it.Revision}, Remove: []string{it.Key}})
	m.logger.Info("Instance's announcement removed.", "key", it.Key, "revision", it.Revision, "error", err)
	if err == nil {
		m.mu.Lock()
		delete(m.missing, it.Key[len(prefix):])
		m.mu.Unlock()
	}
}
