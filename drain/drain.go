// Package drain drains a sidecar gracefully: it counts the requests in flight,
// refuses new ones while the sidecar drains, and lets running ones finish.
package drain

import (
	"context"
	"sync"

	"github.com/lavendermux/lavendermux/fault"
)

// CauseDraining is the refusal cause of an endpoint that is leaving.
const CauseDraining = "draining"

// Drainer tracks the requests in flight at one sidecar. It is safe for concurrent
// use. See New.
type Drainer struct {
	mu sync.Mutex
	// stopping is final; leaving lasts as long as the platform says that the endpoint
	// is about to go.
	stopping bool
	leaving  bool
	wg       sync.WaitGroup
}

// New returns a Drainer without requests.
//
//	d := drain.New()
//	if err := d.Enter(); err != nil { return err }
func New() *Drainer {
	return &Drainer{}
}

// Enter counts a request as in flight, or refuses it with a *fault.NotRunError.
// Both happen under the lock that Drain takes, so that Idle can't miss a request
// that arrives as draining begins. After a nil error the caller must call Exit.
func (d *Drainer) Enter() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.stopping || d.leaving {
		return &fault.NotRunError{Cause: CauseDraining, Reason: "the endpoint is leaving"}
	}
	d.wg.Add(1)
	return nil
}

// Exit ends a request that Enter counted.
func (d *Drainer) Exit() {
	d.wg.Done()
}

// Drain refuses all new requests from now on.
func (d *Drainer) Drain() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.stopping = true
}

// Leave sets whether the platform says that the endpoint is about to go; new
// requests are refused as long as it does.
func (d *Drainer) Leave(leaving bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.leaving = leaving
}

// Draining reports whether new requests are refused.
func (d *Drainer) Draining() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.stopping || d.leaving
}

// Idle waits until no request is in flight, or until ctx ends.
func (d *Drainer) Idle(ctx context.Context) error {
	done := make(chan struct{})
	go func() {
		d.wg.Wait()
		close(done)
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}
