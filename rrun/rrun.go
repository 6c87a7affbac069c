// Package rrun runs the rollouts of one pool: it starts attempts on the pool's workers,
// scores the samples, and passes them to the subscription that requested them.
//
// Package sched selects the subscription that is served next, and package strag the
// attempt; this package adds the clock, the goroutines and the network.
package rrun

import (
	"context"
	"io"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/lavendermux/lavendermux/demand"
	"github.com/lavendermux/lavendermux/feed"
	"github.com/lavendermux/lavendermux/order"
	"github.com/lavendermux/lavendermux/pool"
	"github.com/lavendermux/lavendermux/sample"
	"github.com/lavendermux/lavendermux/sched"
	"github.com/lavendermux/lavendermux/trial"
	"github.com/lavendermux/lavendermux/wire"
)

const (
	// pollInterval is the interval at which free slots are looked for if no attempt
	// ends. An attempt takes seconds, so a twentieth of a second does not matter.
	pollInterval = 50 * time.Millisecond
	// stallTimeout is how long an attempt may generate nothing, including queueing, before
	// it is restarted on another worker: a quarter of the four minutes in which a step
	// should be complete.
	stallTimeout = time.Minute
)

type (
	// Runner generates the samples of one pool. See New and Run.
	Runner struct {
		pool       func() (pool.Pool, bool)
		name       string
		feeds      func() []*feed.Feed
		relay      relayer
		fleet      fleet
		loaded     func(model string) int64
		scorer     func(url string) scorer
		log        *log.Logger
		scheduler  *sched.Scheduler
		replicator replicator
		excluded   func(model string) []string

		mu      sync.Mutex
		running map[string]*attempt
		wake    chan struct{}
		wg      sync.WaitGroup
	}

	// Option configures a Runner.
	Option func(*Runner)

	relayer interface {
		Generate(
			ctx context.Context, service string, req *wire.RunRequest,
			each func(*wire.Segment) error, started func(worker string), avoid ...string,
		) (*wire.End, error)
	}

	fleet interface {
		Endpoints(service string) []*wire.EndpointState
	}

	scorer interface {
		Score(ctx context.Context, id, prompt, text string) (float64, error)
	}

	// replicator replicates finished samples, so that they survive the loss of this instance.
	// The default, noReplicator, does nothing.
	replicator interface {
		KeepSample(ctx context.Context, subscription string, s sample.Sample) error
	}

	noReplicator struct{}

	// attempt is a running attempt.
	attempt struct {
		feed    *feed.Feed
		trial   trial.Attempt
		model   string
		cancel  context.CancelFunc
		stopped bool
		// segments holds the generated segments, including prior ones; other goroutines
		// may read it only after done is closed.
		segments []*wire.Segment
		done     chan struct{}
	}
)

// New returns the runner of the named pool. It reads the pool's settings from p and its
// subscriptions from feeds; loaded returns the version on which new work of a model starts.
//
//	m := rrun.New("tutor", pool, feeds, relay, view, loaded)
//	m.Run(ctx)
func New(
	name string, p func() (pool.Pool, bool), feeds func() []*feed.Feed, r relayer, f fleet,
	loaded func(model string) int64, opts ...Option,
) *Runner {
	m := &Runner{
		name:       name,
		pool:       p,
		feeds:      feeds,
		relay:      r,
		fleet:      f,
		loaded:     loaded,
		scorer:     func(string) scorer { return nil },
		log:        log.New(io.Discard),
		scheduler:  sched.New(),
		replicator: noReplicator{},
		excluded:   func(string) []string { return nil },
		running:    map[string]*attempt{},
		wake:       make(chan struct{}, 1),
	}
	for _, opt := range opts {
		opt(m)
	}
	return m
}

// WithScorer sets the function that returns the scorer for a URL. By default samples
// are not scored.
func WithScorer[S scorer](find func(url string) S) Option {
	return func(m *Runner) { m.scorer = func(url string) scorer { return find(url) } }
}

// WithReplicator sets where finished samples are replicated. By default they are in memory
// only.
func WithReplicator(r replicator) Option {
	return func(m *Runner) { m.replicator = r }
}

// WithExcluded sets the function that returns the workers that must not get new rollouts of
// a model. By default there are none.
func WithExcluded(excluded func(model string) []string) Option {
	return func(m *Runner) { m.excluded = excluded }
}

// WithLog sets the logger. By default nothing is logged.
func WithLog(l *log.Logger) Option {
	return func(m *Runner) { m.log = l }
}

func (noReplicator) KeepSample(context.Context, string, sample.Sample) error { return nil }

// Run starts attempts until ctx is done, and then waits for the running ones, which are
// canceled with it.
func (m *Runner) Run(ctx context.Context) {
	tick := time.NewTicker(pollInterval)
	defer tick.Stop()
	defer m.wg.Wait()
	for {
		m.startAttempts(ctx, time.Now())
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		case <-m.wake:
		}
	}
}

// Running returns the number of running attempts.
func (m *Runner) Running() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.running)
}

// Waiting returns the number of attempts that could start now given enough slots.
func (m *Runner) Waiting() int {
	n := 0
	now := time.Now()
	for _, f := range m.feeds() {
		n += f.Demand(m.loaded(f.Model()), now).Waiting
	}
	return n
}

// startAttempts starts as many attempts as there are free slots. It first divides the slots
// among the subscriptions and then requests the full share of each in one call, since a
// subscription plans over all its slots.
func (m *Runner) startAttempts(ctx context.Context, now time.Time) {
	p, found := m.pool()
	if !found {
		return
	}
	free := m.capacity(p) - m.Running()
	feeds := m.feeds()
	if free <= 0 || len(feeds) == 0 {
		return
	}
	for i, n := range m.divideSlots(feeds, free, now) {
		if n == 0 {
			continue
		}
		for _, t := range feeds[i].StartAttempts(n, now) {
			m.start(ctx, p, feeds[i], t)
			free--
		}
	}
	m.migrateStragglers(ctx, p, feeds, free, now)
}

// migrateStragglers uses slots that are left over near the end of a step to migrate
// attempts that make no progress on their worker.
func (m *Runner) migrateStragglers(ctx context.Context, p pool.Pool, feeds []*feed.Feed, free int, now time.Time) {
	for _, f := range feeds {
		if free <= 0 {
			return
		}
		for _, t := range f.StartMigrations(free, now) {
			m.start(ctx, p, f, t)
			free--
		}
	}
}

// capacity returns the number of rollouts that the pool's engines can run concurrently,
// without the slots reserved for live requests.
func (m *Runner) capacity(p pool.Pool) int {
	total := 0.0
	for _, ep := range m.fleet.Endpoints(p.Service) {
		if ep.GetReady() && !ep.GetDraining() && !ep.GetGone() && ep.GetRole() != order.RoleLive {
			total += float64(ep.GetLoad().GetSlots()) * (1 - p.LiveReserve)
		}
	}
	return int(total)
}

// divideSlots returns the number of free slots for each subscription.
func (m *Runner) divideSlots(feeds []*feed.Feed, free int, now time.Time) []int {
	demands := make([]demand.Demand, len(feeds))
	for i, f := range feeds {
		demands[i] = f.Demand(m.loaded(f.Model()), now)
	}
	shares := make([]int, len(feeds))
	for range free {
		i, found := m.scheduler.Choose(demands, now)
		if !found {
			break
		}
		shares[i]++
		demands[i].Waiting--
		demands[i].Outstanding++
	}
	return shares
}

func (m *Runner) start(ctx context.Context, p pool.Pool, f *feed.Feed, t trial.Attempt) {
	ctx, cancel := context.WithCancel(ctx)
	a := &attempt{feed: f, trial: t, model: f.Model(), cancel: cancel, done: make(chan struct{})}
	m.mu.Lock()
	old := m.running[t.Stop]
	m.running[t.ID] = a
	m.mu.Unlock()
	m.wg.Add(1)
	go func() {
		defer m.wg.Done()
		defer cancel()
		if old != nil {
			m.continueFrom(a, old)
		}
		m.runAttempt(ctx, p, a)
	}()
}

// continueFrom stops the attempt old and lets a continue from its output.
func (m *Runner) continueFrom(a, old *attempt) {
	m.stop(old)
	<-old.done
	a.trial.Prior = old.segments
}

func (m *Runner) stop(a *attempt) {
	m.mu.Lock()
	a.stopped = true
	m.mu.Unlock()
	a.cancel()
}

// stopAll stops the attempts with the given IDs.
func (m *Runner) stopAll(ids []string) {
	for _, id := range ids {
		m.mu.Lock()
		a := m.running[id]
		m.mu.Unlock()
		if a != nil {
			m.stop(a)
		}
	}
}

// finish removes an attempt and wakes Run, since a slot is free. It reports whether the
// attempt was stopped on purpose.
func (m *Runner) finish(a *attempt) (stopped bool) {
	m.mu.Lock()
	delete(m.running, a.trial.ID)
	stopped = a.stopped
	m.mu.Unlock()
	close(a.done)
	select {
	case m.wake <- struct{}{}:
	default:
	}
	return stopped
}
