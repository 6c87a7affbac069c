// Package swaps runs the rollouts of weights of one pool: it stages each new version
// on the workers and then switches them to it.
//
// Package pace decides on order and rate; this package tracks the state of each
// worker and sends the orders, with the fencing token of the pool's job.
package swaps

import (
	"context"
	"io"
	"strconv"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/lavendermux/lavendermux/acts"
	"github.com/lavendermux/lavendermux/object"
	"github.com/lavendermux/lavendermux/order"
	"github.com/lavendermux/lavendermux/pace"
	"github.com/lavendermux/lavendermux/pool"
	"github.com/lavendermux/lavendermux/wire"
	"github.com/lavendermux/lavendermux/wire/wireconnect"
	"github.com/lavendermux/lavendermux/worker"
)

const (
	// tickInterval is how often the rollouts are advanced. A switch must be done in
	// 6 s, of which a tenth of a second is a sixtieth.
	tickInterval = 100 * time.Millisecond
	// maxRolloutTime is how long a rollout may take before a newer version replaces
	// it: in simulation 700 workers take 302 s, and new versions come every ten minutes.
	maxRolloutTime = 10 * time.Minute
	// stageTimeout bounds one fetch of weights.
	stageTimeout = 2 * time.Minute
	// queryDelay is the delay before a worker that gave no response is queried.
	queryDelay = time.Second
	// failureDelay is the delay after an engine reported that an order failed.
	failureDelay = 5 * time.Second
	// responseTrust is how long the state in a response to an order takes precedence
	// over the membership, which lags: minor changes wait there for up to 15 s, and
	// heartbeats for 3 s.
	responseTrust = 25 * time.Second
)

type (
	// Controller runs the rollouts of weights of one pool. See New and Run.
	Controller struct {
		name         string
		fencingToken int64
		pool         func() (pool.Pool, bool)
		want         func() map[string]int64
		lister       lister
		dial         dialer
		log          *log.Logger
		record       func(kind, name string, d acts.Action)

		mu        sync.Mutex
		rollouts  map[string]*rollout
		reported  map[string]*reportedState
		fencedErr error
		inFlight  sync.WaitGroup
		// stageTokens is how many orders to stage may be sent now, as of refilledAt.
		stageTokens float64
		refilledAt  time.Time
	}

	// Option configures New.
	Option func(*Controller)

	lister interface {
		Endpoints(service string) []*wire.EndpointState
	}

	dialer interface {
		Door(address string) wireconnect.DoorServiceClient
	}

	// rollout is the rollout of one model's newest version.
	rollout struct {
		model       string
		version     string
		began       time.Time
		switchBegan time.Time
		pace        *pace.Rollout
		state       string
		pending     map[string]string
		failed      map[string]failureCount
		notBefore   map[string]time.Time
		unknown     map[string]bool
	}

	// failureCount counts the orders of one kind that an engine failed to execute.
	failureCount struct {
		kind  string
		count int
	}

	// reportedState is a worker's state from its response to an order.
	reportedState struct {
		state *wire.EndpointState
		at    time.Time
	}
)

// New returns the rollouts of the named pool; all orders carry the fencing token
// fencingToken. want returns the version that each model is to run.
//
//	s := swaps.New("tutor", fencingToken, pool, want, view, dialer)
//	s.Run(ctx)
func New(
	name string, fencingToken int64, p func() (pool.Pool, bool), want func() map[string]int64, f lister, d dialer, opts ...Option,
) *Controller {
	s := &Controller{
		name:         name,
		fencingToken: fencingToken,
		pool:         p,
		want:         want,
		lister:       f,
		dial:         d,
		log:          log.New(io.Discard),
		record:       func(string, string, acts.Action) {},
		rollouts:     map[string]*rollout{},
		reported:     map[string]*reportedState{},
	}
	for _, opt := range opts {
		opt(s)
	}
	return s
}

// WithLog sets the logger. By default nothing is logged.
func WithLog(l *log.Logger) Option {
	return func(s *Controller) { s.log = l }
}

// WithReasons sets a function that records, for operators, what was done about a pool
// and why. By default nothing is recorded.
func WithReasons(record func(kind, name string, d acts.Action)) Option {
	return func(s *Controller) { s.record = record }
}

// Run advances the rollouts until ctx is done, and then waits for orders in flight.
func (s *Controller) Run(ctx context.Context) {
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	defer s.inFlight.Wait()
	for {
		s.reconcile(ctx, time.Now())
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// Fenced returns the fencing error with which a worker refused this holder's orders,
// or nil.
func (s *Controller) Fenced() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fencedErr
}

// CommonVersion returns the version of model that runs on the largest number of workers, the
// newest of equal ones; 0 for none.
func (s *Controller) CommonVersion(model string) int64 {
	p, found := s.pool()
	if !found {
		return 0
	}
	counts := map[int64]int{}
	best := int64(0)
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, ep := range s.lister.Endpoints(p.Service) {
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

// States returns the version and state of each model's rollout, for the pool's status.
func (s *Controller) States() map[string]string {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := map[string]string{}
	for model, r := range s.rollouts {
		out[model] = r.version + " " + r.state
	}
	return out
}

func (s *Controller) reconcile(ctx context.Context, now time.Time) {
	p, found := s.pool()
	if !found {
		return
	}
	for model, version := range s.want() {
		if version == 0 {
			continue
		}
		s.advance(ctx, p, model, strconv.FormatInt(version, 10), now)
	}
}

func (s *Controller) advance(ctx context.Context, p pool.Pool, model, version string, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	endpoints := s.lister.Endpoints(p.Service)
	r := s.rollouts[model]
	if r == nil || (r.version != version && !r.underWay(now)) {
		r = s.newRollout(p, model, version, endpoints, now)
		s.rollouts[model] = r
	}
	s.refill(p, now)
	tasks := r.pace.Next(s.workers(r, endpoints, now), now)
	s.recordState(p, r, now)
	for _, t := range tasks {
		if ep := findEndpoint(endpoints, t.Worker); ep != nil {
			s.sendOrder(ctx, p, r, ep, t.Kind)
		}
	}
}

// underWay reports whether a rollout must finish before a newer version starts. If each
// new version replaced the rollout under way, versions that come faster than a rollout
// takes would leave the workers on the first version for good, and the trainer without
// a sample within its staleness bound. A rollout that doesn't finish in time is
// replaced.
func (r *rollout) underWay(now time.Time) bool {
	moving := r.state == pace.Staging || r.state == pace.Switching
	return moving && now.Sub(r.began) < maxRolloutTime
}

// newRollout starts a rollout. If its switch began under a previous holder, it continues
// with the switch: the staged workers may be all that are left.
func (s *Controller) newRollout(p pool.Pool, model, version string, endpoints []*wire.EndpointState, now time.Time) *rollout {
	opts := []pace.Option{pace.WithRate(p.StagePerSecond)}
	for _, ep := range endpoints {
		if s.model(s.latest(ep, now), model).GetVersion() == version {
			opts = append(opts, pace.WithSwitchBegun())
			break
		}
	}
	return &rollout{
		model:     model,
		version:   version,
		began:     now,
		pace:      pace.New(opts...),
		pending:   map[string]string{},
		failed:    map[string]failureCount{},
		notBefore: map[string]time.Time{},
		unknown:   map[string]bool{},
	}
}

// recordState logs and records changes of a rollout's state.
func (s *Controller) recordState(p pool.Pool, r *rollout, now time.Time) {
	state := r.pace.State()
	if state == r.state {
		return
	}
	if state == pace.Switching {
		r.switchBegan = now
	}
	r.state = state
	elapsed := now.Sub(r.began).Round(time.Millisecond)
	if state == pace.Complete && !r.switchBegan.IsZero() {
		switchTime := now.Sub(r.switchBegan)
		s.log.Info("weights switched on all available workers", "pool", s.name, "model", r.model, "version", r.version,
			"staged", elapsed-switchTime.Round(time.Millisecond), "switched", switchTime.Round(time.Millisecond), "within", time.Duration(p.SwitchTimeout))
	}
	s.record(object.KindPool, s.name, acts.Action{
		Verb:    acts.VerbRollout,
		Summary: "weights of " + r.model + " version " + r.version + ": " + state,
		Cause:   "published",
		Reason:  "the trainer published it " + elapsed.String() + " ago",
	})
}

// workers returns the state of all workers as package pace takes it.
func (s *Controller) workers(r *rollout, endpoints []*wire.EndpointState, now time.Time) []worker.Worker {
	out := make([]worker.Worker, 0, len(endpoints))
	for _, ep := range endpoints {
		id := ep.GetInstance()
		w := worker.Worker{Name: id, NotBefore: r.notBefore[id]}
		if slots := ep.GetLoad().GetSlots(); slots > 0 {
			w.LiveLoad = float64(ep.GetLoad().GetLiveWork()) / float64(slots)
		}
		w.State = s.workerState(r, ep, now)
		w.NoVersion = s.model(s.latest(ep, now), r.model).GetVersion() == ""
		if next := nextOrder(w.State); next != "" && r.failed[id].kind == next {
			w.Failures = r.failed[id].count
		}
		out = append(out, w)
	}
	return out
}

// nextOrder returns the kind of order that a worker in a state gets next.
func nextOrder(state string) string {
	switch state {
	case worker.Unstaged:
		return order.Stage
	case worker.Staged:
		return order.Switch
	}
	return ""
}

// refill adds the tokens that the weight store's rate allows to all models of the pool
// together. The bucket holds one second's worth.
func (s *Controller) refill(p pool.Pool, now time.Time) {
	if !s.refilledAt.IsZero() {
		s.stageTokens += p.StagePerSecond * now.Sub(s.refilledAt).Seconds()
	}
	s.stageTokens = min(s.stageTokens, max(1, p.StagePerSecond))
	s.refilledAt = now
}

// Excluded returns the workers that must get no new rollout requests of a model, since the
// pool has begun to switch and they haven't.
func (s *Controller) Excluded(model string) []string {
	p, found := s.pool()
	if !found {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.rollouts[model]
	if r == nil {
		return nil
	}
	var out []string
	for _, w := range s.workers(r, s.lister.Endpoints(p.Service), time.Now()) {
		if r.pace.Excluded(&w) {
			out = append(out, w.Name)
		}
	}
	return out
}

func (s *Controller) workerState(r *rollout, ep *wire.EndpointState, now time.Time) string {
	id := ep.GetInstance()
	st := s.latest(ep, now)
	ms := s.model(st, r.model)
	switch {
	case ep.GetGone() || ep.GetDraining() || !st.GetReady():
		return worker.Unavailable
	case r.pending[id] != "":
		return r.pending[id]
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
	return worker.Unstaged
}

// latest returns the worker's state from its last response while that is recent, and
// otherwise the one from the membership.
func (s *Controller) latest(ep *wire.EndpointState, now time.Time) *wire.EndpointState {
	last := s.reported[ep.GetInstance()]
	if last == nil || last.state.GetBoot() != ep.GetBoot() || now.Sub(last.at) > responseTrust {
		return ep
	}
	return last.state
}

func (s *Controller) model(st *wire.EndpointState, name string) *wire.ModelState {
	for _, ms := range st.GetModels() {
		if ms.GetModel() == name {
			return ms
		}
	}
	return nil
}
