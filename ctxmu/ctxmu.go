// Package ctxmu provides a mutex with cancellation for critical sections that wait for the
// network.
//
// A goroutine that waits for a sync.Mutex cannot give up when its deadline passes, so
// with a mutex held over a network call one silent peer blocks all others without limit;
// and virtual time in tests stands still while a goroutine waits for a mutex.
package ctxmu

import "context"

// Mutex is a mutex whose acquisition ends with a context. The zero Mutex is not usable; see
// New.
type Mutex struct {
	sem chan struct{}
}

// New returns an unlocked mutex.
//
//	m := ctxmu.New()
//	if err := m.Lock(ctx); err != nil { return err }
func New() *Mutex {
	return &Mutex{sem: make(chan struct{}, 1)}
}

// Lock acquires the mutex, or returns the cause of ctx if that ends before.
func (m *Mutex) Lock(ctx context.Context) error {
	select {
	case m.sem <- struct{}{}:
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

// Unlock releases the mutex.
func (m *Mutex) Unlock() {
	<-m.sem
}
