// Package swaps rolls new weight versions out over one pool: it stages each on
// the workers and then switches them.
//
// Order and pace are decided by package pace; this package knows how far each
// worker is and gives the orders, under the pool job's fencing number.
package swaps

import (
	"context"
	"io"
	"strconv"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/lavendermux/lavendermux/deed"
	"github.com/lavendermux/lavendermux/object"
	"github.com/lavendermux/lavendermux/order"
	"github.com/lavendermux/lavendermux/pace"
	"github.com/lavendermux/lavendermux/pool"
	"github.com/lavendermux/lavendermux/wire"
	"github.com/lavendermux/lavendermux/wire/wireconnect"
	"github.com/lavendermux/lavendermux/worker"
)

const (
	// defaultTick is how often the roll-outs are looked at. The switch has 6 s,
	// of which a tenth of a second is a sixtieth.
	defaultTick = 100 * time.Millisecond
	// longestRoll is how long a roll-out may take before a newer version replaces
	// it: 700 workers take 302 s in play, and new versions come every ten minutes.
	longestRoll = 10 * time.Minute
	// stageTimeout bounds one fetch of weights.
	stageTimeout = 2 * time.Minute
	// askAgain is the wait before a worker that gave no answer is asked.
	askAgain = time.Second
	// failAgain is the wait after an engine said that an order failed.
	failAgain = 5 * time.Second
	// trustOwn is how long the answer to an order counts over the membership,
	// which lags: minor changes wait there for up to 15 s, and beats for 3 s.
	trustOwn = 25 * time.Second
)

type (
	// Swaps is the weight roll-outs of one pool. See New and Run.
	Swaps struct {
		name  string
		fence int64
		pool  func() (pool.Pool, bool)
		want  func() map[string]int64
		fleet fleet
		dial  dialer
		log   *log.Logger
		why   func(kind, name string, d deed.Deed)

		mu     sync.Mutex
		rolls  map[string]*roll
		known  map[string]*knowledge
		lost   error
		orders sync.WaitGroup
		// credit is how many workers may begin to stage now, as of filled.
		credit float64
		filled time.Time
	}

	// Option changes a Swaps as New makes it.
	Option func(*Swaps)

	fleet interface {
		Endpoints(service string) []*wire.EndpointState
	}

	dialer interface {
		Door(address string) wireconnect.DoorServiceClient
	}

	// roll is the roll-out of one model's newest version.
	roll struct {
		model   string
		version string
		began   time.Time
		turned  time.Time
		pace    *pace.Roll
		state   string
		busy    map[string]string
		failed  map[string]failures
		after   map[string]time.Time
		unknown map[string]bool
	}

	// failures counts the orders of one kind that an engine failed.
	failures struct {
		kind  string
		count int
	}

	// knowledge is what a worker itself said in answer to an order.
	knowledge struct {
		state *wire.EndpointState
		at    time.Time
	}
)

// New returns the roll-outs of the named pool under a fencing number. Want
// returns the version that each model is to run.
//
//	s := swaps.New("tutor", fence, pool, want, view, dialer)
//	s.Run(ctx)
func New(
	name string, fence int64, p func() (pool.Pool, bool), want func() map[string]int64, f fleet, d dialer, opts ...Option,
) *Swaps {
	s := &Swaps{
		name:  name,
		fence: fence,
		pool:  p,
		want:  want,
		fleet: f,
		dial:  d,
		log:   log.New(io.Discard),
		why:   func(string, string, deed.Deed) {},
		rolls: map[string]*roll{},
		known: map[string]*knowledge{},
	}
	for _, opt := range opts {
		opt(s)
	}
	return s
}

// WithLog sets where the roll-outs are logged. The default is nowhere.
func WithLog(l *log.Logger) Option {
	return func(s *Swaps) { s.log = l }
}

// WithReasons sets who is told, for operators, what was done about a pool and
// why. By default nobody is.
func WithReasons(why func(kind, name string, d deed.Deed)) Option {
	return func(s *Swaps) { s.why = why }
}

// Run gives orders until ctx ends, and then waits for those under way.
func (s *Swaps) Run(ctx context.Context) {
	tick := time.NewTicker(defaultTick)
	defer tick.Stop()
	defer s.orders.Wait()
	for {
		s.step(ctx, time.Now())
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// Overtaken returns why this holder's orders are refused, or nil.
func (s *Swaps) Overtaken() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lost
}

// Loaded returns the version of model on which most workers run, 0 for none.
func (s *Swaps) Loaded(model string) int64 {
	p, found := s.pool()
	if !found {
		return 0
	}
	counts := map[int64]int{}
	best := int64(0)
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, ep := range s.fleet.Endpoints(p.Service) {
		ms := s.model(s.latest(ep, time.Now()), model)
		v, err := strconv.ParseInt(ms.GetVersion(), 10, 64)
		if err != nil {
			continue
		}
		counts[v]++
		if counts[v] > counts[best] || (counts[v] == counts[best] && v > best) {
			best = v
		}
	}
	return best
}

// States returns how each model's roll-out stands, for the pool's status.
func (s *Swaps) States() map[string]string {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := map[string]string{}
	for model, r := range s.rolls {
		out[model] = r.version + " " + r.state
	}
	return out
}

func (s *Swaps) step(ctx context.Context, now time.Time) {
	p, found := s.pool()
	if !found {
		return
	}
	for model, version := range s.want() {
		if version == 0 {
			continue
		}
		s.stepModel(ctx, p, model, strconv.FormatInt(version, 10), now)
	}
}

func (s *Swaps) stepModel(ctx context.Context, p pool.Pool, model, version string, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	endpoints := s.fleet.Endpoints(p.Service)
	r := s.rolls[model]
	if r == nil || (r.version != version && !r.underWay(now)) {
		r = s.fresh(p, model, version, endpoints, now)
		s.rolls[model] = r
	}
	s.refill(p, now)
	tasks := r.pace.Next(s.workers(r, endpoints, now), now)
	s.note(p, r, now)
	for _, t := range tasks {
		if ep := find(endpoints, t.Worker); ep != nil {
			s.give(ctx, p, r, ep, t.Kind)
		}
	}
}

// underWay says whether a roll-out is to be finished before a newer version gets
// its turn. Were each new version to replace the one on its way, versions that
// come faster than a roll-out takes would leave the workers on the first for good,
// and the trainer without a sample within its bound. One that does not come to an
// end gives way at last.
func (r *roll) underWay(now time.Time) bool {
	moving := r.state == pace.Fetching || r.state == pace.Turning
	return moving && now.Sub(r.began) < longestRoll
}

// fresh begins a roll-out. A holder that takes over one whose switch has begun
// goes on with the switch: it may be all that is left.
func (s *Swaps) fresh(p pool.Pool, model, version string, endpoints []*wire.EndpointState, now time.Time) *roll {
	opts := []pace.Option{pace.WithRate(p.StagePerSecond)}
	for _, ep := range endpoints {
		if s.model(s.latest(ep, now), model).GetVersion() == version {
			opts = append(opts, pace.WithTurning())
			break
		}
	}
	return &roll{
		model:   model,
		version: version,
		began:   now,
		pace:    pace.New(opts...),
		busy:    map[string]string{},
		failed:  map[string]failures{},
		after:   map[string]time.Time{},
		unknown: map[string]bool{},
	}
}

// note tells operators when a roll-out changes its state.
func (s *Swaps) note(p pool.Pool, r *roll, now time.Time) {
	state := r.pace.State()
	if state == r.state {
		return
	}
	if state == pace.Turning {
		r.turned = now
	}
	r.state = state
	took := now.Sub(r.began).Round(time.Millisecond)
	if state == pace.Complete && !r.turned.IsZero() {
		turn := now.Sub(r.turned)
		s.log.Info("weights switched", "pool", s.name, "model", r.model, "version", r.version,
			"staged", took-turn.Round(time.Millisecond), "switched", turn.Round(time.Millisecond), "within", time.Duration(p.SwitchWithin))
	}
	s.why(object.KindPool, s.name, deed.Deed{
		Verb:  deed.VerbRollOut,
		What:  "weights of " + r.model + " version " + r.version + ": " + state,
		Cause: "published",
		Why:   "the trainer published it " + took.String() + " ago",
	})
}

// workers describes all workers to the decision about the next orders.
func (s *Swaps) workers(r *roll, endpoints []*wire.EndpointState, now time.Time) []worker.Worker {
	out := make([]worker.Worker, 0, len(endpoints))
	for _, ep := range endpoints {
		id := ep.GetInstance()
		w := worker.Worker{Name: id, NotBefore: r.after[id]}
		if slots := ep.GetLoad().GetSlots(); slots > 0 {
			w.Live = float64(ep.GetLoad().GetLiveWork()) / float64(slots)
		}
		w.State = s.state(r, ep, now)
		w.Empty = s.model(s.latest(ep, now), r.model).GetVersion() == ""
		if next := nextOrder(w.State); next != "" && r.failed[id].kind == next {
			w.Failures = r.failed[id].count
		}
		out = append(out, w)
	}
	return out
}

// nextOrder is the kind of order that a worker in a state gets next.
func nextOrder(state string) string {
	switch state {
	case worker.Bare:
		return order.Stage
	case worker.Staged:
		return order.Switch
	}
	return ""
}

// refill counts up what the weight store's rate allows to all models of the
// pool together. What is not used is kept for a second only.
func (s *Swaps) refill(p pool.Pool, now time.Time) {
	if !s.filled.IsZero() {
		s.credit += p.StagePerSecond * now.Sub(s.filled).Seconds()
	}
	s.credit = min(s.credit, max(1, p.StagePerSecond))
	s.filled = now
}

// Aside names the workers that must get no new rollouts of a model, since the
// pool has begun to switch and they have not.
func (s *Swaps) Aside(model string) []string {
	p, found := s.pool()
	if !found {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.rolls[model]
	if r == nil {
		return nil
	}
	var out []string
	for _, w := range s.workers(r, s.fleet.Endpoints(p.Service), time.Now()) {
		if r.pace.Aside(&w) {
			out = append(out, w.Name)
		}
	}
	return out
}

func (s *Swaps) state(r *roll, ep *wire.EndpointState, now time.Time) string {
	id := ep.GetInstance()
	st := s.latest(ep, now)
	ms := s.model(st, r.model)
	switch {
	case ep.GetGone() || ep.GetDraining() || !st.GetReady():
		return worker.Gone
	case r.busy[id] != "":
		return r.busy[id]
	case r.unknown[id]:
		return worker.Unknown
	case ms.GetVersion() == r.version:
		return worker.Switched
	}
	for _, v := range ms.GetStaged() {
		if v == r.version {
			return worker.Staged
		}
	}
	return worker.Bare
}

// latest is the newer of the worker's own last answer and the membership.
func (s *Swaps) latest(ep *wire.EndpointState, now time.Time) *wire.EndpointState {
	own := s.known[ep.GetInstance()]
	if own == nil || own.state.GetBoot() != ep.GetBoot() || now.Sub(own.at) > trustOwn {
		return ep
	}
	return own.state
}

func (s *Swaps) model(st *wire.EndpointState, name string) *wire.ModelState {
	for _, ms := range st.GetModels() {
		if ms.GetModel() == name {
			return ms
		}
	}
	return nil
}
