// Package gate limits concurrency: requests wait in a queue for a slot and are
// refused as soon as the queue gives them up. A sidecar has a gate for the slots of
// its engine, an entry has one for each service.
//
// Package queue makes the decisions; this package adds the clock, the lock and
// the blocking.
package gate

import (
	"context"
	"sync"
	"time"

	"github.com/lavendermux/lavendermux/admit"
	"github.com/lavendermux/lavendermux/fault"
	"github.com/lavendermux/lavendermux/queue"
	"github.com/lavendermux/lavendermux/slots"
	"github.com/lavendermux/lavendermux/wire"
	"github.com/lavendermux/lavendermux/work"
)

const (
	// CauseCallerGone is the refusal cause when the caller disconnected while its request
	// waited.
	CauseCallerGone = "callerGone"
	// NotRun is the number of tokens of work that has not run after all: its caller is not
	// charged for it.
	NotRun int64 = -1
)

type (
	// Limiter admits work to a number of slots. It is safe for concurrent use. See New.
	Limiter struct {
		mu    sync.Mutex
		queue *queue.Queue[*waiter]
		slots *slots.Allocator
		admit *admit.Admit
		timer *time.Timer
		opts  []queue.Option
	}

	// Option configures a concurrency limiter.
	Option func(*Limiter)

	// waiter is one request in the queue. Its channel receives one answer: nil when
	// it gets a slot, or the refusal.
	waiter struct {
		ticket uint64
		answer chan error
	}
)

// New returns a concurrency limiter for the given slots.
//
//	g := gate.New(slots.New(32))
//	leave, err := g.Enter(ctx, w)
func New(s *slots.Allocator, opts ...Option) *Limiter {
	g := &Limiter{slots: s, admit: admit.New()}
	for _, opt := range opts {
		opt(g)
	}
	g.queue = queue.New[*waiter](s, append(g.opts, queue.WithAdmission(g.admit))...)
	return g
}

// WithQueue configures the queue. By default it has the defaults of package queue.
func WithQueue(opts ...queue.Option) Option {
	return func(g *Limiter) { g.opts = append(g.opts, opts...) }
}

// WithShares configures the fair shares among callers. By default they have the defaults
// of package admit.
func WithShares(opts ...admit.Option) Option {
	return func(g *Limiter) {
		for _, opt := range opts {
			opt(g.admit)
		}
	}
}

// Resize sets the number of slots. With 0 all waiting and new work is refused. Negative
// numbers are ignored.
func (g *Limiter) Resize(total int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if total >= 0 && total != g.slots.Total() {
		g.slots.Resize(total)
		g.dispatch(time.Now())
	}
}

// Pause sets whether work may start. While it may not, it waits for as long as it could
// still finish in time.
func (g *Limiter) Pause(paused bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if paused != g.queue.Paused() {
		g.queue.Pause(paused)
		g.dispatch(time.Now())
	}
}

// SetSlotOptions changes the division of the slots among the kinds of work from now on.
func (g *Limiter) SetSlotOptions(opts ...slots.Option) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, opt := range opts {
		opt(g.slots)
	}
	g.dispatch(time.Now())
}

// SetLimit sets the maximum number of waiting requests from now on.
func (g *Limiter) SetLimit(n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.queue.SetLimit(n)
}

// SetShareOptions changes the weights and maximum shares of callers from now on.
func (g *Limiter) SetShareOptions(opts ...admit.Option) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, opt := range opts {
		opt(g.admit)
	}
}

// Load returns the load of the endpoint: its waiting and running requests.
func (g *Limiter) Load() *wire.DoorLoad {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.queue.Load(time.Now())
}

// Waiting returns the number of waiting requests.
func (g *Limiter) Waiting() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.queue.Waiting()
}

// ServiceTime returns the estimated time that the work takes on a slot.
func (g *Limiter) ServiceTime(w work.Work) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.queue.ServiceTime(w)
}

// Enter waits for a slot and returns the function that releases it, to be called
// once with the number of tokens generated in it, 0 if the time that it took says
// nothing about the work, or NotRun. It returns a *fault.NotRunError as soon as it is
// certain that no slot becomes free in time, or when ctx ends.
func (g *Limiter) Enter(ctx context.Context, w work.Work) (leave func(tokens int64), err error) {
	r := &waiter{answer: make(chan error, 1)}
	if err := g.enqueue(r, w); err != nil {
		return nil, err
	}
	select {
	case err := <-r.answer:
		if err != nil {
			return nil, err
		}
		return func(tokens int64) { g.release(r, tokens) }, nil
	case <-ctx.Done():
		g.cancel(r)
		return nil, &fault.NotRunError{Cause: CauseCallerGone, Reason: "the caller gave up while the request waited"}
	}
}

// TryEnter takes a slot if one is free and nothing waits, and returns the function that
// releases it, as Enter does.
func (g *Limiter) TryEnter(w work.Work) (leave func(tokens int64), ok bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	if !g.queue.Idle(w) {
		return nil, false
	}
	r := &waiter{answer: make(chan error, 1)}
	ticket, err := g.queue.Push(r, w, now)
	if err != nil {
		return nil, false
	}
	r.ticket = ticket
	if popped, _, ok := g.queue.Pop(now); !ok || popped != r {
		g.queue.Cancel(ticket, now)
		return nil, false
	}
	return func(tokens int64) { g.release(r, tokens) }, true
}

func (g *Limiter) enqueue(r *waiter, w work.Work) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	ticket, err := g.queue.Push(r, w, now)
	r.ticket = ticket
	g.dispatch(now)
	return err
}

func (g *Limiter) release(r *waiter, tokens int64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	if tokens == NotRun {
		g.queue.Withdraw(r.ticket, now)
	} else {
		g.queue.Done(r.ticket, tokens, now)
	}
	g.dispatch(now)
}

// cancel removes the request of a caller that has disconnected, waiting or
// running: its slot may have been granted at the same moment.
func (g *Limiter) cancel(r *waiter) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	g.queue.Cancel(r.ticket, now)
	g.dispatch(now)
}

// dispatch answers the requests that are decided now and sets the timer for the
// next one to be given up. Without the timer, a request that can no longer finish
// in time would be refused only at the next event.
func (g *Limiter) dispatch(now time.Time) {
	g.queue.Expire(now, func(w *waiter, refusal *fault.NotRunError) {
		w.answer <- refusal
	})
	for {
		w, _, ok := g.queue.Pop(now)
		if !ok {
			break
		}
		w.answer <- nil
	}
	g.resetTimer(now)
}

func (g *Limiter) resetTimer(now time.Time) {
	if g.timer != nil {
		g.timer.Stop()
		g.timer = nil
	}
	at, ok := g.queue.NextExpiry()
	if !ok {
		return
	}
	// At the returned time the work could still just finish in time, and stays. A
	// timer for exactly that time would fire and be set again until the clock has
	// advanced, with a core busy and the lock held all the while.
	g.timer = time.AfterFunc(max(0, at.Sub(now))+time.Nanosecond, func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.dispatch(time.Now())
	})
}
