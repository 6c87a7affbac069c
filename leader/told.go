package leader

import (
	"context"
	"strings"
	"time"

	"github.com/lavendermux/lavendermux/mesh"
	"github.com/lavendermux/lavendermux/sleep"
)

const (
	// path is the HTTP path to which instances send their counts.
	path = "/lavendermux.Usage/Told"

	// minSendInterval is the shortest interval at which an instance sends changed counts. A
	// killed instance loses the counts of one interval.
	minSendInterval = 250 * time.Millisecond
	// sendIntervalPerEntry lengthens the interval with the number of entries, which limits
	// the leader and its successor to some 100 messages per second each from 25 entries on.
	sendIntervalPerEntry = 10 * time.Millisecond
	// sendsPerDeadline is how often at least an instance sends its counts within the report
	// deadline.
	sendsPerDeadline = 2
	// settleTime is how long after the end of a window its counts may change: a request that
	// an endpoint rejects is uncounted within a round trip or two. Each instance sends its
	// counts once after that, even if nothing has changed.
	settleTime = 500 * time.Millisecond
	// sendTimeout bounds one message with counts.
	sendTimeout = 400 * time.Millisecond
	// countsTTL is how long the counts of an instance are kept after its last message.
	countsTTL = 5 * time.Minute
)

type (
	// countsRequest carries the counts of one incarnation of an instance.
	countsRequest struct {
		Holder string `json:"holder"`
		// Upto is the time of the counts, in milliseconds since the start of 1970.
		Upto   int64                    `json:"uptoMs"`
		Counts map[int64]map[string]int `json:"counts,omitempty"`
		// Load is the number of running and waiting requests by service, if endpoints are
		// ordered.
		Load map[string]float64 `json:"load,omitempty"`
	}

	countsResponse struct {
		// Committed is the last window whose report is committed; 0 if the receiver is not leader.
		Committed int64 `json:"fixed,omitempty"`
	}

	// receivedCounts are the latest counts of another instance.
	receivedCounts struct {
		countsRequest
		// at is when they arrived, by this process's monotonic clock.
		at time.Time
	}

	// sentCounts describes the last message to a peer.
	sentCounts struct {
		upto    time.Time
		changes int64
	}
)

// sendCounts keeps the leader and its successor informed of this instance's counts.
func (l *Leader) sendCounts(ctx context.Context) {
	last := make(map[string]sentCounts)
	for sleep.For(ctx, l.sendInterval()) {
		if !l.hasUpdates() {
			continue
		}
		leader, ok := l.mesh.Leader()
		if !ok {
			continue
		}
		l.sendCountsTo(ctx, leader, last)
		if next, ok := successor(leader, l.mesh.Members()); ok {
			l.sendCountsTo(ctx, next, last)
		}
	}
}

// hasUpdates reports whether this instance may have counts or load to send. Without callers
// it has no counts, but it may run items.
func (l *Leader) hasUpdates() bool {
	return l.mesh.Self().Plans && l.isReporting() || l.scaler.Load() != nil
}

// sendInterval returns the time between two messages to one peer.
func (l *Leader) sendInterval() time.Duration {
	pause := max(minSendInterval, time.Duration(l.mesh.EntryCount())*sendIntervalPerEntry)
	return min(pause, l.reportDeadline/sendsPerDeadline)
}

// sendCountsTo sends the counts and the load to a peer if they are due: when the counts have
// changed, when a window has settled, or when the load is outdated.
func (l *Leader) sendCountsTo(ctx context.Context, n mesh.Node, last map[string]sentCounts) {
	if n.Name == l.mesh.Self().Name {
		return
	}
	now := l.clock.Now()
	prev := last[n.Holder()]
	isSettled := l.counter.WindowAt(prev.upto.Add(-settleTime)) == l.counter.WindowAt(now.Add(-settleTime))
	load := l.scaler.Load()
	isLoadSent := load == nil || now.Sub(prev.upto) < loadInterval
	if isSettled && prev.changes == l.counter.Changes() && isLoadSent {
		return
	}
	counts, changes := l.counter.Unreported()
	callCtx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	req := countsRequest{Holder: l.mesh.Self().Holder(), Upto: now.UnixMilli(), Counts: counts, Load: load}
	resp, err := mesh.Call[countsRequest, countsResponse](callCtx, l.mesh.Client(), n.Addr, path, &req)
	if err != nil {
		l.logger.Debug("Counts not sent.", "peer", n.Name, "error", err)
		return
	}
	last[n.Holder()] = sentCounts{upto: now, changes: changes}
	l.counter.MarkReported(resp.Committed)
}

// receive stores the counts of a peer. A message older than the stored counts is ignored.
func (l *Leader) receive(_ context.Context, req *countsRequest) (*countsResponse, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	if req.Upto >= l.received[req.Holder].Upto {
		l.received[req.Holder] = receivedCounts{countsRequest: *req, at: now}
	}
	for holder, c := range l.received {
		if now.Sub(c.at) > countsTTL {
			delete(l.received, holder)
		}
	}
	if l.term == nil {
		return &countsResponse{}, nil
	}
	return &countsResponse{Committed: l.rec.Committed}, nil
}

// sum adds up the counts of all instances in a window. It reports whether they are complete:
// every live entry, and every instance that has fallen silent since the window began, has
// sent its settled counts. A leader that is partitioned from its peers sees no live ones; it
// must not bill customers for its own counts alone while its successor has the others.
func (l *Leader) sum(window int64) (counts map[string]int, isComplete bool) {
	settled, begin := l.counter.WindowEnd(window).Add(settleTime).UnixMilli(), l.counter.WindowEnd(window-1).UnixMilli()
	own, _ := l.counter.Unreported()
	self := l.mesh.Self()
	entries := l.mesh.Entries(false)
	counts = make(map[string]int)
	l.mu.Lock()
	defer l.mu.Unlock()
	add := func(of map[string]int) {
		for customer, n := range of {
			counts[customer] += n
		}
	}
	add(own[window])
	alive := map[string]bool{self.Name: true}
	isComplete = true
	for _, n := range entries {
		alive[n.Name] = true
		isComplete = isComplete && (n.Name == self.Name || l.received[n.Holder()].Upto >= settled)
	}
	for holder, c := range l.received {
		add(c.Counts[window])
		name, _, _ := strings.Cut(holder, "/")
		isComplete = isComplete && (alive[name] || c.Upto < begin || c.Upto >= settled)
	}
	return counts, isComplete
}
