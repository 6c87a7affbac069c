package mesh

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/lavendermux/lavendermux/sleep"
)

const (
	// newsPause collects what comes within it before it is told on: when a whole fleet
	// starts, hundreds of news come in a second.
	newsPause = 50 * time.Millisecond
	// newsMost bounds the news of one question or answer; the rest goes with the next.
	newsMost = 400
	// lookEvery is how often this instance looks whether it has something new to tell,
	// and whom to forget.
	lookEvery = 100 * time.Millisecond
	// logEvery and logNames bound the lines about peers that come and go: in a fleet of
	// 350 that starts, each instance would write 350.
	logEvery = 500 * time.Millisecond
	logNames = 8
)

// rumour is what an instance knows about another one.
type rumour struct {
	Node    Node  `json:"node"`
	Version int64 `json:"version"`
	// Lost says that a neighbour missed it at this version of its status. The instance
	// itself contradicts by a later version.
	Lost   bool   `json:"lost,omitempty"`
	Status Status `json:"status"`
}

// noteChange counts a change of what is known about a peer, told by another one, and
// has it told on. The lock is held.
func (m *Mesh) noteChange(p *peer, from string) {
	m.news++
	p.changed, p.from = m.news, from
	m.poke()
}

// poke has all neighbours told what is new. The lock is held.
func (m *Mesh) poke() {
	if !m.isSparse() {
		return
	}
	for _, p := range m.peers {
		if p.cancel == nil {
			continue
		}
		select {
		case p.poked <- struct{}{}:
		default:
		}
	}
}

// hasNews reports whether there is something to tell a peer that it doesn't have.
func (m *Mesh) hasNews(p *peer) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.isSparse() || !p.alive {
		return false
	}
	news, _ := m.newsFor(p.Name, p.given)
	return len(news) > 0 || p.shown < m.version
}

// newsFor returns what changed after a count and didn't come from the peer itself, and
// the count that this reaches. The lock is held.
func (m *Mesh) newsFor(name string, after int64) (news []rumour, upto int64) {
	var fresh []*peer
	for _, p := range m.peers {
		isKnown := p.alive || p.lost
		if p.changed > after && p.from != name && p.Incarnation > 0 && isKnown && p.Name != name {
			fresh = append(fresh, p)
		}
	}
	slices.SortFunc(fresh, func(a, b *peer) int { return cmp.Compare(a.changed, b.changed) })
	upto = m.news
	if len(fresh) > newsMost {
		fresh = fresh[:newsMost]
		upto = fresh[newsMost-1].changed
	}
	for _, p := range fresh {
		news = append(news, rumour{Node: p.Node, Version: p.version, Lost: p.lost, Status: p.aged(time.Since(p.heard))})
	}
	if p, ok := m.peers[name]; ok && p.lostAt > 0 && p.version <= p.lostAt {
		// It was taken for lost, and others may still do so until it contradicts.
		news = append(news, rumour{Node: p.Node, Version: p.lostAt, Lost: true})
	}
	return news, upto
}

// takeNews takes what a peer knows about others.
func (m *Mesh) takeNews(from string, news []rumour) {
	for _, r := range news {
		m.takeRumour(from, r)
	}
}

func (m *Mesh) takeRumour(from string, r rumour) {
	m.mu.Lock()
	if r.Node.Name == m.self.Name {
		m.contradict(r)
		m.mu.Unlock()
		return
	}
	p, ok := m.peers[r.Node.Name]
	if !ok && r.Lost {
		m.mu.Unlock()
		return
	}
	if !ok {
		p = &peer{poked: make(chan struct{}, 1)}
		m.peers[r.Node.Name] = p
	}
	if !p.older(r) {
		m.mu.Unlock()
		return
	}
	old := *p
	if p.Boot != r.Node.Boot {
		p.forgetBoot()
	}
	p.Node, p.Status, p.version, p.heard = r.Node, r.Status, r.Version, time.Now()
	p.alive, p.lost = !r.Lost, r.Lost
	if r.Lost {
		p.lostAt = r.Version
	}
	m.noteChange(p, from)
	switch {
	case !old.alive && p.alive:
		m.joined = append(m.joined, p.Name)
	case old.alive && !p.alive:
		m.left = append(m.left, p.Name)
	}
	if old.alive != p.alive || old.lost != p.lost {
		m.retune()
	}
	m.mu.Unlock()
	isOver := old.alive && r.Lost || old.Boot != "" && old.Boot != r.Node.Boot
	switch {
	case isOver && old.Boot == r.Node.Boot:
		m.lost(r.Node, r.Status)
	case isOver && len(old.Holding) > 0:
		m.lost(old.Node, old.Status)
	}
	if !r.Lost {
		m.told(r.Node, r.Status)
	}
}

// forgetBoot forgets what was true of an earlier boot only.
func (p *peer) forgetBoot() { p.seen, p.given, p.shown, p.lostAt = 0, 0, 0, 0 }

// contradict answers a rumour that this instance is lost by a later version of its
// status. The lock is held.
func (m *Mesh) contradict(r rumour) {
	if r.Lost && r.Node.Incarnation == m.self.Incarnation && r.Version >= m.version {
		m.version = r.Version + 1
		m.poke()
	}
}

// older reports whether r is later than what is known about the peer.
func (p *peer) older(r rumour) bool {
	isFresh := p.alive && time.Since(p.touched) < aliveFor
	switch {
	case p.Boot == "":
		return true
	case p.Boot != r.Node.Boot:
		return r.Node.Incarnation > p.Incarnation && (p.Incarnation > 0 || !isFresh)
	case r.Version != p.version:
		return r.Version > p.version
	case r.Lost:
		return p.alive && !isFresh
	}
	return !p.alive && !p.lost
}

// look tells what is new about this instance, and forgets peers that are gone.
func (m *Mesh) look(ctx context.Context) {
	logged := time.Now()
	for sleep.For(ctx, lookEvery) {
		m.sign()
		m.mu.Lock()
		m.forget()
		joined, left, alive := m.joined, m.left, 0
		isDue := time.Since(logged) >= logEvery && len(joined)+len(left) > 0
		if isDue {
			m.joined, m.left = nil, nil
		}
		for _, p := range m.peers {
			if m.lives(p) {
				alive++
			}
		}
		m.mu.Unlock()
		if isDue {
			logged = time.Now()
			m.logger.Info("Peers changed.", "joined", shorten(joined), "left", shorten(left), "alive", alive)
		}
	}
}

// forget drops peers that have been silent for long. The lock is held.
func (m *Mesh) forget() {
	dropped := false
	for name, p := range m.peers {
		if p.alive || time.Since(p.heard) < forgetAfter || time.Since(p.touched) < forgetAfter {
			continue
		}
		if p.cancel != nil {
			p.cancel()
		}
		delete(m.peers, name)
		if _, ok := m.missing[name]; !ok && !p.Stopping {
			m.missing[name] = time.Now() // its announcement is looked up with the next list
		}
		dropped = true
	}
	if dropped {
		m.retune()
	}
}

func shorten(names []string) []string {
	if len(names) <= logNames {
		return names
	}
	return append(slices.Clone(names[:logNames]), "and more")
}
