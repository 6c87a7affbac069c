// Package wctrl is the weight controller of an entry: it keeps a long poll open to
// the sidecar of each engine, tells it which weights to load, and learns at once
// which it has. One entry at a time plans the loads for all engines.
package wctrl

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

	"github.com/lavendermux/lavendermux/epset"
	"github.com/lavendermux/lavendermux/loader"
	"github.com/lavendermux/lavendermux/mesh"
	"github.com/lavendermux/lavendermux/sleep"
	"github.com/lavendermux/lavendermux/wplan"
)

const (
	// rpcPath is the path of the RPC at a sidecar.
	rpcPath = "/lavendermux.Steer/Steer"

	// A poll waits for the state to change for pollWaitPerEngine times the number of engines,
	// so that an instance makes at most fifty polls a second however many there are.
	// minPollWait and maxPollWait bound that, and pollMargin is how much longer the response
	// may take.
	pollWaitPerEngine = 20 * time.Millisecond
	minPollWait       = 1500 * time.Millisecond
	maxPollWait       = 30 * time.Second
	pollMargin        = 800 * time.Millisecond
	// retryDelay is the delay before a failed poll is repeated.
	retryDelay = 300 * time.Millisecond
	// planInterval is how often the plan is recomputed without a change.
	planInterval = 250 * time.Millisecond
	// initialVersion is what engines have before any version was announced.
	initialVersion = 1
	// maxVersionLag is how many versions old samples may be.
	maxVersionLag = 1
	// linkLinger is how long links are kept that this instance no longer needs. A trainer
	// submits a step every few seconds, to the same instance; without the linger each step
	// would set up all links anew.
	linkLinger = 30 * time.Second
	// reportTimeout is how long plans leave out an engine whose sidecar hasn't reported yet:
	// what the list of endpoints says of its weights may be many versions old.
	reportTimeout = 1500 * time.Millisecond
	// unreachableAfter is how long a sidecar doesn't answer before its engine counts as
	// unreachable: longer than a load takes, so that one under way still counts as such.
	unreachableAfter = 1500 * time.Millisecond
)

type (
	// Controller controls the weights of the engines from an entry. See New.
	Controller struct {
		set           *epset.Registry
		mesh          *mesh.Mesh
		client        *http.Client
		port          string
		logger        *log.Logger
		singleVersion func(model string) bool
		sendsWork     func() bool

		mu        sync.Mutex
		announced map[string]announced
		links     map[string]*link
		changed   chan struct{}
		// plannerSince is when this instance became the planner; zero while it isn't.
		plannerSince time.Time
		// neededAt is when the links were last needed.
		neededAt time.Time
		// watchesActivity is set while this instance plans loads for which engines finish their
		// requests first: it then needs to know which engines are idle.
		watchesActivity bool
	}

	announced struct {
		version  int64
		revision int64
		at       time.Time
	}

	// link is the connection to the sidecar of one engine.
	link struct {
		view   epset.View
		cancel context.CancelFunc
		// openedAt is when the link was opened; reported is set once the sidecar has said
		// which weights the engine has.
		openedAt time.Time
		reported bool
		// running counts the requests of all callers at the engine, as the sidecar last reported;
		// activity is the State.Activity of that report, which last changed at activityAt.
		running    int
		activity   int64
		activityAt time.Time
		// disconnectedAt is since when the sidecar doesn't answer; zero if it does.
		disconnectedAt time.Time
		// assigned is the model that the plan assigns to the engine.
		assigned     string
		wants        map[string]loader.Want
		wantsChanged chan struct{}
	}

	request struct {
		Wants []loader.Want `json:"wants"`
		Seen  int64         `json:"seen"`
		// SeenActivity is the last State.Activity; 0 if it isn't watched.
		SeenActivity int64 `json:"seenActivity,omitempty"`
		Wait         int64 `json:"waitMs"`
	}
)

// New returns a controller. port is where the sidecars listen; singleVersion reports
// whether a model's samples must come from one version, so that engines finish their requests
// before they load, and sendsWork whether this instance sends work to engines.
//
//	p := wctrl.New(set, m, client, 7720, logger, singleVersion, sendsWork)
//	go p.Run(ctx)
func New(set *epset.Registry, m *mesh.Mesh, client *http.Client, port int, logger *log.Logger, singleVersion func(model string) bool, sendsWork func() bool) *Controller {
	return &Controller{
		set:           set,
		mesh:          m,
		client:        client,
		port:          strconv.Itoa(port),
		logger:        logger,
		singleVersion: singleVersion,
		sendsWork:     sendsWork,
		announced:     make(map[string]announced),
		links:         make(map[string]*link),
		changed:       make(chan struct{}, 1),
	}
}

// Handler returns the path and the handler of the RPC that a sidecar serves for its
// engine.
func Handler(g *loader.Loader) (string, http.Handler) {
	return rpcPath, mesh.Handle(rpcPath, func(ctx context.Context, in *request) (*loader.State, error) {
		for _, w := range in.Wants {
			g.Want(w)
		}
		ctx, cancel := context.WithTimeout(ctx, min(maxPollWait, time.Duration(in.Wait)*time.Millisecond))
		defer cancel()
		state := g.StateOrActivity(ctx, in.Seen, in.SeenActivity)
		return &state, nil
	})
}

// Announce records a version that a trainer has announced; older ones are ignored.
func (p *Controller) Announce(model string, version, revision int64) {
	p.mu.Lock()
	old := p.announced[model]
	newer := version > old.version
	if newer {
		p.announced[model] = announced{version: version, revision: revision, at: time.Now()}
	}
	p.mu.Unlock()
	if newer {
		p.set.AnnounceVersion(model, version)
		p.logger.Info("Version named.", "model", model, "version", version, "revision", revision)
		p.Wake()
	}
}

// Wake has the controller plan and open missing links at once.
func (p *Controller) Wake() {
	select {
	case p.changed <- struct{}{}:
	default:
	}
}

// Run plans loads and maintains the connections until ctx is done.
func (p *Controller) Run(ctx context.Context) {
	t := time.NewTicker(planInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		case <-p.changed:
		}
		isPlanner := p.Plans()
		p.trackPlanner(isPlanner)
		p.connect(ctx, p.needsLinks(isPlanner || p.sendsWork(), time.Now()))
		if isPlanner {
			p.plan()
		}
	}
}

// Plans reports whether this instance is the planner. Only one entry is, the first by
// name: two that see different engines would make more of them load than needed. An
// entry that doesn't know its peers yet would take itself for the first, so it waits
// until the mesh has settled.
func (p *Controller) Plans() bool {
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

// trackPlanner records since when this instance is the planner.
func (p *Controller) trackPlanner(isPlanner bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case !isPlanner:
		p.plannerSince, p.watchesActivity = time.Time{}, false
	case p.plannerSince.IsZero():
		p.plannerSince = time.Now()
		p.logger.Info("Became load planner.", "named", len(p.announced), "engines", len(p.links))
	}
}

// needsLinks reports whether links are needed now or were until linkLinger ago.
func (p *Controller) needsLinks(needed bool, now time.Time) bool {
	if needed {
		p.neededAt = now
	}
	return !p.neededAt.IsZero() && now.Sub(p.neededAt) < linkLinger
}

// connect keeps one link to each engine while this instance needs them. Connections
// from all instances to all engines would be a thousand and more in a fleet of thirty
// instances and fifty engines.
func (p *Controller) connect(ctx context.Context, needed bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	current := make(map[string]bool)
	for _, v := range p.set.All() {
		if len(v.Versions) == 0 || !needed {
			continue
		}
		current[v.ID] = true
		if l, ok := p.links[v.ID]; ok && l.view.SameIncarnation(v.Endpoint) {
			l.view = v
			continue
		} else if ok {
			l.cancel()
		}
		linkCtx, cancel := context.WithCancel(ctx)
		l := &link{view: v, cancel: cancel, openedAt: time.Now(), wants: make(map[string]loader.Want), wantsChanged: make(chan struct{}, 1)}
		p.links[v.ID] = l
		go p.watch(linkCtx, l, v)
	}
	for id, l := range p.links {
		if !current[id] {
			l.cancel()
			delete(p.links, id)
		}
	}
}

// plan computes a new plan and requests its loads.
func (p *Controller) plan() {
	p.mu.Lock()
	defer p.mu.Unlock()
	state := wplan.State{Latest: make(map[string]int64), Demand: p.mesh.Demand(), VersionAge: make(map[string]time.Duration), MaxLag: maxVersionLag,
		ObservedFor: time.Since(p.plannerSince)}
	for model, n := range p.announced {
		state.Latest[model] = n.version
		state.VersionAge[model] = time.Since(n.at)
	}
	for model := range state.Demand {
		state.Latest[model] = max(state.Latest[model], initialVersion)
	}
	p.watchActivity(slices.ContainsFunc(slices.Collect(maps.Keys(state.Latest)), p.singleVersion))
	for _, id := range slices.Sorted(maps.Keys(p.links)) {
		if l := p.links[id]; !l.view.Draining && l.isKnown(time.Now()) {
			state.Engines = append(state.Engines, l.engine(p.watchesActivity))
		}
	}
	plan := wplan.New(state)
	for id, model := range plan.Assigned {
		p.links[id].assigned = model
	}
	for _, load := range plan.Loads {
		p.requestLoad(p.links[load.Engine], load.Model, p.announced[load.Model])
	}
}

// watchActivity has the sidecars report when their engines become idle or busy, or no longer. Only
// the planner asks for it, and only if it has to know: in a large fleet these reports would
// outnumber all others.
func (p *Controller) watchActivity(on bool) {
	if on && !p.watchesActivity {
		for _, l := range p.links {
			l.cutPoll()
		}
	}
	p.watchesActivity = on
}

// isKnown reports whether the engine's weights are known, or its sidecar is unlikely to
// report them soon.
func (l *link) isKnown(now time.Time) bool {
	return l.reported || now.Sub(l.openedAt) > reportTimeout
}

// engine returns the planner's input for the engine. A version that was requested and
// isn't there yet counts as loading. The registry counts the requests of this instance only; with
// watched activity, those of all callers are known.
func (l *link) engine(watchesActivity bool) wplan.Engine {
	e := wplan.Engine{ID: l.view.ID, Versions: l.view.Versions, Running: l.view.Running, Assigned: l.assigned}
	e.Unreachable = !l.disconnectedAt.IsZero() && time.Since(l.disconnectedAt) > unreachableAfter
	if watchesActivity {
		e.Running = max(e.Running, l.running)
	}
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

func (p *Controller) requestLoad(l *link, model string, n announced) {
	l.wants[model] = loader.Want{
		Model:       model,
		Version:     n.version,
		Endpoint:    l.view.ID,
		Incarnation: l.view.Incarnation(),
		Keep:        !p.singleVersion(model),
	}
	p.logger.Info("Load planned.", "endpoint", l.view.ID, "model", model, "version", n.version, "had", l.view.Versions[model], "running", l.view.Running,
		"reported", l.running, "keep", l.wants[model].Keep)
	l.cutPoll()
}

// cutPoll cuts a poll short, so that the next one has the current requests.
func (l *link) cutPoll() {
	select {
	case l.wantsChanged <- struct{}{}:
	default:
	}
}

// watch polls the sidecar of one engine for its state until ctx is done; a new load
// request cuts a poll short.
func (p *Controller) watch(ctx context.Context, l *link, v epset.View) {
	host, _, err := net.SplitHostPort(v.Addr)
	if err != nil {
		p.logger.Error("Endpoint address unreadable.", "endpoint", v.ID, "error", err)
		return
	}
	addr := net.JoinHostPort(host, p.port)
	seen := int64(-1)
	for ctx.Err() == nil {
		state, err := p.poll(ctx, l, addr, seen)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			if p.setConnected(l, false) {
				p.logger.Warn("Connection to sidecar process lost.", "endpoint", v.ID, "addr", addr, "error", err)
			}
			sleep.For(ctx, retryDelay)
			continue
		}
		if state == nil {
			continue
		}
		if p.setConnected(l, true) {
			p.logger.Info("Connection to sidecar process restored.", "endpoint", v.ID, "addr", addr)
		}
		if !state.Known {
			continue
		}
		seen = state.Serial
		p.apply(l, v, state)
	}
}

// setConnected records whether the sidecar answers and reports whether that has changed.
func (p *Controller) setConnected(l *link, connected bool) (changed bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if changed = l.disconnectedAt.IsZero() != connected; !changed {
		return false
	}
	l.disconnectedAt = time.Time{}
	if !connected {
		l.disconnectedAt = time.Now()
	}
	return true
}

// poll returns the next state, or nil if a new load request cut it short.
func (p *Controller) poll(ctx context.Context, l *link, addr string, seen int64) (*loader.State, error) {
	p.mu.Lock()
	wait := pollWait(len(p.links))
	select {
	case <-l.wantsChanged:
	default:
	}
	in := &request{Seen: seen, Wait: wait.Milliseconds()}
	if p.watchesActivity {
		// Engines become idle and busy many times in a step. For each of them one change is
		// reported in the time in which an instance may make a poll to each engine.
		if left := time.Duration(len(p.links))*pollWaitPerEngine - time.Since(l.activityAt); left > 0 {
			in.Wait = min(wait, left).Milliseconds() + 1
		} else {
			in.SeenActivity = l.activity
		}
	}
	for w := range maps.Values(l.wants) {
		in.Wants = append(in.Wants, w)
	}
	p.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, wait+pollMargin)
	defer cancel()
	type answer struct {
		state *loader.State
		err   error
	}
	done := make(chan answer, 1)
	go func() {
		state, err := mesh.Call[request, loader.State](ctx, p.client, addr, rpcPath, in)
		done <- answer{state: state, err: err}
	}()
	select {
	case a := <-done:
		return a.state, a.err
	case <-l.wantsChanged:
		return nil, nil
	}
}

// pollWait returns how long a poll waits while there are links to that many engines.
func pollWait(engines int) time.Duration {
	return min(maxPollWait, max(minPollWait, time.Duration(engines)*pollWaitPerEngine))
}

func (p *Controller) apply(l *link, v epset.View, state *loader.State) {
	if state.Gone == v.Incarnation() {
		p.logger.Info("Engine is gone.", "endpoint", v.ID, "addr", v.Addr)
		p.set.Forget(v.Endpoint)
	} else {
		for model, version := range state.Versions {
			p.set.AnnounceVersion(model, version)
			p.set.ObserveVersion(v.Endpoint, model, version)
		}
		p.set.SetLoading(v.Endpoint, state.Loading)
	}
	p.mu.Lock()
	if l.activity != state.Activity {
		l.activity, l.activityAt = state.Activity, time.Now()
	}
	l.reported, l.running = true, state.Running
	p.mu.Unlock()
	p.Wake()
}
