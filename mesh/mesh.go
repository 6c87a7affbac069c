// Package mesh implements cluster membership and failure detection by direct probes and
// gossip between the instances of a deployment.
//
// Each instance announces itself once in the metadata store and then probes its
// neighbours directly (package ring: all other instances in a small fleet, a few in a
// large one). Status changes of neighbours are gossiped, so that every instance knows
// which peers are alive and which batches they own. There are no leases to renew, so an
// outage of the store doesn't affect membership. A wrong belief about a peer is safe:
// exclusive operations are fenced in the store.
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
	"github.com/lavendermux/lavendermux/ring"
	"github.com/lavendermux/lavendermux/sleep"
	"github.com/lavendermux/lavendermux/speed"
	"github.com/lavendermux/lavendermux/uptime"
)

const (
	// keyPrefix is the prefix of the keys under which instances are announced, one
	// each.
	keyPrefix = "lavendermux/nodes/"

	// settleDelay is how long after its registration an instance knows its live peers:
	// they answer within a round trip.
	settleDelay = 200 * time.Millisecond
	// startupDelay is how long after settleDelay all instances of a fleet that starts
	// at once have announced themselves.
	startupDelay = 2 * time.Second
	// registerRetryDelay is the pause after a failed registration.
	registerRetryDelay = 400 * time.Millisecond
	// relistInterval is how often the announced instances are listed again, so that two
	// partitions that were separated for longer than forgetAfter find each other. In a
	// fleet of 350 this makes 6 lists a second.
	relistInterval = time.Minute
	// isolatedRelistInterval replaces relistInterval while no peer is alive.
	isolatedRelistInterval = 2 * time.Second
	// initialUpdates is where the count of updates starts, so that 0 means that a peer
	// has received none.
	initialUpdates = 1
	// deregisterAfter is how long an instance must be unreachable before its
	// announcement is removed: 130 instances a day are replaced, and each of them would
	// otherwise be probed again and again forever.
	deregisterAfter = 10 * time.Minute
)

type (
	// Mesh is one instance's view of its peers. See New.
	Mesh struct {
		client *http.Client
		logger *log.Logger
		status func() Status
		clock  *clocks.Clock

		mu   sync.Mutex
		self Node
		// statusVersion counts the changes of this instance's status; lastStatus is the
		// latest one.
		statusVersion int64
		lastStatus    Status
		peers         map[string]*peer
		// lastContact is when any peer was last heard from. isolated is set while this
		// instance hears from no peer, and therefore treats none as alive. A pause of
		// its own process doesn't set it: on resuming, the instance would take over
		// batches that live peers own.
		lastContact time.Time
		isolated    bool
		// updates counts the changes of what is known about peers; synced is set once a
		// neighbour has sent its full state.
		updates int64
		synced  bool
		// ring has this instance and the peers that aren't lost, and neighbours those of them
		// that this instance probes.
		ring       *ring.Ring
		neighbours []string
		// wasSparse reports whether the ring was sparse at its last change.
		wasSparse bool
		// joined and left are the peers for the next log line about membership changes.
		joined, left []string
		// missing maps announced instances that are unreachable to the time since when.
		missing map[string]time.Time
		// registered is set once this instance is announced and has listed the others, and
		// started once it has heard from all that are alive.
		registered, started bool

		lost     func(Node, Status)
		onStatus func(Node, Status)
		onSpeeds func(Node, map[string]speed.Sum)
		relist   kvst.Lister
		// runCtx bounds the probes of peers; nil before Run.
		runCtx context.Context //nolint:containedctx // Peers are met by calls that end earlier.
		// settled is closed once the live peers are known.
		settled chan struct{}
	}

	// Option configures a Mesh.
	Option func(*Mesh)

	// Node is one incarnation of an instance.
	Node struct {
		Name string `json:"name"`
		Addr string `json:"addr"`
		// Boot identifies the incarnation; it differs after each start.
		Boot string `json:"boot"`
		// Incarnation is the store's revision at which this node was announced, so that
		// later incarnations have greater ones; 0 until it is announced.
		Incarnation int64 `json:"incarnation,omitempty"`
		// Plans is set for instances that plan which engine loads which weights.
		Plans bool `json:"plans"`
		// Accepts is set for instances that accept the submissions of a model for others.
		Accepts bool `json:"accepts,omitempty"`
		// Power is how much of a processor the machine has, in cores.
		Power float64 `json:"power"`
		// DataCentre is where the instance runs; Disk identifies the disk on which it
		// keeps replicas, "" if it has none.
		DataCentre string `json:"dataCentre,omitempty"`
		Disk       string `json:"disk,omitempty"`
	}
)

// Holder returns the node's name in stored records: the instance name and its boot.
func (n Node) Holder() string { return n.Name + "/" + n.Boot }

// New returns a mesh; Run announces this instance and probes its peers.
//
//	m := mesh.New(self, client, logger, mesh.WithOnLost(takeOver))
//	go m.Run(ctx, store)
func New(self Node, client *http.Client, logger *log.Logger, opts ...Option) *Mesh {
	m := &Mesh{
		self:     self,
		client:   client,
		logger:   logger,
		peers:    make(map[string]*peer),
		ring:     ring.New(self.Name),
		missing:  make(map[string]time.Time),
		updates:  initialUpdates,
		status:   func() Status { return Status{} },
		clock:    clocks.New(time.Now, uptime.Now),
		lost:     func(Node, Status) {},
		onStatus: func(Node, Status) {},
		onSpeeds: func(Node, map[string]speed.Sum) {},

		settled: make(chan struct{}),
	}
	for _, opt := range opts {
		opt(m)
	}
	return m
}

// WithStatus sets the source of the status that peers are sent. The default sends an
// empty status.
func WithStatus(f func() Status) Option {
	return func(m *Mesh) { m.status = f }
}

// WithOnLost sets a callback for peers that were lost or have restarted, with the last
// status of the old incarnation. The default does nothing.
func WithOnLost(f func(n Node, last Status)) Option {
	return func(m *Mesh) { m.lost = f }
}

// WithRelist sets how the announced instances are listed after the first time. The default is
// by the store itself.
func WithRelist(f kvst.Lister) Option {
	return func(m *Mesh) { m.relist = f }
}

// WithClock sets the clock that learns the offsets of peers' wall clocks. The default
// is a private one that isn't read.
func WithClock(c *clocks.Clock) Option {
	return func(m *Mesh) { m.clock = c }
}

// WithOnStatus sets a callback for each status received from or about a peer. The default
// does nothing.
func WithOnStatus(f func(n Node, s Status)) Option {
	return func(m *Mesh) { m.onStatus = f }
}

// WithOnSpeeds sets a callback for the speeds that a neighbour sends. The default does
// nothing.
func WithOnSpeeds(f func(n Node, speeds map[string]speed.Sum)) Option {
	return func(m *Mesh) { m.onSpeeds = f }
}

// Self returns this instance.
func (m *Mesh) Self() Node {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.self
}

// Mount registers the handlers for calls from peers.
func (m *Mesh) Mount(mux *http.ServeMux) {
	mux.Handle(probePath, Handle(probePath, m.serveProbe))
	mux.Handle(witnessPath, Handle(witnessPath, m.serveWitness))
}

// Run announces this instance and probes its peers until ctx ends.
func (m *Mesh) Run(ctx context.Context, store kvst.Store) {
	m.mu.Lock()
	m.runCtx = ctx
	m.updateProbes()
	m.mu.Unlock()
	go m.maintain(ctx)
	for ctx.Err() == nil {
		err := m.register(ctx, store)
		if err == nil {
			break
		}
		m.logger.Warn("Instance not registered yet; retrying.", "error", err)
		sleep.For(ctx, registerRetryDelay)
	}
	m.mu.Lock()
	m.registered = true
	m.announce() // the first status had no neighbours to go to
	m.mu.Unlock()
	sleep.For(ctx, settleDelay)
	close(m.settled)
	m.requestFullSync()
	sleep.For(ctx, startupDelay)
	m.mu.Lock()
	m.started = true
	m.mu.Unlock()
	m.requestFullSync()
	relist := m.relist
	if relist == nil {
		relist = store.List
	}
	for m.waitRelist(ctx) {
		if err := m.syncAnnouncements(ctx, store, relist); err != nil {
			m.logger.Warn("Listing announced instances failed.", "error", err)
		}
		m.requestFullSync()
	}
}

// requestFullSync has the next probe ask the neighbour for its full state. In a fleet
// that starts at once, each instance has asked a neighbour that didn't know all others
// yet.
func (m *Mesh) requestFullSync() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.synced = false
}

// waitRelist waits until the announced instances are due to be listed again, and
// reports whether ctx is still live.
func (m *Mesh) waitRelist(ctx context.Context) bool {
	for start := time.Now(); time.Since(start) < relistInterval; {
		if !sleep.For(ctx, isolatedRelistInterval) {
			return false
		}
		if len(m.Alive()) == 0 {
			return true
		}
	}
	return true
}

// register announces this instance and adds the announced ones as peers. Of two
// instances that start at once at least one finds the other, as each announces itself
// before it lists, and a probed instance adds the sender.
func (m *Mesh) register(ctx context.Context, store kvst.Store) error {
	raw, err := json.Marshal(m.Self())
	if err != nil {
		return errors.Wrap(err, "encoding the announcement of this instance")
	}
	revision, err := store.Commit(ctx, kvst.Txn{Puts: []kvst.Put{{Key: keyPrefix + m.Self().Name, Value: raw}}})
	if err != nil {
		return err
	}
	m.mu.Lock()
	m.self.Incarnation = revision
	m.mu.Unlock()
	return m.syncAnnouncements(ctx, store, store.List)
}

// syncAnnouncements adds the announced instances as peers, and removes the
// announcements of those that have been unreachable for long.
func (m *Mesh) syncAnnouncements(ctx context.Context, store kvst.Store, list kvst.Lister) error {
	items, _, err := list(ctx, keyPrefix)
	if err != nil {
		return err
	}
	alive := []string{m.Self().Name}
	for _, n := range m.Alive() {
		alive = append(alive, n.Name)
	}
	m.pruneMissing(items)
	for _, it := range items {
		var n Node
		if err := json.Unmarshal(it.Value, &n); err != nil {
			m.logger.Error("Announcement of a peer is unreadable.", "key", it.Key, "error", err)
			continue
		}
		n.Incarnation = it.Revision
		m.addPeer(n)
		if m.isMissingLong(n.Name) && rendez.Rank(n.Name, alive, m.Self().Name) == 0 {
			m.deregister(ctx, store, it)
		}
	}
	return nil
}

// pruneMissing drops missing instances whose announcements are gone.
func (m *Mesh) pruneMissing(items []kvst.Item) {
	announced := make(map[string]bool, len(items))
	for _, it := range items {
		announced[it.Key[len(keyPrefix):]] = true
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	maps.DeleteFunc(m.missing, func(name string, _ time.Time) bool { return !announced[name] })
}

// isMissingLong reports whether an announced instance has been unreachable for
// deregisterAfter.
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
	return ok && time.Since(since) > deregisterAfter
}

// deregister removes the announcement of an instance, unless it has been announced
// again.
func (m *Mesh) deregister(ctx context.Context, store kvst.Store, it kvst.Item) {
	_, err := store.Commit(ctx, kvst.Txn{Expect: map[string]int64{it.Key: it.Revision}, Remove: []string{it.Key}})
	m.logger.Info("Announcement of an unreachable instance removed.", "key", it.Key, "revision", it.Revision, "error", err)
	if err == nil {
		m.mu.Lock()
		delete(m.missing, it.Key[len(keyPrefix):])
		m.mu.Unlock()
	}
}
