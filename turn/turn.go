// Package turn lets one through at a time where the work waits for a network.
//
// A sync.Mutex held over a network call cannot be given up when the caller's
// deadline passes, so one silent peer holds up everyone behind it without end;
// and virtual time in tests stands still while a goroutine waits for a mutex.
package turn

import "context"

// Turn is like a mutex whose waiting ends with a context. The zero Turn is not
// usable; see New.
type Turn struct {
	taken chan struct{}
}

// New returns a turn that nobody has.
//
//	t := turn.New()
//	if err := t.Take(ctx); err != nil { return err }
func New() *Turn {
	return &Turn{taken: make(chan struct{}, 1)}
}

// Take waits for the turn, or returns why ctx ended.
func (t *Turn) Take(ctx context.Context) error {
	select {
	case t.taken <- struct{}{}:
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

// Give ends the turn that Take began.
func (t *Turn) Give() {
	<-t.taken
}
