package mesh

import (
	"context"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/lavendermux/lavendermux/speed"
)

type (
	// Status is what an instance sends its peers about itself.
	Status struct {
		// OpenEpochs maps the batches open on this instance to the epochs of their
		// records.
		OpenEpochs map[string]int64 `json:"holding,omitempty"`
		// OpenAges maps each of them to how long ago it was accepted, in milliseconds.
		OpenAges map[string]int64 `json:"ages,omitempty"`
		// Demand is the expected work of the newest batch of each model, in tokens.
		Demand map[string]float64 `json:"demand,omitempty"`
		// ReachesStore is set if the instance reaches the metadata store.
		ReachesStore bool `json:"reaches,omitempty"`
		// Strained is set while the instance is short of processor time.
		Strained bool `json:"strained,omitempty"`
		// Stopping is set once the instance accepts no new work.
		Stopping bool `json:"stopping,omitempty"`
		// LeaderEpoch is the epoch of leadership if the instance is the leader, else 0.
		LeaderEpoch int64 `json:"leads,omitempty"`
		// CrashDigest is a digest of the instance's records of requests that crashed
		// endpoints. A change of it alone isn't gossiped: it goes with the next probe.
		CrashDigest uint64 `json:"crashes,omitempty"`
		// Speeds has the instance's observations of plain endpoints in the last 10 s, by
		// incarnation. They go to neighbouring entries with the next probe, at most once in
		// speedsInterval, and are never gossiped.
		Speeds map[string]speed.Sum `json:"speeds,omitempty"`
		// Grants maps the models whose submissions the instance accepts to the epochs of
		// their records.
		Grants map[string]int64 `json:"grants,omitempty"`
	}

	// Grant names the instance that accepts the submissions of a model.
	Grant struct {
		Node  Node
		Epoch int64
	}

	// peer is what is known about an instance. Mesh.mu guards it.
	peer struct {
		Node
		Status
		// version is the version of Status, which the peer counts up.
		version int64
		// alive is set if the peer was recently heard from, here or by another
		// neighbour of it; lost is set if a neighbour missed it at this version.
		alive, lost bool
		// lostVersion is the version at which the peer was declared lost; 0 if it never
		// was.
		lostVersion int64
		// statusAt is when Status arrived, lastContact when the peer itself was last
		// heard from.
		statusAt, lastContact time.Time
		// changedSeq is the mesh's count of updates at the last change, changedBy the
		// peer that sent it, and span the ring positions over which it was passed on.
		changedSeq int64
		changedBy  string
		span       int
		// near is set for near neighbours, which are probed often. stopProbes ends the
		// probe loop; nil while there is none.
		near       bool
		stopProbes context.CancelFunc
		// speedsSentAt is when the peer was last sent Speeds.
		speedsSentAt time.Time
		// wake makes the probe loop send at once.
		wake chan struct{}
		// push maps the updates to push to the peer, by instance, to their spans; pushSelf
		// is the span of this instance's own status, 0 if it isn't to be pushed. want has
		// the instances whose updates are to be requested from the peer.
		push     map[string]int
		pushSelf int
		want     []string
		// receivedSeq is how far this instance has received the peer's updates, sentSeq
		// how far the peer has those of this instance, and sentVersion the version of
		// this instance's status that the peer has. All three belong to the peer's
		// incarnation.
		receivedSeq, sentSeq, sentVersion int64
	}
)

func newPeer(n Node) *peer {
	return &peer{Node: n, statusAt: time.Now(), wake: make(chan struct{}, 1), push: make(map[string]int)}
}

// equal reports whether two statuses are the same but for ages, the crash digest and
// speeds.
func (s Status) equal(o Status) bool {
	return maps.Equal(s.OpenEpochs, o.OpenEpochs) && maps.Equal(s.Demand, o.Demand) && maps.Equal(s.Grants, o.Grants) &&
		s.ReachesStore == o.ReachesStore && s.Strained == o.Strained && s.Stopping == o.Stopping && s.LeaderEpoch == o.LeaderEpoch
}

// withAge returns a status that arrived some time ago, with its ages advanced.
func (s Status) withAge(elapsed time.Duration) Status {
	if len(s.OpenAges) == 0 {
		return s
	}
	ages := make(map[string]int64, len(s.OpenAges))
	for id, ms := range s.OpenAges {
		ages[id] = ms + elapsed.Milliseconds()
	}
	s.OpenAges = ages
	return s
}

// Alive returns the live peers that aren't stopping, sorted by name.
func (m *Mesh) Alive() []Node {
	return m.filterNodes(func(p *peer) bool { return !p.Stopping })
}

// filterNodes returns the live peers for which keep returns true, sorted by name.
func (m *Mesh) filterNodes(keep func(*peer) bool) []Node {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []Node
	for _, p := range m.peers {
		if m.isReachable(p) && keep(p) {
			out = append(out, p.Node)
		}
	}
	slices.SortFunc(out, func(a, b Node) int { return strings.Compare(a.Name, b.Name) })
	return out
}

// Members returns the live instances that reach the metadata store and aren't stopping,
// including this one if it qualifies.
func (m *Mesh) Members() []Node {
	out := m.filterNodes(func(p *peer) bool { return !p.Stopping && p.ReachesStore })
	if own := m.status(); !own.Stopping && own.ReachesStore {
		out = append(out, m.Self())
	}
	return out
}

// Leader returns the live instance with the latest epoch of leadership: an earlier
// leader may not have noticed yet that it was replaced.
func (m *Mesh) Leader() (n Node, ok bool) {
	latest := int64(0)
	if own := m.status(); own.LeaderEpoch > 0 {
		n, ok, latest = m.Self(), true, own.LeaderEpoch
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, p := range m.peers {
		if p.LeaderEpoch > latest && m.isReachable(p) {
			n, ok, latest = p.Node, true, p.LeaderEpoch
		}
	}
	return n, ok
}

// TakeoverCandidates returns the live peers that can take over batches, and how many each owns.
func (m *Mesh) TakeoverCandidates() map[Node]int {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := make(map[Node]int)
	for _, p := range m.peers {
		if m.isReachable(p) && !p.Stopping && !p.Strained && p.ReachesStore {
			out[p.Node] = len(p.OpenEpochs)
		}
	}
	return out
}

// EntryCount returns the number of live entries, including this instance if it is one.
func (m *Mesh) EntryCount() int { return len(m.Entries(false)) }

// Entries returns the live entries sorted by name, including this instance if it is
// one; with reaching set, only those that reach the metadata store.
func (m *Mesh) Entries(reaching bool) []Node {
	var out []Node
	own := m.status()
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.self.Plans && !own.Stopping && (own.ReachesStore || !reaching) {
		out = append(out, m.self)
	}
	for _, p := range m.peers {
		if m.isReachable(p) && p.Plans && !p.Stopping && (p.ReachesStore || !reaching) {
			out = append(out, p.Node)
		}
	}
	slices.SortFunc(out, func(a, b Node) int { return strings.Compare(a.Name, b.Name) })
	return out
}

// ReachingStore returns the live peers that reach the metadata store.
func (m *Mesh) ReachingStore() []Node {
	return m.filterNodes(func(p *peer) bool { return p.ReachesStore })
}

// CutOffCount returns the number of live peers that can't reach the metadata store.
func (m *Mesh) CutOffCount() int {
	return len(m.filterNodes(func(p *peer) bool { return !p.ReachesStore }))
}

// Partitioned reports whether this instance is partitioned from some or all of the others,
// so that it doesn't receive their updates.
func (m *Mesh) Partitioned() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	alive := 0
	for _, p := range m.peers {
		if m.isReachable(p) {
			alive++
		} else if !p.Stopping {
			return true
		}
	}
	for name := range m.missing {
		if p, ok := m.peers[name]; !ok || !m.isReachable(p) && !p.Stopping {
			return true
		}
	}
	return alive == 0
}

// WaitSettled waits until the live peers are known, and reports whether they are. Without
// the wait, instances that start at once would take each other for lost.
func (m *Mesh) WaitSettled(ctx context.Context) bool {
	select {
	case <-m.settled:
		return true
	case <-ctx.Done():
		return false
	}
}

// IsSettled reports whether the live peers are known by now.
func (m *Mesh) IsSettled() bool {
	select {
	case <-m.settled:
		return true
	default:
		return false
	}
}

// IsRegistered reports whether this instance has been announced and has listed the others.
func (m *Mesh) IsRegistered() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.registered
}

// IsStarting reports whether this instance may not have heard from all live peers yet.
func (m *Mesh) IsStarting() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return !m.started
}

// AnnouncedEntries returns the entries that have been announced and aren't lost, whether they
// were heard from or not, sorted by name and including this instance if it is one.
func (m *Mesh) AnnouncedEntries() []Node {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []Node
	if m.self.Plans {
		out = append(out, m.self)
	}
	for _, p := range m.peers {
		if p.Plans && !p.lost && !p.Stopping {
			out = append(out, p.Node)
		}
	}
	slices.SortFunc(out, func(a, b Node) int { return strings.Compare(a.Name, b.Name) })
	return out
}

// IsAlive reports whether a live peer has the name.
func (m *Mesh) IsAlive(name string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	p, ok := m.peers[name]
	return ok && m.isReachable(p)
}

// FindHolder returns the peer that a record names as owner, and whether it is alive.
func (m *Mesh) FindHolder(owner string) (Node, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, p := range m.peers {
		if p.Holder() == owner {
			return p.Node, m.isReachable(p)
		}
	}
	return Node{}, false
}

// OwnerOf returns the live peer with the latest epoch of a batch: an earlier owner may
// not have noticed yet that it was fenced.
func (m *Mesh) OwnerOf(id string) (n Node, ok bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	latest := int64(0)
	for _, p := range m.peers {
		if epoch, owns := p.OpenEpochs[id]; owns && m.isReachable(p) && epoch > latest {
			n, ok, latest = p.Node, true, epoch
		}
	}
	return n, ok
}

// OpenEpoch returns the latest epoch at which a live peer owns a batch, 0 if none does.
func (m *Mesh) OpenEpoch(id string) int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	latest := int64(0)
	for _, p := range m.peers {
		if m.isReachable(p) {
			latest = max(latest, p.OpenEpochs[id])
		}
	}
	return latest
}

// OpenBatches returns the IDs of the open batches that live peers own.
func (m *Mesh) OpenBatches() map[string]bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := make(map[string]bool)
	for _, p := range m.peers {
		if !m.isReachable(p) {
			continue
		}
		for id := range p.OpenEpochs {
			out[id] = true
		}
	}
	return out
}

// Grants returns the live peers that accept submissions, by model: those with the latest
// epoch, as an earlier one may not have noticed yet that it was fenced.
func (m *Mesh) Grants() map[string]Grant {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := make(map[string]Grant)
	for _, p := range m.peers {
		if !m.isReachable(p) || p.Stopping {
			continue
		}
		for model, epoch := range p.Grants {
			if epoch > out[model].Epoch {
				out[model] = Grant{Node: p.Node, Epoch: epoch}
			}
		}
	}
	return out
}

// BatchAge returns how long ago a batch was accepted, by the latest status of its owners,
// including those that were lost recently.
func (m *Mesh) BatchAge(id string) (age time.Duration, ok bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, p := range m.peers {
		if ms, told := p.OpenAges[id]; told {
			age, ok = max(age, time.Duration(ms)*time.Millisecond+time.Since(p.statusAt)), true
		}
	}
	return age, ok
}

// Demand returns the expected work of each model in tokens, by the newest batch that
// this instance or any live peer has.
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
		if m.isReachable(p) {
			add(p.Status)
		}
	}
	return out
}
