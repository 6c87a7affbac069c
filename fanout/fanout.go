// Package fanout distributes the metadata store's changes: a few instances read the store
// and serve all others.
package fanout

import (
	"context"
	"maps"
	"net/http"
	"slices"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"

	"github.com/lavendermux/lavendermux/kvrepl"
	"github.com/lavendermux/lavendermux/kvst"
	"github.com/lavendermux/lavendermux/mesh"
	"github.com/lavendermux/lavendermux/meter"
	"github.com/lavendermux/lavendermux/tiers"
)

const (
	// path is the HTTP path at which readers serve peers.
	path = "/lavendermux.Follow/Since"

	// readerWatchWait is how long a reader's watch waits while others depend on it, and
	// soloWatchWait while its only followers are entries without access to the store. A
	// lost watch is noticed once the wait and the margin are over; the reader's answers
	// are then no longer used, and its followers have a second left to learn from another
	// reader what is in force.
	readerWatchWait = 600 * time.Millisecond
	soloWatchWait   = time.Second
	// maxSoloEntries is the number of entries up to which all of them read the store.
	maxSoloEntries = 3
	staleMargin    = 700 * time.Millisecond
	// maxHoldTime is how long a reader holds a request without changes, and requestMargin
	// the timeout beyond that.
	maxHoldTime   = 500 * time.Millisecond
	requestMargin = 400 * time.Millisecond
	// avoidTime is how long a source is avoided after an answer that was stale or missing.
	avoidTime = 3 * time.Second
	// sourcesTTL is how long the sources of this instance are kept: finding them takes longer
	// than answering a follower.
	sourcesTTL = 100 * time.Millisecond
)

var errStale = errors.New("the reader has lost its connection to the store")

type (
	// Distributor selects the source from which this instance reads. See New.
	Distributor struct {
		mesh    *mesh.Mesh
		store   kvrepl.Source
		onStale func()

		mu       sync.Mutex
		replicas map[string]*kvrepl.Replica
		// lists has the lists in flight and the latest ones, by prefix.
		lists map[string]*list
		// cached are the sources as of cachedAt. While this instance starts they are those among
		// all announced entries.
		cached      []mesh.Node
		cachedAt    time.Time
		cachedStart bool
		// failedAt has the time of the last answer of each source that was stale or missing.
		failedAt map[string]time.Time
	}

	// Option configures a Distributor in New.
	Option func(*Distributor)

	// peerSource reads from a peer.
	peerSource struct {
		d    *Distributor
		node mesh.Node

		mu sync.Mutex
		// confirmedAt is when the store had confirmed the state in the last answer.
		confirmedAt time.Time
	}

	request struct {
		Prefix string `json:"prefix"`
		// After is the revision after which changes are requested; List requests all
		// items instead.
		After  int64 `json:"after"`
		List   bool  `json:"list"`
		WaitMs int64 `json:"waitMs"`
	}

	response struct {
		Items    []kvst.Item `json:"items,omitempty"`
		Revision int64       `json:"revision"`
		Gap      bool        `json:"gap,omitempty"`
		// Known is false while the reader has no replica itself.
		Known bool `json:"known"`
		// AgeMs is the time since the store last confirmed this state, and HeldMs the time for
		// which the request was held.
		AgeMs  int64 `json:"ageMs"`
		HeldMs int64 `json:"heldMs,omitempty"`
		// Stale reports that this is longer than the reader's watches take: it has lost
		// the connection to the store.
		Stale bool `json:"stale,omitempty"`
	}
)

// New returns the source selection for the replicas of one instance.
//
//	f := fanout.New(m, store)
//	r := kvrepl.New(store, "op/", logger, kvrepl.WithSourceSelector(f.SelectSource))
func New(m *mesh.Mesh, store kvrepl.Source, opts ...Option) *Distributor {
	d := &Distributor{mesh: m, store: store, onStale: func() {}, replicas: make(map[string]*kvrepl.Replica), lists: make(map[string]*list),
		failedAt: make(map[string]time.Time)}
	for _, opt := range opts {
		opt(d)
	}
	return d
}

// WithOnStale sets f, which is called when a source has lost its connection to the store: this instance
// may have lost its own. The default does nothing.
func WithOnStale(f func()) Option {
	return func(d *Distributor) { d.onStale = f }
}

// Register makes the replica of a prefix available to peers that ask for it.
func (d *Distributor) Register(prefix string, replica *kvrepl.Replica) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.replicas[prefix] = replica
}

// Handler returns the path and the handler that serve peers.
func (d *Distributor) Handler() (string, http.Handler) { return path, mesh.Handle(path, d.serve) }

// SelectSource returns the source for the next call: the store, if this instance is a reader or
// there is none; otherwise one of its sources.
func (d *Distributor) SelectSource() kvrepl.SelectedSource {
	sources := d.sources()
	if len(sources) == 0 {
		return kvrepl.SelectedSource{Source: d.store, Wait: d.watchWait()}
	}
	return d.peer(sources)
}

// SelectSecond returns the source that a reader uses beside the store: another reader. While the store's
// answers to one of them are lost, which it notices only at the end of its watch, it learns the
// changes from the others.
func (d *Distributor) SelectSecond() (c kvrepl.SelectedSource, ok bool) {
	if len(d.sources()) > 0 {
		return kvrepl.SelectedSource{}, false
	}
	others := tiers.OtherReaders(d.mesh.Self(), d.mesh.Entries(false))
	if len(others) == 0 {
		return kvrepl.SelectedSource{}, false
	}
	return d.peer(others), true
}

// peer returns the first of nodes that hasn't failed lately, or else the one that failed first.
func (d *Distributor) peer(nodes []mesh.Node) kvrepl.SelectedSource {
	d.mu.Lock()
	maps.DeleteFunc(d.failedAt, func(_ string, at time.Time) bool { return time.Since(at) > avoidTime })
	n := slices.MinFunc(nodes, func(a, b mesh.Node) int { return d.failedAt[a.Name].Compare(d.failedAt[b.Name]) })
	d.mu.Unlock()
	s := &peerSource{d: d, node: n}
	return kvrepl.SelectedSource{Source: s, Name: n.Name, Wait: maxHoldTime, Age: s.Age}
}

// SetMetrics sets the gauges of this instance's replicas.
func (d *Distributor) SetMetrics(m *meter.Meter) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for prefix, r := range d.replicas {
		f := r.Freshness()
		m.Set("replica_age_seconds", f.Age.Seconds(), "prefix", prefix)
		m.Set("replica_revision", float64(f.Revision), "prefix", prefix)
	}
}

// watchWait returns how long a watch of this instance waits.
func (d *Distributor) watchWait() time.Duration {
	if d.mesh.EntryCount() <= maxSoloEntries {
		return soloWatchWait
	}
	return readerWatchWait
}

// staleAfter returns the age from which on an answer of this instance must not be used. A
// relay's replica is older than its reader's by the time for which its own request may be
// held.
func (d *Distributor) staleAfter() time.Duration {
	if len(d.sources()) == 0 {
		return d.watchWait() + staleMargin
	}
	return d.watchWait() + staleMargin + maxHoldTime
}

// sources returns the sources of this instance among the entries that reach the store; if
// none does, among all entries, since somebody has to notice when the store is back.
func (d *Distributor) sources() []mesh.Node {
	if !d.mesh.IsStarting() {
		return d.cachedSources(false, d.findSources)
	}
	if !d.mesh.IsRegistered() {
		return d.findSources() // the others aren't listed yet
	}
	// By the few peers that it has heard from so far, each instance of a fleet that starts would
	// take itself for a reader.
	expected := d.cachedSources(true, d.announcedSources)
	if live := d.live(expected); len(expected) == 0 || len(live) > 0 {
		return live
	}
	return d.findSources()
}

// cachedSources returns what find has returned within sourcesTTL.
func (d *Distributor) cachedSources(starting bool, find func() []mesh.Node) []mesh.Node {
	d.mu.Lock()
	defer d.mu.Unlock()
	if now := time.Now(); d.cachedAt.IsZero() || d.cachedStart != starting || now.Sub(d.cachedAt) >= sourcesTTL {
		d.cached, d.cachedAt, d.cachedStart = find(), now, starting
	}
	return d.cached
}

func (d *Distributor) findSources() []mesh.Node {
	nodes := d.mesh.Entries(true)
	if len(nodes) == 0 {
		nodes = d.mesh.Entries(false)
	}
	return tiers.Upstreams(d.mesh.Self(), nodes)
}

func (d *Distributor) serve(ctx context.Context, in *request) (*response, error) {
	d.mu.Lock()
	replica := d.replicas[in.Prefix]
	d.mu.Unlock()
	if replica == nil {
		return nil, connect.NewError(connect.CodeNotFound, errors.Newf("prefix %q is not followed", in.Prefix))
	}
	out, start := &response{}, time.Now()
	var age time.Duration
	if in.List {
		waitCtx, cancel := context.WithTimeout(ctx, maxHoldTime)
		defer cancel()
		replica.WaitKnown(waitCtx) // when a whole fleet starts, this instance has just started, too
		out.Items, out.Revision, age = replica.Snapshot()
	} else {
		waitCtx, cancel := context.WithTimeout(ctx, min(maxHoldTime, time.Duration(in.WaitMs)*time.Millisecond))
		defer cancel()
		changes, changesAge, err := replica.ChangesSince(waitCtx, in.After)
		out.Items, out.Revision, out.Gap, age = changes.Items, changes.Revision, err != nil, changesAge
	}
	out.Known = replica.Revision() > 0
	out.AgeMs, out.HeldMs = age.Milliseconds(), time.Since(start).Milliseconds()
	out.Stale = age > d.staleAfter()
	return out, nil
}

// Age returns the time since the store confirmed the state in the source's last answer. What the
// answer took, beyond the time for which the source held it, counts.
func (s *peerSource) Age() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Since(s.confirmedAt)
}

// List implements kvrepl.Source.
func (s *peerSource) List(ctx context.Context, prefix string) ([]kvst.Item, int64, error) {
	res, err := s.call(ctx, request{Prefix: prefix, List: true, WaitMs: maxHoldTime.Milliseconds()})
	if err != nil {
		return nil, 0, err
	}
	return res.Items, res.Revision, nil
}

// Watch implements kvrepl.Source.
func (s *peerSource) Watch(ctx context.Context, prefix string, after int64, wait time.Duration) (kvst.Changes, error) {
	res, err := s.call(ctx, request{Prefix: prefix, After: after, WaitMs: wait.Milliseconds()})
	if err != nil {
		return kvst.Changes{}, err
	}
	if res.Gap {
		return kvst.Changes{}, &kvst.CompactedError{After: after}
	}
	return kvst.Changes{Items: res.Items, Revision: res.Revision}, nil
}

func (s *peerSource) call(ctx context.Context, in request) (*response, error) {
	ctx, cancel := context.WithTimeout(ctx, requestMargin+time.Duration(in.WaitMs)*time.Millisecond)
	defer cancel()
	sent := time.Now()
	res, err := mesh.Call[request, response](ctx, s.d.mesh.Client(), s.node.Addr, path, &in)
	if err == nil && (!res.Known || res.Stale) {
		err = errStale
	}
	s.d.recordCall(s.node.Name, err)
	if err != nil {
		return nil, &kvst.UnknownOutcomeError{Cause: err}
	}
	s.mu.Lock()
	s.confirmedAt = sent.Add(time.Duration(res.HeldMs-res.AgeMs) * time.Millisecond)
	s.mu.Unlock()
	return res, nil
}

// recordCall records the result of a call to a source.
func (d *Distributor) recordCall(source string, err error) {
	d.mu.Lock()
	if err != nil {
		d.failedAt[source] = time.Now()
	} else {
		delete(d.failedAt, source)
	}
	d.mu.Unlock()
	switch {
	case errors.Is(err, errStale):
		d.onStale()
	case connect.CodeOf(err) == connect.CodeDeadlineExceeded:
		// What silenced this connection may have silenced others, and a call on each of them would
		// take its whole timeout.
		d.mesh.Client().CloseIdleConnections()
	}
}
