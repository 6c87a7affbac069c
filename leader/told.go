package leader

import (
	"context"
	"strings"
	"time"

	"github.com/lavendermux/lavendermux/mesh"
	"github.com/lavendermux/lavendermux/sleep"
)

const (
	// path is where instances tell what they have counted.
	path = "/lavendermux.Usage/Told"

	// tellEvery is how often an instance tells what has changed: a killed instance takes
	// so much of its counts with it.
	tellEvery = 250 * time.Millisecond
	// tellPerEntry bounds what the leader and its heir spend on being told, some 100
	// messages a second each from 25 entries on.
	tellPerEntry = 10 * time.Millisecond
	// tellPart of a window is the longest time between two tellings.
	tellPart = 2
	// settleTime is how long after a window its counts may change: a request that an
	// endpoint turns away is taken back within a round trip or two. Everybody tells its
	// counts once after that, also where nothing has changed.
	settleTime = 500 * time.Millisecond
	// tellTimeout bounds one telling.
	tellTimeout = 400 * time.Millisecond
	// toldFor is how long the counts of an instance are kept that tells nothing more.
	toldFor = 5 * time.Minute
)

type (
	// toldRequest has the counts of one boot of an instance.
	toldRequest struct {
		Holder string `json:"holder"`
		// Upto is the moment of the counts, in milliseconds since the start of 1970.
		Upto   int64                    `json:"uptoMs"`
		Counts map[int64]map[string]int `json:"counts,omitempty"`
		// Load is how many requests run or wait here, by service, where that is asked for.
		Load map[string]float64 `json:"load,omitempty"`
	}

	toldResponse struct {
		// Fixed is the last window whose report is fixed; 0 from who doesn't lead.
		Fixed int64 `json:"fixed,omitempty"`
	}

	// counted is what an instance told last.
	counted struct {
		toldRequest
		// at is when, by this process's steady clock.
		at time.Time
	}

	// telling is what one peer was told last.
	telling struct {
		upto    time.Time
		changes int64
	}
)

// tell tells the leader and its heir what this instance counts.
func (l *Leader) tell(ctx context.Context) {
	last := make(map[string]telling)
	for sleep.For(ctx, l.tellPause()) {
		if !l.isTelling() {
			continue
		}
		chief, ok := l.mesh.Leader()
		if !ok {
			continue
		}
		l.tellOne(ctx, chief, last)
		if next, ok := heir(chief, l.mesh.Members()); ok {
			l.tellOne(ctx, next, last)
		}
	}
}

// isTelling reports whether this instance has anything to tell: without callers it has no
// counts, but may run items.
func (l *Leader) isTelling() bool {
	return l.mesh.Self().Plans && l.due() || l.scale.Load() != nil
}

func (l *Leader) tellPause() time.Duration {
	pause := max(tellEvery, time.Duration(l.mesh.Size())*tellPerEntry)
	return min(pause, l.late/tellPart)
}

// tellOne tells a peer, if it doesn't know all.
func (l *Leader) tellOne(ctx context.Context, n mesh.Node, last map[string]telling) {
	if n.Name == l.mesh.Self().Name {
		return
	}
	now := l.clock.Now()
	old := last[n.Holder()]
	isSettled := l.book.Window(old.upto.Add(-settleTime)) == l.book.Window(now.Add(-settleTime))
	load := l.scale.Load()
	isLoadTold := load == nil || now.Sub(old.upto) < loadEvery
	if isSettled && old.changes == l.book.Changes() && isLoadTold {
		return
	}
	counts, changes := l.book.Open()
	callCtx, cancel := context.WithTimeout(ctx, tellTimeout)
	defer cancel()
	in := toldRequest{Holder: l.mesh.Self().Holder(), Upto: now.UnixMilli(), Counts: counts, Load: load}
	res, err := mesh.Call[toldRequest, toldResponse](callCtx, l.mesh.Client(), n.Addr, path, &in)
	if err != nil {
		l.logger.Debug("Counts not told.", "peer", n.Name, "error", err)
		return
	}
	last[n.Holder()] = telling{upto: now, changes: changes}
	l.book.Reported(res.Fixed)
}

// take takes what a peer has counted. An older message that comes late says nothing.
func (l *Leader) take(_ context.Context, in *toldRequest) (*toldResponse, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	if in.Upto >= l.told[in.Holder].Upto {
		l.told[in.Holder] = counted{toldRequest: *in, at: now}
	}
	for holder, c := range l.told {
		if now.Sub(c.at) > toldFor {
			delete(l.told, holder)
		}
	}
	if l.term == nil {
		return &toldResponse{}, nil
	}
	return &toldResponse{Fixed: l.rec.Fixed}, nil
}

// sum adds up what all have counted in a window, and reports whether everybody who may
// have counted in it has told all of it: the live entries, and those that have fallen
// silent since. A leader that is cut off from its peers hears of no live ones; it must not
// bill customers for what it counted alone while its successor knows the rest.
func (l *Leader) sum(window int64) (counts map[string]int, isWhole bool) {
	settled, begin := l.book.Ends(window).Add(settleTime).UnixMilli(), l.book.Ends(window-1).UnixMilli()
	own, _ := l.book.Open()
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
	isWhole = true
	for _, n := range entries {
		alive[n.Name] = true
		isWhole = isWhole && (n.Name == self.Name || l.told[n.Holder()].Upto >= settled)
	}
	for holder, c := range l.told {
		add(c.Counts[window])
		name, _, _ := strings.Cut(holder, "/")
		isWhole = isWhole && (alive[name] || c.Upto < begin || c.Upto >= settled)
	}
	return counts, isWhole
}
