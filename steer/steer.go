// Package steer keeps an entry in touch with the processes beside the engines: it
// tells them which weights to load and learns at once which they have.
package steer

import (
	"context"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"github.com/lavendermux/lavendermux/giver"
	"github.com/lavendermux/lavendermux/mesh"
	"github.com/lavendermux/lavendermux/sleep"
	"github.com/lavendermux/lavendermux/wplan"
	"github.com/lavendermux/lavendermux/wset"
)

const (
	// path is where the process beside an engine is asked.
	path = "/lavendermux.Steer/Steer"

	// waitMost is how long an unchanged state is waited for, and askTimeout the
	// bound of a question beyond that.
	waitMost   = 1500 * time.Millisecond
	askTimeout = 800 * time.Millisecond
	// retryPause is the wait after a question without an answer.
	retryPause = 300 * time.Millisecond
	// planEvery is how often the plan is made anew without a change.
	planEvery = 250 * time.Millisecond
	// firstVersion is what engines have before any version was named.
	firstVersion = 1
	// defaultLag: samples may be one version old.
	defaultLag = 1
)

type (
	// Pilot steers the engines from an entry. See New.
	Pilot struct {
		set    *wset.Set
		mesh   *mesh.Mesh
		client *http.Client
		port   string
		logger *log.Logger
		pure   func(model string) bool
		busy   func() bool

		mu      sync.Mutex
		named   map[string]named
		links   map[string]*link
		changed chan struct{}
		// plansSince is when this instance began to plan; zero while it doesn't.
		plansSince time.Time
	}

	named struct {
		version  int64
		revision int64
		at       time.Time
	}

	// link is the connection to the process beside one engine.
	link struct {
		view   wset.View
		cancel context.CancelFunc
		// home is the model that the engine is meant for.
		home  string
		wants map[string]giver.Want
		dirty chan struct{}
	}

	request struct {
		Wants []giver.Want `json:"wants"`
		Seen  int64        `json:"seen"`
		Wait  int64        `json:"waitMs"`
	}
)

// New returns a pilot. port is where the processes beside engines listen; pure
// says whether a model's samples must come from one version, busy whether this
// instance sends work to engines.
//
//	p := steer.New(set, m, client, 7720, logger, pure, busy)
//	go p.Run(ctx)
func New(set *wset.Set, m *mesh.Mesh, client *http.Client, port int, logger *log.Logger, pure func(model string) bool, busy func() bool) *Pilot {
	return &Pilot{
		set:     set,
		mesh:    m,
		client:  client,
		port:    strconv.Itoa(port),
		logger:  logger,
		pure:    pure,
		busy:    busy,
		named:   make(map[string]named),
		links:   make(map[string]*link),
		changed: make(chan struct{}, 1),
	}
}

// Handler answers for the engine beside this process.
func Handler(g *giver.Giver) (string, http.Handler) {
	return path, mesh.Handle(path, func(ctx context.Context, in *request) (*giver.State, error) {
		for _, w := range in.Wants {
			g.Want(w)
		}
		ctx, cancel := context.WithTimeout(ctx, min(waitMost, time.Duration(in.Wait)*time.Millisecond))
		defer cancel()
		state := g.State(ctx, in.Seen)
		return &state, nil
	})
}

// Name takes a version that a trainer has named.
func (p *Pilot) Name(model string, version, revision int64) {
	p.mu.Lock()
	old := p.named[model]
	newer := version > old.version
	if newer {
		p.named[model] = named{version: version, revision: revision, at: time.Now()}
	}
	p.mu.Unlock()
	if newer {
		p.logger.Info("Version named.", "model", model, "version", version, "revision", revision)
		select {
		case p.changed <- struct{}{}:
		default:
		}
	}
}

// Run steers until ctx ends.
func (p *Pilot) Run(ctx context.Context) {
	t := time.NewTicker(planEvery)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		case <-p.changed:
		}
		plans := p.Plans()
		p.noteTurn(plans)
		p.connect(ctx, plans || p.busy())
		if plans {
			p.plan()
		}
	}
}

// Plans reports whether this instance plans. Only one entry does, the first by
// name: two that see different engines would have more of them load than needed. One
// that doesn't know its peers yet would take itself for the first.
func (p *Pilot) Plans() bool {
	self := p.mesh.Self()
	if !self.Plans || !p.mesh.IsSettled() {
		return false
	}
	for _, n := range p.mesh.Alive() {
		if n.Plans && n.Name < self.Name {
			return false
		}
	}
	return true
}

// noteTurn remembers since when this instance plans.
func (p *Pilot) noteTurn(plans bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case !plans:
		p.plansSince = time.Time{}
	case p.plansSince.IsZero():
		p.plansSince = time.Now()
		p.logger.Info("Plans loads.", "named", len(p.named), "engines", len(p.links))
	}
}

// connect keeps one link to each engine while that is of use here. All instances
// to all engines would be a thousand connections in a fleet of thirty and fifty.
func (p *Pilot) connect(ctx context.Context, wanted bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	known := make(map[string]bool)
	for _, v := range p.set.All() {
		if len(v.Versions) == 0 || !wanted {
			continue
		}
		known[v.ID] = true
		if l, ok := p.links[v.ID]; ok && l.view.SameBoot(v.Endpoint) {
			l.view = v
			continue
		} else if ok {
			l.cancel()
		}
		linkCtx, cancel := context.WithCancel(ctx)
		l := &link{view: v, cancel: cancel, wants: make(map[string]giver.Want), dirty: make(chan struct{}, 1)}
		p.links[v.ID] = l
		go p.follow(linkCtx, l, v)
	}
	for id, l := range p.links {
		if !known[id] {
			l.cancel()
			delete(p.links, id)
		}
	}
}

// plan says which engine loads what.
func (p *Pilot) plan() {
	p.mu.Lock()
	defer p.mu.Unlock()
	state := wplan.State{Named: make(map[string]int64), Demand: p.mesh.Demand(), Age: make(map[string]time.Duration), Lag: defaultLag,
		Watched: time.Since(p.plansSince)}
	for model, n := range p.named {
		state.Named[model] = n.version
		state.Age[model] = time.Since(n.at)
	}
	for model := range state.Demand {
		state.Named[model] = max(state.Named[model], firstVersion)
	}
	for _, id := range slices.Sorted(maps.Keys(p.links)) {
		if l := p.links[id]; !l.view.Draining {
			state.Engines = append(state.Engines, l.engine())
		}
	}
	plan := wplan.New(state)
	for id, model := range plan.Home {
		p.links[id].home = model
	}
	for _, load := range plan.Loads {
		p.want(p.links[load.Engine], load.Model, p.named[load.Model])
	}
}

// engine is what a plan needs to know; versions that were asked for and aren't
// there yet count as being loaded.
func (l *link) engine() wplan.Engine {
	e := wplan.Engine{ID: l.view.ID, Versions: l.view.Versions, Running: l.view.Running, Home: l.home}
	for model := range l.view.Loading {
		e.Loading = model
	}
	for model, w := range l.wants {
		if l.view.Versions[model] < w.Version {
			e.Loading = model
		}
	}
	return e
}

func (p *Pilot) want(l *link, model string, n named) {
	l.wants[model] = giver.Want{
		Model:    model,
		Version:  n.version,
		Endpoint: l.view.ID,
		Keep:     !p.pure(model),
	}
	p.logger.Info("Load planned.", "endpoint", l.view.ID, "model", model, "version", n.version, "had", l.view.Versions[model], "running", l.view.Running)
	select {
	case l.dirty <- struct{}{}:
	default:
	}
}

// follow asks the process beside one engine for its state, again and again; new
// wants cut the wait short.
func (p *Pilot) follow(ctx context.Context, l *link, v wset.View) {
	host, _, err := net.SplitHostPort(v.Addr)
	if err != nil {
		p.logger.Error("Endpoint's address unreadable.", "endpoint", v.ID, "error", err)
		return
	}
	addr := net.JoinHostPort(host, p.port)
	seen, lost := int64(-1), false
	for ctx.Err() == nil {
		state, err := p.ask(ctx, l, addr, seen)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			if !lost {
				p.logger.Warn("Engine's process lost.", "endpoint", v.ID, "addr", addr, "error", err)
			}
			lost = true
			sleep.For(ctx, retryPause)
			continue
		}
		if lost {
			p.logger.Info("Engine's process regained.", "endpoint", v.ID, "addr", addr)
		}
		lost = false
		if state == nil || !state.Known {
			continue
		}
		seen = state.Serial
		p.take(v, state)
	}
}

// ask returns nil if it was cut short by a new want.
func (p *Pilot) ask(ctx context.Context, l *link, addr string, seen int64) (*giver.State, error) {
	ctx, cancel := context.WithTimeout(ctx, waitMost+askTimeout)
	defer cancel()
	p.mu.Lock()
	select {
	case <-l.dirty:
	default:
	}
	in := &request{Seen: seen, Wait: waitMost.Milliseconds()}
	for w := range maps.Values(l.wants) {
		in.Wants = append(in.Wants, w)
	}
	p.mu.Unlock()
	type answer struct {
		state *giver.State
		err   error
	}
	done := make(chan answer, 1)
	go func() {
		state, err := mesh.Call[request, giver.State](ctx, p.client, addr, path, in)
		done <- answer{state: state, err: err}
	}()
	select {
	case a := <-done:
		return a.state, a.err
	case <-l.dirty:
		return nil, nil
	}
}

func (p *Pilot) take(v wset.View, state *giver.State) {
	if state.Gone == v.ID {
		p.logger.Info("Engine gone.", "endpoint", v.ID, "addr", v.Addr)
		p.set.Gone(v.Endpoint)
	} else {
		for model, version := range state.Versions {
			p.set.Version(v.Endpoint, model, version)
		}
		p.set.Loading(v.Endpoint, state.Loading)
	}
	select {
	case p.changed <- struct{}{}:
	default:
	}
}
