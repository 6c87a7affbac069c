package mesh

import (
	"context"
	"slices"
	"time"

	"github.com/lavendermux/lavendermux/rendez"
	"github.com/lavendermux/lavendermux/ring"
	"github.com/lavendermux/lavendermux/sleep"
	"github.com/lavendermux/lavendermux/speed"
)

const (
	probePath   = "/lavendermux.Mesh/Touch"
	witnessPath = "/lavendermux.Mesh/Witness"

	// probeInterval and aliveTimeout: an instance counts as lost after three missed
	// probes. A result that a trainer waits for is then about a second late, a twelfth
	// of its timeout.
	probeInterval = 350 * time.Millisecond
	aliveTimeout  = 1200 * time.Millisecond
	// probeIntervalPerPeer bounds the cost of probing near neighbours: from 24 of them
	// on it is some 70 probes a second, sent or answered.
	probeIntervalPerPeer = 15 * time.Millisecond
	// farProbeInterval is the interval between probes of far neighbours. These carry
	// updates, which are sent at once; failures are detected by the near neighbours,
	// and far ones only have to notice when all near neighbours of an instance failed
	// with it.
	farProbeInterval = 4 * probeInterval
	// maxMissedProbes is how many probes may be missed before a peer counts as lost.
	maxMissedProbes = 3
	// probeTimeout bounds one probe; a peer answers within milliseconds.
	probeTimeout = 800 * time.Millisecond
	// minPause: a probe that took this much longer than its timeout shows that this
	// process got no processor time, and says nothing about the peer.
	minPause = 200 * time.Millisecond
	// maxWitnesses is how many other neighbours of a silent instance are asked whether
	// they hear it, and witnessTimeout how long they may take. One positive answer is
	// enough: a single broken link must not cause a takeover of the instance's batches.
	maxWitnesses   = 3
	witnessTimeout = 300 * time.Millisecond
	// speedsInterval is the minimum interval between two messages with Speeds to one peer.
	// A small fleet probes some 70 times a second, and the sums are of 10 s.
	speedsInterval = time.Second
	// forgetAfter is how long a silent peer is kept; by then it was probably replaced.
	forgetAfter = 30 * time.Second
)

type (
	// probeMsg is a probe or the response to one.
	probeMsg struct {
		Node    Node   `json:"node"`
		Version int64  `json:"version"`
		Status  Status `json:"status"`
		// WallMicros is the sender's wall clock in microseconds since the Unix epoch. It only
		// serves to estimate clock offsets.
		WallMicros int64 `json:"wall,omitempty"`
		// Span is the number of ring positions, starting with the receiver's own, for which
		// the receiver passes the sender's status on.
		Span int `json:"span,omitempty"`
		// Updates are about other instances. Offers name those that the receiver may lack,
		// up to the sequence number UpdatesSeq of the sender, and Want those that the sender
		// lacks of the receiver's offers.
		Updates    []peerUpdate `json:"news,omitempty"`
		Offers     []offer      `json:"offers,omitempty"`
		UpdatesSeq int64        `json:"upto,omitempty"`
		Want       []string     `json:"want,omitempty"`
		// AckedSeq is how far the sender of a probe has received the updates of its target;
		// FullSync asks for the target's full state.
		AckedSeq int64 `json:"seen,omitempty"`
		FullSync bool  `json:"whole,omitempty"`
	}

	witnessRequest struct {
		Name string `json:"name"`
	}

	witnessResponse struct {
		// Alive says that the instance was heard from recently.
		Alive bool `json:"touched"`
	}
)

// addPeer adds n to the peers, or updates its address.
func (m *Mesh) addPeer(n Node) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if n.Name == m.self.Name || n.Addr == "" {
		return
	}
	if p, ok := m.peers[n.Name]; ok {
		if !p.alive && n.Incarnation > p.Incarnation {
			p.Addr = n.Addr // the rest comes with its first probe
		}
		return
	}
	p := newPeer(n)
	m.peers[n.Name] = p
	m.updateRing(p)
}

// updateRing adds a peer to the ring, or removes it if it is lost or dropped, and updates the
// probe loops. m.mu is held.
func (m *Mesh) updateRing(p *peer) {
	if _, known := m.peers[p.Name]; known && !p.lost {
		m.ring.Add(p.Name)
	} else {
		m.ring.Remove(p.Name)
	}
	m.updateProbes()
	if sparse := m.isSparse(); sparse != m.wasSparse {
		// What this instance and its neighbours learned while all probed all wasn't passed on.
		m.wasSparse, m.synced = sparse, false
		for _, name := range m.neighbours {
			m.peers[name].sentSeq = initialUpdates
		}
		m.announce()
	}
}

// updateProbes starts probe loops for the neighbours and stops the others. Lost
// instances aren't neighbours; they are probed a while longer, in case only the link to
// them was broken. m.mu is held.
func (m *Mesh) updateProbes() {
	if m.runCtx == nil {
		return
	}
	near, far := m.ring.Neighbours(m.self.Name)
	neighbours := slices.Concat(near, far)
	var lost []string
	for _, name := range m.neighbours {
		p, ok := m.peers[name]
		switch {
		case !ok || slices.Contains(neighbours, name):
		case p.lost:
			lost = append(lost, name)
		case p.stopProbes != nil:
			p.near = false
			p.stopProbes()
			p.stopProbes = nil
		}
	}
	for _, name := range neighbours {
		p := m.peers[name]
		p.near = slices.Contains(near, name)
		if p.stopProbes == nil {
			ctx, stopProbes := context.WithCancel(m.runCtx)
			p.stopProbes = stopProbes
			go m.probeLoop(ctx, p)
		}
	}
	m.neighbours = slices.Concat(neighbours, lost)
}

// isSparse reports whether some peers are known by gossip only. m.mu is held.
func (m *Mesh) isSparse() bool { return m.ring.Len() > ring.MaxFullMesh }

func (m *Mesh) probeLoop(ctx context.Context, p *peer) {
	var sentAt time.Time
	for ctx.Err() == nil {
		every := m.interval(p)
		if m.sinceContact(p) >= every*9/10 || m.hasPush(p) {
			sentAt = time.Now()
			m.probe(ctx, p)
		}
		t := time.NewTimer(every)
		select {
		case <-ctx.Done():
		case <-t.C:
		case <-p.wake:
			sleep.For(ctx, minPushInterval-time.Since(sentAt))
		}
		t.Stop()
	}
}

// probe sends a probe to a peer and handles the response.
func (m *Mesh) probe(ctx context.Context, p *peer) {
	req := m.probeFor(p)
	start, sentAt := time.Now(), m.clock.Monotonic()
	callCtx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	res, err := Call[probeMsg, probeMsg](callCtx, m.client, m.peerAddr(p), probePath, &req)
	switch {
	case err == nil:
		m.clock.Observe(res.Node.Name, time.UnixMicro(res.WallMicros), sentAt, m.clock.Monotonic())
		m.handleProbe(*res)
		m.recordExchange(p, req, *res, m.missingOf(res.Offers))
	case ctx.Err() == nil && time.Since(start) > probeTimeout+minPause:
		m.resetTimeout(p)
	case ctx.Err() == nil:
		m.handleMiss(ctx, p)
	}
}

// serveProbe answers the probe of a peer.
func (m *Mesh) serveProbe(_ context.Context, in *probeMsg) (*probeMsg, error) {
	m.addPeer(in.Node)
	m.handleProbe(*in)
	out := m.newProbe()
	speeds := out.Status.Speeds
	out.Status.Speeds = nil
	out.Want = m.missingOf(in.Offers)
	m.mu.Lock()
	defer m.mu.Unlock()
	p, ok := m.peers[in.Node.Name]
	if !ok {
		return &out, nil
	}
	out.Status.Speeds = p.takeSpeeds(speeds)
	m.initSentSeq(p)
	switch {
	case in.FullSync:
		out.Updates, out.UpdatesSeq = m.allUpdates(p.Name), m.updates
	case in.AckedSeq > 0:
		out.Updates = m.updatesAbout(in.Want)
		out.Offers, out.UpdatesSeq = m.offersFor(p.Name, in.AckedSeq)
	case m.isSparse():
		out.UpdatesSeq = m.updates
	}
	if m.isSparse() {
		out.Updates = append(out.Updates, p.refutable()...)
	}
	return &out, nil
}

// newProbe returns a probe with the current status of this instance.
func (m *Mesh) newProbe() probeMsg {
	st := m.status()
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.statusVersion == 0 || !st.equal(m.lastStatus) {
		m.statusVersion++
		m.lastStatus = st
		m.announce()
	}
	return probeMsg{Node: m.self, Version: m.statusVersion, Status: st, WallMicros: time.Now().UnixMicro()}
}

func (m *Mesh) probeFor(p *peer) probeMsg {
	out := m.newProbe()
	m.mu.Lock()
	defer m.mu.Unlock()
	out.Status.Speeds = p.takeSpeeds(out.Status.Speeds)
	out.Updates, out.Span = m.takePush(p)
	out.Want, p.want = p.want, nil
	if !m.isSparse() {
		return out
	}
	m.initSentSeq(p)
	out.Updates = append(out.Updates, p.refutable()...)
	out.Offers, out.UpdatesSeq = m.offersFor(p.Name, p.sentSeq)
	out.Offers = slices.DeleteFunc(out.Offers, func(o offer) bool {
		return slices.ContainsFunc(out.Updates, func(u peerUpdate) bool { return u.Node.Name == o.Name })
	})
	out.AckedSeq, out.FullSync = p.receivedSeq, !m.synced
	return out
}

// initSentSeq has a new peer sent only updates from now on: it asks one of its
// neighbours for the full state. m.mu is held.
func (m *Mesh) initSentSeq(p *peer) {
	if p.sentSeq == 0 {
		p.sentSeq = m.updates
	}
}

// recordExchange records which updates this instance and a peer have of each other. missing
// are the instances whose updates the peer offered and this one lacks. Neither side counts as
// up to date before it has what it lacks, so that a lost message is made up for.
func (m *Mesh) recordExchange(p *peer, req, res probeMsg, missing []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if p.Boot != res.Node.Boot {
		return
	}
	p.sentVersion = max(p.sentVersion, req.Version)
	if len(res.Want) == 0 {
		p.sentSeq = max(p.sentSeq, req.UpdatesSeq)
	}
	if len(missing) == 0 || len(req.Want) > 0 {
		p.receivedSeq = max(p.receivedSeq, res.UpdatesSeq)
	}
	m.synced = m.synced || (req.FullSync && res.UpdatesSeq > 0)
	for _, name := range res.Want {
		p.push[name] = max(p.push[name], 0)
	}
	p.want = missing
	if len(res.Want)+len(missing) > 0 {
		p.wakeUp()
	}
}

func (m *Mesh) peerAddr(p *peer) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return p.Addr
}

// interval returns the time between two probes of a peer. It grows with the number of
// near neighbours, so that the cost of probing them stays constant.
func (m *Mesh) interval(p *peer) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.intervalLocked(p)
}

func (m *Mesh) intervalLocked(p *peer) time.Duration {
	if !p.near {
		return farProbeInterval
	}
	if m.isSparse() {
		return probeInterval
	}
	return max(probeInterval, time.Duration(len(m.peers))*probeIntervalPerPeer)
}

// sinceContact returns how long a peer hasn't been heard from. A probe from the peer
// counts, as it carries all that a response would. For a peer that isn't alive it is an
// hour, so that it is probed at once.
func (m *Mesh) sinceContact(p *peer) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !p.alive {
		return time.Hour
	}
	return time.Since(p.lastContact)
}

// resetTimeout restarts a peer's failure timeout after a pause of this process, during
// which messages from peers waited unread.
func (m *Mesh) resetTimeout(p *peer) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if p.alive {
		p.lastContact = time.Now()
	}
}

// handleProbe applies a probe or response from a peer.
func (m *Mesh) handleProbe(t probeMsg) {
	m.mu.Lock()
	p, ok := m.peers[t.Node.Name]
	if !ok || (t.Node.Boot != p.Boot && t.Node.Incarnation > 0 && t.Node.Incarnation < p.Incarnation) {
		m.mu.Unlock() // dropped meanwhile, or of an earlier incarnation
		return
	}
	now := time.Now()
	old := *p
	speeds := t.Status.Speeds
	t.Status.Speeds = nil // not to be passed on
	m.lastContact, p.lastContact = now, now
	m.isolated = false
	p.alive, p.lost = true, false
	if p.Boot != t.Node.Boot {
		p.resetBootState()
	}
	if p.Boot != t.Node.Boot || t.Version >= p.version {
		p.Node, p.Status, p.version, p.statusAt = t.Node, t.Status, t.Version, now
	}
	if !old.alive {
		m.joined = append(m.joined, p.Name)
		m.updateRing(p)
	}
	if !old.alive || old.Boot != p.Boot || old.version != p.version || old.Incarnation != p.Incarnation {
		m.recordChange(p, p.Name, t.Span)
	} else {
		m.passOn(p, t.Span)
	}
	m.mu.Unlock()
	if old.Boot != "" && old.Boot != t.Node.Boot && len(old.OpenEpochs) > 0 {
		m.lost(old.Node, old.Status)
	}
	m.onStatus(t.Node, t.Status)
	if len(speeds) > 0 {
		m.onSpeeds(t.Node, speeds)
	}
	m.applyUpdates(t.Node.Name, t.Updates)
}

// takeSpeeds returns the speeds to send to a peer now: none to one that forwards no callers'
// requests, or that was sent some just before.
func (p *peer) takeSpeeds(speeds map[string]speed.Sum) map[string]speed.Sum {
	if len(speeds) == 0 || !p.Plans || time.Since(p.speedsSentAt) < speedsInterval {
		return nil
	}
	p.speedsSentAt = time.Now()
	return speeds
}

// handleMiss handles a failed probe: a peer that stays silent and that no witness hears
// is declared lost.
func (m *Mesh) handleMiss(ctx context.Context, p *peer) {
	m.mu.Lock()
	silent := time.Since(p.lastContact)
	timeout := max(aliveTimeout, maxMissedProbes*m.intervalLocked(p))
	suspect, sparse := p.alive && silent > timeout, m.isSparse()
	m.mu.Unlock()
	if !suspect {
		return
	}
	heard, answered := false, 0
	if sparse {
		heard, answered = m.askWitnesses(ctx, p.Name)
	}
	if heard || ctx.Err() != nil {
		return
	}
	m.mu.Lock()
	if !p.alive || time.Since(p.lastContact) < timeout {
		m.mu.Unlock()
		return
	}
	p.alive = false
	// An instance that hears from no peer is itself cut off, and must not spread that
	// all others are lost.
	isolated := sparse && answered == 0 && time.Since(m.lastContact) > aliveTimeout
	m.isolated = m.isolated || isolated
	if !isolated {
		p.lost, p.lostVersion = true, p.version
		m.updateRing(p)
		span := 0
		if sparse { // in a small fleet each instance has to notice by itself
			span = m.ring.Len()
		}
		m.recordChange(p, "", span)
	}
	m.left = append(m.left, p.Name)
	old := *p
	m.mu.Unlock()
	m.logger.Warn("Peer lost.", "peer", old.Name, "boot", old.Boot, "silent", silent.Round(time.Millisecond),
		"holding", len(old.OpenEpochs), "witnesses", answered, "alone", isolated)
	if !isolated {
		m.lost(old.Node, old.Status)
	}
}

// askWitnesses asks other neighbours of a silent instance whether they hear it, and
// returns how many answered.
func (m *Mesh) askWitnesses(ctx context.Context, name string) (heard bool, answered int) {
	ctx, cancel := context.WithTimeout(ctx, witnessTimeout)
	defer cancel()
	asked := m.selectWitnesses(name)
	answers := make(chan *witnessResponse, len(asked))
	for _, n := range asked {
		go func() {
			res, err := Call[witnessRequest, witnessResponse](ctx, m.client, n.Addr, witnessPath, &witnessRequest{Name: name})
			if err != nil { // the witness may be lost, too
				res = nil
			}
			answers <- res
		}()
	}
	for range asked {
		if res := <-answers; res != nil {
			answered++
			heard = heard || res.Alive
		}
	}
	return heard, answered
}

// Witness returns a live peer that hears an instance which this one has lost, and whether one of the few
// that are asked does. In a large fleet it doesn't ask: the neighbours of an instance were asked before it
// counted as lost.
func (m *Mesh) Witness(ctx context.Context, name string) (Node, bool) {
	ctx, cancel := context.WithTimeout(ctx, witnessTimeout)
	defer cancel()
	m.mu.Lock()
	sparse := m.isSparse()
	m.mu.Unlock()
	if sparse {
		return Node{}, false
	}
	asked := rendez.Top(name, m.Alive(), maxWitnesses, func(n Node) string { return n.Name })
	heardBy := make(chan Node, len(asked))
	for _, n := range asked {
		go func() {
			res, err := Call[witnessRequest, witnessResponse](ctx, m.client, n.Addr, witnessPath, &witnessRequest{Name: name})
			if err != nil || !res.Alive { // the witness may be lost, too
				n = Node{}
			}
			heardBy <- n
		}()
	}
	for range asked {
		if n := <-heardBy; n.Name != "" {
			return n, true
		}
	}
	return Node{}, false
}

// selectWitnesses returns live neighbours of an instance, near ones first.
func (m *Mesh) selectWitnesses(name string) []Node {
	m.mu.Lock()
	defer m.mu.Unlock()
	near, far := m.ring.Neighbours(name)
	var out []Node
	for _, n := range append(near, far...) {
		if p, ok := m.peers[n]; ok && p.alive && len(out) < maxWitnesses {
			out = append(out, p.Node)
		}
	}
	return out
}

// serveWitness tells a peer whether this instance hears another one.
func (m *Mesh) serveWitness(_ context.Context, in *witnessRequest) (*witnessResponse, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	p, ok := m.peers[in.Name]
	return &witnessResponse{Alive: ok && p.alive && time.Since(p.lastContact) < aliveTimeout}, nil
}

// isReachable reports whether a peer is alive, as seen by this instance or another
// neighbour of it. An isolated instance treats no peer as alive. m.mu is held.
func (m *Mesh) isReachable(p *peer) bool { return p.alive && !m.isolated }
