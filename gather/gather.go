// Package gather runs a function on behalf of many callers at once.
//
// Each call is served by a run that begins after the call, so that the result is as fresh as
// if the caller had run the function itself: calls that arrive during a run share the next
// one. Of a hundred callers in the same moment, one causes a run and the others share a
// second. Package singleflight would give them the result of a run that began before they
// asked.
package gather

import (
	"context"
	"sync"
	"time"
)

type (
	// Func runs a function for several callers; safe for concurrent use. See New.
	Func struct {
		f     func(ctx context.Context) error
		delay time.Duration

		mu   sync.Mutex
		busy bool
		// next is the run that has not begun yet; nil if nobody waits for one.
		next *run
	}

	// Option configures a Func in New.
	Option func(*Func)

	run struct {
		done chan struct{}
		err  error
	}
)

// New returns a Func that runs f. f gets a context that no caller cancels and bounds its own
// time.
//
//	confirm := gather.New(confirmConfig, gather.WithDelay(100*time.Millisecond))
//	err := confirm.Do(ctx)
func New(f func(ctx context.Context) error, opts ...Option) *Func {
	g := &Func{f: f}
	for _, opt := range opts {
		opt(g)
	}
	return g
}

// WithDelay sets how long a run waits for more callers before it begins, which bounds the runs
// per second. The default is not at all.
func WithDelay(d time.Duration) Option {
	return func(g *Func) { g.delay = d }
}

// Do waits for a run that begins after this call, and returns its error, or that of ctx.
func (g *Func) Do(ctx context.Context) error {
	r := g.join()
	select {
	case <-r.done:
		return r.err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// join returns the next run, and has it begin if none is under way.
func (g *Func) join() *run {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.next == nil {
		g.next = &run{done: make(chan struct{})}
	}
	if !g.busy {
		g.busy = true
		go g.serve()
	}
	return g.next
}

// serve makes one run after the other while callers wait for one.
func (g *Func) serve() {
	for {
		time.Sleep(g.delay)
		r := g.take()
		if r == nil {
			return
		}
		r.err = g.f(context.Background())
		close(r.done)
	}
}

// take returns the run that begins now, or nil if nobody waits for one.
func (g *Func) take() *run {
	g.mu.Lock()
	defer g.mu.Unlock()
	r := g.next
	g.next, g.busy = nil, r != nil
	return r
}
