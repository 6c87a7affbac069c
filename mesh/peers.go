package mesh

import (
	"context"
	"maps"
	"slices"
	"strings"
	"time"
)

type (
	// Status is what an instance tells its peers about itself.
	Status struct {
		// Holding are the submissions that are open here, each with the epoch
		// of its record.
		Holding map[string]int64 `json:"holding,omitempty"`
		// Ages has how long ago each of them was accepted, in milliseconds.
		Ages map[string]int64 `json:"ages,omitempty"`
		// Demand is the work of the newest submission of each model, in tokens.
		Demand map[string]float64 `json:"demand,omitempty"`
		// Reaches says that the metadata store can be reached from here.
		Reaches bool `json:"reaches,omitempty"`
		// Strained instances are short of processor time.
		Strained bool `json:"strained,omitempty"`
		// Stopping instances take no new work.
		Stopping bool `json:"stopping,omitempty"`
		// Leads is the epoch of the instance that leads; 0 for all others.
		Leads int64 `json:"leads,omitempty"`
		// Crashes sums up what the instance knows of requests under which endpoints ended. A
		// change of it alone is no news: it goes with the next sign of life.
		Crashes uint64 `json:"crashes,omitempty"`
	}

	// peer is what is known about an instance. The mesh's lock guards it.
	peer struct {
		Node
		Status
		// version is that of Status, which counts up at the peer.
		version int64
		// alive peers gave a sign of life a moment ago, here or at another neighbour
		// of theirs; lost says that a neighbour missed it at this version.
		alive, lost bool
		// lostAt is the version at which the peer was taken for lost; 0 if it never was.
		lostAt int64
		// heard is when Status came, touched the last sign of life to this instance.
		heard, touched time.Time
		// changed is the count of news at the last change, and from who told it.
		changed int64
		from    string
		// near neighbours are asked often. cancel ends the asking; nil while this
		// instance doesn't ask.
		near   bool
		cancel context.CancelFunc
		// poked has the asking go on at once.
		poked chan struct{}
		// seen is how far this instance has the peer's news, given how far the peer
		// has those of this instance, and shown the version of this instance's own
		// status that it has; all three are of the peer's boot.
		seen, given, shown int64
	}
)

// equal reports whether two statuses say the same; ages only go on.
func (s Status) equal(o Status) bool {
	return maps.Equal(s.Holding, o.Holding) && maps.Equal(s.Demand, o.Demand) &&
		s.Reaches == o.Reaches && s.Strained == o.Strained && s.Stopping == o.Stopping && s.Leads == o.Leads
}

// aged returns a status that came some time ago, with the ages as they are now.
func (s Status) aged(by time.Duration) Status {
	if len(s.Ages) == 0 {
		return s
	}
	ages := make(map[string]int64, len(s.Ages))
	for id, ms := range s.Ages {
		ages[id] = ms + by.Milliseconds()
	}
	s.Ages = ages
	return s
}

// Alive returns the peers that answered a moment ago and aren't stopping, by
// name.
func (m *Mesh) Alive() []Node {
	return m.nodes(func(p *peer) bool { return !p.Stopping })
}

// nodes returns the live peers that keep says, by name.
func (m *Mesh) nodes(keep func(*peer) bool) []Node {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []Node
	for _, p := range m.peers {
		if m.lives(p) && keep(p) {
			out = append(out, p.Node)
		}
	}
	slices.SortFunc(out, func(a, b Node) int { return strings.Compare(a.Name, b.Name) })
	return out
}

// Members returns the live instances that reach the metadata store and aren't stopping,
// with this one if it is one of them.
func (m *Mesh) Members() []Node {
	out := m.nodes(func(p *peer) bool { return !p.Stopping && p.Reaches })
	if own := m.status(); !own.Stopping && own.Reaches {
		out = append(out, m.Self())
	}
	return out
}

// Leader returns the live instance that leads, the latest one if an earlier one hasn't
// noticed yet that it was overtaken.
func (m *Mesh) Leader() (n Node, ok bool) {
	latest := int64(0)
	if own := m.status(); own.Leads > 0 {
		n, ok, latest = m.Self(), true, own.Leads
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, p := range m.peers {
		if p.Leads > latest && m.lives(p) {
			n, ok, latest = p.Node, true, p.Leads
		}
	}
	return n, ok
}

// Heirs returns the live peers that can take submissions on, and how many each
// holds.
func (m *Mesh) Heirs() map[Node]int {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := make(map[Node]int)
	for _, p := range m.peers {
		if m.lives(p) && !p.Stopping && !p.Strained && p.Reaches {
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
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.self.Plans && !own.Stopping && (own.Reaches || !reaching) {
		out = append(out, m.self)
	}
	for _, p := range m.peers {
		if m.lives(p) && p.Plans && !p.Stopping && (p.Reaches || !reaching) {
			out = append(out, p.Node)
		}
	}
	slices.SortFunc(out, func(a, b Node) int { return strings.Compare(a.Name, b.Name) })
	return out
}

// Reaching returns the live peers that reach the metadata store.
func (m *Mesh) Reaching() []Node {
	return m.nodes(func(p *peer) bool { return p.Reaches })
}

// Parted reports whether this instance is out of touch with some of the others, or with all
// of them: what these learn doesn't reach it.
func (m *Mesh) Parted() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	alive := 0
	for _, p := range m.peers {
		if m.lives(p) {
			alive++
		} else if !p.Stopping {
			return true
		}
	}
	for name := range m.missing {
		if p, ok := m.peers[name]; !ok || !m.lives(p) && !p.Stopping {
			return true
		}
	}
	return alive == 0
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
	return ok && m.lives(p)
}

// Find returns the peer that a record names as holder, if it is alive.
func (m *Mesh) Find(holder string) (Node, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, p := range m.peers {
		if p.Holder() == holder {
			return p.Node, m.lives(p)
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
		if epoch, holds := p.Holding[id]; holds && m.lives(p) && epoch > latest {
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
		if m.lives(p) {
			add(p.Status)
		}
	}
	return out
}
