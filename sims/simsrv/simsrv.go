// Package simsrv holds what the stand-ins of the platform share: faults that a
// test switches on while a stand-in serves, and the few lines that read and
// write JSON.
package simsrv

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// maxBody bounds a request to a stand-in, in bytes: a value of a megabyte
	// as base64, with room to spare.
	maxBody = 4 << 20
)

type (
	// Faults holds the faults of one stand-in, a struct T whose zero value is a
	// stand-in without faults. It serves them over HTTP: GET returns them, POST
	// changes the fields that its JSON names and leaves the others. Safe for
	// concurrent use. See New.
	Faults[T any] struct {
		mu      sync.Mutex
		value   T
		changed chan struct{}
		act     func(T)
	}

	// Option changes Faults as New makes them.
	Option[T any] func(*Faults[T])

	errorResponse struct {
		Error string `json:"error"`
	}
)

// New returns faults that are all off. In a test with testing/synctest they are
// made inside the bubble: waiting on what was made outside of it stops virtual
// time.
//
//	f := simsrv.New[faults]()
//	f.Update(func(v *faults) { v.Down = true })
func New[T any](opts ...Option[T]) *Faults[T] {
	f := &Faults[T]{changed: make(chan struct{})}
	for _, opt := range opts {
		opt(f)
	}
	return f
}

// WithAction sets what is called with the new value after each change. The
// default is nothing.
func WithAction[T any](act func(T)) Option[T] {
	return func(f *Faults[T]) { f.act = act }
}

// Get returns the present faults.
func (f *Faults[T]) Get() T {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.value
}

// Update changes the faults and wakes whoever waits for a change.
func (f *Faults[T]) Update(change func(*T)) {
	_ = f.update(func(v *T) error {
		change(v)
		return nil
	})
}

// Take lowers the counter that pick points at, and reports whether it was above
// zero: it serves faults that strike the next few requests.
func (f *Faults[T]) Take(pick func(*T) *int) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := pick(&f.value)
	if *n <= 0 {
		return false
	}
	*n--
	return true
}

// Wait returns when until holds, or with the error of ctx.
func (f *Faults[T]) Wait(ctx context.Context, until func(T) bool) error {
	for {
		f.mu.Lock()
		value, changed := f.value, f.changed
		f.mu.Unlock()
		if until(value) {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// ServeHTTP implements http.Handler.
func (f *Faults[T]) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodGet {
		Reply(w, http.StatusOK, f.Get())
		return
	}
	dec := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBody))
	// A misspelt fault would otherwise be taken for one that is on, and the
	// test that asked for it would pass without it.
	dec.DisallowUnknownFields()
	if err := f.update(func(v *T) error { return dec.Decode(v) }); err != nil {
		Fail(w, http.StatusBadRequest, err.Error())
		return
	}
	Reply(w, http.StatusOK, f.Get())
}

func (f *Faults[T]) update(change func(*T) error) error {
	f.mu.Lock()
	next := f.value
	if err := change(&next); err != nil {
		f.mu.Unlock()
		return err
	}
	f.value = next
	close(f.changed)
	f.changed = make(chan struct{})
	f.mu.Unlock()
	if f.act != nil {
		f.act(next)
	}
	return nil
}

// Drop ends a request without an answer: its connection is closed, and the
// client can't tell whether the request took effect. It doesn't return.
func Drop() {
	panic(http.ErrAbortHandler)
}

// Pause waits for d or for the end of ctx, whichever comes first.
func Pause(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

// Read reads the request's JSON into v. When it can't, it answers with an error
// and returns false. It reads the body to its end: only then does the server
// notice that the client goes away while the request waits.
func Read(w http.ResponseWriter, r *http.Request, v any) bool {
	raw, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		Fail(w, http.StatusRequestEntityTooLarge, fmt.Sprintf("body: the limit is %d bytes", large.Limit))
		return false
	}
	if err == nil {
		err = json.Unmarshal(raw, v)
	}
	if err != nil {
		Fail(w, http.StatusBadRequest, "body: "+err.Error())
	}
	return err == nil
}

// Reply answers with v as JSON.
func Reply(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

// Fail answers with an error, {"error": problem}.
func Fail(w http.ResponseWriter, status int, problem string) {
	Reply(w, status, errorResponse{Error: problem})
}
