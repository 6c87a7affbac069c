package mesh

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/lavendermux/lavendermux/sleep"
)

const (
	// minPushInterval is the minimum interval between two pushes to a neighbour, in which
	// updates are collected: when a whole fleet starts, hundreds arrive each second.
	minPushInterval = 50 * time.Millisecond
	// maxUpdates bounds the updates and the offers in one probe or response; the rest goes
	// with the next.
	maxUpdates = 400
	// maintainInterval is how often this instance checks for a change of its own status
	// to send, and for silent peers to drop.
	maintainInterval = 100 * time.Millisecond
	// logInterval and maxLogNames bound the log lines about peers that join and leave:
	// without them, each instance of a fleet of 350 that starts would write 350.
	logInterval = 500 * time.Millisecond
	maxLogNames = 8
)

type (
	// peerUpdate is what the sender knows about another instance.
	peerUpdate struct {
		Node    Node  `json:"node"`
		Version int64 `json:"version"`
		// Lost says that a neighbour missed the instance at this version of its status. The
		// instance refutes this with a later version.
		Lost   bool   `json:"lost,omitempty"`
		Status Status `json:"status"`
		// Span is the number of ring positions, starting with the receiver's own, for which
		// the receiver passes the update on; 0 if the sender doesn't rely on it.
		Span int `json:"span,omitempty"`
	}

	// offer names an update that the sender has, without its content.
	offer struct {
		Name        string `json:"name"`
		Boot        string `json:"boot"`
		Incarnation int64  `json:"incarnation"`
		Version     int64  `json:"version"`
		Lost        bool   `json:"lost,omitempty"`
	}
)

// recordChange counts a change of what is known about a peer, received from the peer
// changedBy, and passes it on over span ring positions. m.mu is held.
func (m *Mesh) recordChange(p *peer, changedBy string, span int) {
	m.updates++
	p.changedSeq, p.changedBy, p.span = m.updates, changedBy, 0
	m.passOn(p, span)
}

// passOn has an update pushed to the successors of this instance that are to pass it on to
// all of span ring positions. m.mu is held.
func (m *Mesh) passOn(p *peer, span int) {
	before := m.successorSpans(p.span)
	for name, n := range m.successorSpans(span) {
		if to := m.peers[name]; n > before[name] && to != nil {
			to.push[p.Name] = max(to.push[p.Name], n)
			to.wakeUp()
		}
	}
	p.span = max(p.span, span)
}

// announce pushes this instance's own status to all others, unless it probes all of them
// anyway. m.mu is held.
func (m *Mesh) announce() {
	if !m.isSparse() {
		return
	}
	for name, n := range m.successorSpans(m.ring.Len()) {
		if to := m.peers[name]; to != nil {
			to.pushSelf = n
			to.wakeUp()
		}
	}
}

// successorSpans divides span positions among the neighbours that follow this instance on the
// ring, as a broadcast tree: each instance gets an update once, after log2(span) hops at most.
// m.mu is held.
func (m *Mesh) successorSpans(span int) map[string]int {
	out := make(map[string]int)
	for name, n := range m.ring.Split(m.self.Name, span) {
		out[name] = n
	}
	return out
}

// wakeUp makes the probe loop of a neighbour send at once.
func (p *peer) wakeUp() {
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// hasPush reports whether there is something to push to a peer or to request from it.
func (m *Mesh) hasPush(p *peer) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return p.alive && (p.pushSelf > 0 || len(p.push) > 0 || len(p.want) > 0)
}

// takePush returns the updates to push to a peer, maxUpdates at most, and removes them from
// those that wait. m.mu is held.
func (m *Mesh) takePush(p *peer) (updates []peerUpdate, span int) {
	for name, n := range p.push {
		if len(updates) == maxUpdates {
			break
		}
		delete(p.push, name)
		if about, ok := m.peers[name]; ok && about.isTold() {
			updates = append(updates, about.update(n))
		}
	}
	span, p.pushSelf = p.pushSelf, 0
	return updates, span
}

// isTold reports whether others are told about a peer: not before it was heard from.
func (p *peer) isTold() bool { return p.Incarnation > 0 && (p.alive || p.lost) }

// update returns what is known about a peer.
func (p *peer) update(span int) peerUpdate {
	return peerUpdate{Node: p.Node, Version: p.version, Lost: p.lost, Status: p.withAge(time.Since(p.statusAt)), Span: span}
}

// refutable returns the claim that the peer is lost if it was declared so and hasn't refuted
// that yet: others may still believe it. It is meant for the peer itself.
func (p *peer) refutable() []peerUpdate {
	if p.lostVersion == 0 || p.version > p.lostVersion {
		return nil
	}
	return []peerUpdate{{Node: p.Node, Version: p.lostVersion, Lost: true}}
}

// allUpdates returns what is known about all instances but the one with the name. m.mu is
// held.
func (m *Mesh) allUpdates(name string) []peerUpdate {
	var out []peerUpdate
	for _, p := range m.peers {
		if p.isTold() && p.Name != name {
			out = append(out, p.update(0))
		}
	}
	return out
}

// offersFor returns the changes after a sequence number that the peer itself didn't send, and
// the number up to which they are complete. m.mu is held.
func (m *Mesh) offersFor(name string, after int64) (offers []offer, upto int64) {
	var changed []*peer
	for _, p := range m.peers {
		if p.changedSeq > after && p.changedBy != name && p.isTold() && p.Name != name {
			changed = append(changed, p)
		}
	}
	slices.SortFunc(changed, func(a, b *peer) int { return cmp.Compare(a.changedSeq, b.changedSeq) })
	upto = m.updates
	if len(changed) > maxUpdates {
		changed = changed[:maxUpdates]
		upto = changed[maxUpdates-1].changedSeq
	}
	for _, p := range changed {
		offers = append(offers, offer{Name: p.Name, Boot: p.Boot, Incarnation: p.Incarnation, Version: p.version, Lost: p.lost})
	}
	return offers, upto
}

// missingOf returns the names of the offered updates that this instance doesn't have.
func (m *Mesh) missingOf(offers []offer) []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []string
	for _, o := range offers {
		p, ok := m.peers[o.Name]
		u := peerUpdate{Node: Node{Name: o.Name, Boot: o.Boot, Incarnation: o.Incarnation}, Version: o.Version, Lost: o.Lost}
		if o.Name != m.self.Name && (!ok && !o.Lost || ok && p.isSupersededBy(u)) {
			out = append(out, o.Name)
		}
	}
	return out
}

// updatesAbout returns what is known about the named instances. m.mu is held.
func (m *Mesh) updatesAbout(names []string) []peerUpdate {
	var out []peerUpdate
	for _, name := range names[:min(len(names), maxUpdates)] {
		if p, ok := m.peers[name]; ok && p.isTold() {
			out = append(out, p.update(0))
		}
	}
	return out
}

// applyUpdates merges what a peer knows about other instances.
func (m *Mesh) applyUpdates(from string, updates []peerUpdate) {
	for _, u := range updates {
		m.applyUpdate(from, u)
	}
}

func (m *Mesh) applyUpdate(from string, u peerUpdate) {
	m.mu.Lock()
	if u.Node.Name == m.self.Name {
		if u.Lost {
			m.refute(u)
		}
		m.mu.Unlock()
		return
	}
	p, ok := m.peers[u.Node.Name]
	if !ok && u.Lost {
		m.mu.Unlock()
		return
	}
	if !ok {
		p = newPeer(Node{})
		m.peers[u.Node.Name] = p
	}
	if !p.isSupersededBy(u) {
		if p.Boot == u.Node.Boot && p.version == u.Version && p.lost == u.Lost {
			m.passOn(p, u.Span) // known from elsewhere, but not passed on so far
		}
		m.mu.Unlock()
		return
	}
	old := *p
	if p.Boot != u.Node.Boot {
		p.resetBootState()
	}
	p.Node, p.Status, p.version, p.statusAt = u.Node, u.Status, u.Version, time.Now()
	p.alive, p.lost = !u.Lost, u.Lost
	if u.Lost {
		p.lostVersion = u.Version
	}
	switch {
	case !old.alive && p.alive:
		m.joined = append(m.joined, p.Name)
	case old.alive && !p.alive:
		m.left = append(m.left, p.Name)
	}
	if !ok || old.alive != p.alive || old.lost != p.lost {
		m.updateRing(p)
	}
	m.recordChange(p, from, u.Span)
	m.mu.Unlock()
	hasEnded := old.alive && u.Lost || old.Boot != "" && old.Boot != u.Node.Boot
	switch {
	case hasEnded && old.Boot == u.Node.Boot:
		m.lost(u.Node, u.Status)
	case hasEnded && len(old.OpenEpochs) > 0:
		m.lost(old.Node, old.Status)
	}
	if !u.Lost {
		m.onStatus(u.Node, u.Status)
	}
}

// resetBootState clears the state that belongs to an earlier incarnation.
func (p *peer) resetBootState() { p.receivedSeq, p.sentSeq, p.sentVersion, p.lostVersion = 0, 0, 0, 0 }

// refute answers an update that declares this instance lost by raising the version of
// its status. m.mu is held.
func (m *Mesh) refute(u peerUpdate) {
	if u.Lost && u.Node.Incarnation == m.self.Incarnation && u.Version >= m.statusVersion {
		m.statusVersion = u.Version + 1
		m.announce()
	}
}

// isSupersededBy reports whether u is newer than what is known about the peer.
func (p *peer) isSupersededBy(u peerUpdate) bool {
	isFresh := p.alive && time.Since(p.lastContact) < aliveTimeout
	switch {
	case p.Boot == "":
		return true
	case p.Boot != u.Node.Boot:
		return u.Node.Incarnation > p.Incarnation && (p.Incarnation > 0 || !isFresh)
	case u.Version != p.version:
		return u.Version > p.version
	case u.Lost:
		return p.alive && !isFresh
	}
	return !p.alive && !p.lost
}

// maintain sends changes of this instance's status, drops silent peers and logs
// membership changes until ctx ends.
func (m *Mesh) maintain(ctx context.Context) {
	logged := time.Now()
	for sleep.For(ctx, maintainInterval) {
		m.newProbe()
		m.mu.Lock()
		m.dropSilent()
		joined, left, alive := m.joined, m.left, 0
		isDue := time.Since(logged) >= logInterval && len(joined)+len(left) > 0
		if isDue {
			m.joined, m.left = nil, nil
		}
		for _, p := range m.peers {
			if m.isReachable(p) {
				alive++
			}
		}
		m.mu.Unlock()
		if isDue {
			logged = time.Now()
			m.logger.Info("Peers changed.", "joined", truncateNames(joined), "left", truncateNames(left), "alive", alive)
		}
	}
}

// dropSilent removes peers that haven't been heard from for forgetAfter. m.mu is held.
func (m *Mesh) dropSilent() {
	for name, p := range m.peers {
		if p.alive || time.Since(p.statusAt) < forgetAfter || time.Since(p.lastContact) < forgetAfter {
			continue
		}
		if p.stopProbes != nil {
			p.stopProbes()
		}
		delete(m.peers, name)
		if _, ok := m.missing[name]; !ok && !p.Stopping {
			m.missing[name] = time.Now() // checked against its announcement at the next list
		}
		m.updateRing(p)
	}
}

func truncateNames(names []string) []string {
	if len(names) <= maxLogNames {
		return names
	}
	return append(slices.Clone(names[:maxLogNames]), "and more")
}
