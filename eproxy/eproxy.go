// Package eproxy is the sidecar's proxy for a model engine. All work and all orders
// for the engine pass through it, so that without coordinating with other
// processes it knows what runs on the engine, rejects work immediately, drains,
// checks fencing tokens for an engine that ignores them, and attributes
// generated tokens to weight versions.
package eproxy

import (
	"context"
	"io"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/lavendermux/lavendermux/attrib"
	"github.com/lavendermux/lavendermux/ctxmu"
	"github.com/lavendermux/lavendermux/drain"
	"github.com/lavendermux/lavendermux/engst"
	"github.com/lavendermux/lavendermux/fault"
	"github.com/lavendermux/lavendermux/genev"
	"github.com/lavendermux/lavendermux/genreq"
	"github.com/lavendermux/lavendermux/inbuf"
	"github.com/lavendermux/lavendermux/order"
	"github.com/lavendermux/lavendermux/prober"
	"github.com/lavendermux/lavendermux/wire"
)

const (
	// CauseDraining rejects new work on an endpoint that is draining.
	CauseDraining = drain.CauseDraining
	// CauseNotReady rejects work while the state of the engine is unknown.
	CauseNotReady = "notReady"
	// CauseRoleMismatch rejects a rollout on an engine that serves live work only. The
	// rollout would otherwise be queued for as long as the engine has that role.
	CauseRoleMismatch = "role"
	// CauseVersionMismatch rejects work that must start on another weight version.
	CauseVersionMismatch = "version"
	// CauseFenced rejects an order with the fencing token of a former leader.
	CauseFenced = "oldFence"
	// CauseRejected reports that the engine itself rejected the request.
	CauseRejected = "rejected"
	// CauseConnectionLost reports that the engine's stream ended early.
	CauseConnectionLost = "cutOff"
	// CauseTokenCount reports that the engine's token count differs from the tokens received.
	CauseTokenCount = "count"
	// CauseOutputLimit reports that the engine's output is longer than the request allows, or that
	// the process has no memory for it.
	CauseOutputLimit = "outputLimit"
	// CauseDeadline reports that the deadline was exceeded.
	CauseDeadline = "deadline"
	// CauseWeightStore reports that the engine could not fetch weights from the weight store.
	CauseWeightStore = "weightStore"
	// CauseOrderFailed reports that the engine failed to execute an order.
	CauseOrderFailed = "failed"

	// defaultPollInterval is the interval of state queries to the engine. A restart
	// of the engine is detected within one interval; streams that were open during
	// the crash have failed by then.
	defaultPollInterval = time.Second
	// defaultRetryAfter is the retry delay reported to callers: the state of the
	// engine is known within one poll interval.
	defaultRetryAfter = defaultPollInterval
	// defaultTextMemory is the memory for tokens that wait to be sent.
	defaultTextMemory = 32 << 20
)

type (
	// Proxy is the proxy for one engine. See New.
	Proxy struct {
		*drain.Drainer
		engine       engineClient
		limiter      requestLimiter
		log          *log.Logger
		pollInterval time.Duration
		prober       *prober.Checker

		versions attrib.Tracker
		// orderMu serializes orders to the engine.
		orderMu *ctxmu.Mutex

		mu sync.Mutex
		// fence is the greatest fencing token seen. A restart loses it, so no order
		// is accepted until fenceKnown is true.
		fence      int64
		fenceKnown bool
		// stateKnown is true once the engine has reported its state, and false again
		// after a state query has failed.
		stateKnown bool
		state      engst.State
		// stateChanged is closed and replaced after each state query, also a failed one.
		stateChanged chan struct{}
		// texts bounds the memory of the tokens that wait to be sent.
		texts *inbuf.Pool
	}

	// Option configures a Proxy in New.
	Option func(*Proxy)

	// engineClient is the client of the engine.
	engineClient interface {
		Generate(ctx context.Context, req genreq.Request, onToken func(genev.Event) error) error
		Cancel(ctx context.Context, id string) error
		Order(ctx context.Context, o order.Order) (engst.State, error)
		State(ctx context.Context) (engst.State, error)
	}

	// requestLimiter decides which requests may run on the engine.
	requestLimiter interface {
		// Enter waits for a slot and returns the function that releases it, or a
		// *fault.NotRunError.
		Enter(ctx context.Context, req *wire.RunRequest) (leave func(tokens int64), err error)
		Load() *wire.DoorLoad
	}
)

// New returns a proxy for engine that admits requests through limiter. It rejects
// all work until a Refresh has read the engine's state.
//
//	p := eproxy.New(engine.New(base), limiter)
//	go p.Watch(ctx)
func New(engine engineClient, limiter requestLimiter, opts ...Option) *Proxy {
	p := &Proxy{
		Drainer:      drain.New(),
		engine:       engine,
		limiter:      limiter,
		log:          log.New(io.Discard),
		pollInterval: defaultPollInterval,
		orderMu:      ctxmu.New(),
		stateChanged: make(chan struct{}),
		texts:        inbuf.New(inbuf.WithTotal(defaultTextMemory)),
	}
	for _, opt := range opts {
		opt(p)
	}
	return p
}

// WithLog sets the logger. By default nothing is logged.
func WithLog(l *log.Logger) Option {
	return func(p *Proxy) { p.log = l }
}

// WithTextMemory sets the memory for tokens that wait to be sent, in bytes, beyond the first 16 KiB of
// each request. The default is 32 MiB.
func WithTextMemory(n int64) Option {
	return func(p *Proxy) { p.texts = inbuf.New(inbuf.WithTotal(n)) }
}

// WithProber sets the checker that reports whether the engine crashed during a
// request. By default crashes are not detected.
func WithProber(c *prober.Checker) Option {
	return func(p *Proxy) { p.prober = c }
}

// Watch polls the engine's state until ctx is done.
func (p *Proxy) Watch(ctx context.Context) {
	tick := time.NewTicker(p.pollInterval)
	defer tick.Stop()
	for {
		p.Refresh(ctx)
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// Refresh queries the engine's state once.
func (p *Proxy) Refresh(ctx context.Context) {
	if p.orderMu.Lock(ctx) != nil {
		return
	}
	defer p.orderMu.Unlock()
	p.refresh(ctx)
}

// refresh queries the engine's state. The caller must hold p.orderMu: a state read
// while an order is in flight could predate that order.
func (p *Proxy) refresh(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, 2*p.pollInterval)
	defer cancel()
	st, err := p.engine.State(ctx)
	if err != nil {
		p.markUnreachable(err)
		return
	}
	p.applyState(st)
}

// markUnreachable records a failed state query. Tokens generated from now on have
// no version until the engine reports its state again, since it may have
// restarted on other weights.
func (p *Proxy) markUnreachable(err error) {
	p.mu.Lock()
	was := p.stateKnown
	p.stateKnown = false
	p.mu.Unlock()
	p.versions.Invalidate()
	p.notifyStateChange()
	if was {
		p.log.Warn("engine gives no answer to state queries", "err", err)
	}
}

func (p *Proxy) applyState(st engst.State) {
	for _, m := range st.Models {
		version := m.Version
		if st.Epoch%2 == 1 {
			version = ""
		}
		p.versions.Confirm(m.Model, version)
	}
	p.mu.Lock()
	was := p.stateKnown
	p.stateKnown = true
	p.state = st
	p.fence = max(p.fence, st.Fence)
	p.mu.Unlock()
	p.notifyStateChange()
	if !was {
		p.log.Info("engine answers state queries", "epoch", st.Epoch, "fence", st.Fence)
	}
}

// notifyStateChange wakes the streams that wait for the outcome of a switch.
func (p *Proxy) notifyStateChange() {
	p.mu.Lock()
	defer p.mu.Unlock()
	close(p.stateChanged)
	p.stateChanged = make(chan struct{})
}

// ObserveFence records a fencing token seen elsewhere, such as the one in the job's
// record. After a restart, orders are rejected until a token has been recorded:
// an engine that ignores fencing tokens would otherwise obey a leader that lost
// its lease while the sidecar was down.
func (p *Proxy) ObserveFence(n int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fence = max(p.fence, n)
	p.fenceKnown = true
}

// Describe fills st with the known state of the endpoint.
func (p *Proxy) Describe(st *wire.EndpointState) {
	p.mu.Lock()
	defer p.mu.Unlock()
	st.Draining = p.Draining()
	st.Ready = p.stateKnown
	st.Role = p.state.Role
	st.Load = p.load()
	st.Models = nil
	for _, m := range p.state.Models {
		st.Models = append(st.Models, &wire.ModelState{
			Model:   m.Model,
			Version: p.versions.Version(m.Model),
			Staged:  m.Staged,
		})
	}
}

// Role returns the role of the engine, or "" before its first report.
func (p *Proxy) Role() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.state.Role
}

// Load returns the current load as counted here; unlike the engine's own figures
// it does not lag.
func (p *Proxy) Load() *wire.DoorLoad {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.load()
}

func (p *Proxy) load() *wire.DoorLoad {
	load := p.limiter.Load()
	load.Draining = p.Draining()
	return load
}

// admit registers new work if it is accepted. After nil the caller must call Exit.
func (p *Proxy) admit(kind wire.WorkKind) error {
	if err := p.Enter(); err != nil {
		return err
	}
	if err := p.checkAccepts(kind); err != nil {
		p.Exit()
		return err
	}
	return nil
}

// checkAccepts returns an error unless the engine can accept work of kind now.
func (p *Proxy) checkAccepts(kind wire.WorkKind) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.stateKnown {
		return &fault.NotRunError{
			Cause:      CauseNotReady,
			Reason:     "the engine has not said what it holds",
			RetryAfter: defaultRetryAfter,
		}
	}
	if kind == wire.WorkKind_WORK_KIND_ROLLOUT && p.state.Role == order.RoleLive {
		return &fault.NotRunError{Cause: CauseRoleMismatch, Reason: "the engine takes live work only"}
	}
	return nil
}
