// Package drain counts the work at a door and ends it in good order: while a
// door drains, nothing new comes in, and what is there goes on to its end.
package drain

import (
	"context"
	"sync"

	"github.com/lavendermux/lavendermux/fault"
)

// CauseDraining refuses new work on an endpoint that is leaving.
const CauseDraining = "draining"

// Drainer is the work at one door. It is safe for concurrent use. See New.
type Drainer struct {
	mu sync.Mutex
	// stopping stays; leaving lasts as long as the platform says so.
	stopping bool
	leaving  bool
	running  sync.WaitGroup
}

// New returns a door's work, of which there is none yet.
//
//	d := drain.New()
//	if err := d.Enter(); err != nil { return err }
func New() *Drainer {
	return &Drainer{}
}

// Enter counts one piece of work in, or refuses it with a *fault.NotRunError.
// Both happen under the lock that Drain takes, so that Idle cannot miss work that
// came in while the door began to drain. After nil the caller must call Exit.
func (d *Drainer) Enter() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.stopping || d.leaving {
		return &fault.NotRunError{Cause: CauseDraining, Reason: "the endpoint is leaving"}
	}
	d.running.Add(1)
	return nil
}

// Exit counts work out that Enter counted in.
func (d *Drainer) Exit() {
	d.running.Done()
}

// Drain makes the door refuse all new work, from now on.
func (d *Drainer) Drain() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.stopping = true
}

// Leave makes the door refuse all new work for as long as the platform says that
// the endpoint is about to go.
func (d *Drainer) Leave(leaving bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.leaving = leaving
}

// Draining reports whether new work is refused.
func (d *Drainer) Draining() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.stopping || d.leaving
}

// Idle returns when no work is left at the door, or when ctx ends.
func (d *Drainer) Idle(ctx context.Context) error {
	done := make(chan struct{})
	go func() {
		d.running.Wait()
		close(done)
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}
