// Package simsrv provides helpers for the simulated services: fault injection at
// run time and reading and writing JSON over HTTP.
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
	// maxBodyBytes limits a request body. It fits a value of a megabyte in base64
	// with room to spare.
	maxBodyBytes = 4 << 20
)

type (
	// Faults holds the injected faults of a simulated service as a struct T, whose
	// zero value means no faults. Over HTTP, GET returns T as JSON and POST changes
	// the fields in its JSON body only. It is safe for concurrent use. See New.
	Faults[T any] struct {
		mu       sync.Mutex
		value    T
		changed  chan struct{}
		onChange func(T)
	}

	// Option configures Faults in New.
	Option[T any] func(*Faults[T])

	errorResponse struct {
		Error string `json:"error"`
	}
)

// New returns the zero T: no faults. A test with testing/synctest must call New
// inside the bubble: waiting on a channel from outside the bubble stops virtual
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

// WithOnChange sets a function that is called with the new value after each change.
// The default is none.
func WithOnChange[T any](onChange func(T)) Option[T] {
	return func(f *Faults[T]) { f.onChange = onChange }
}

// Get returns the current faults.
func (f *Faults[T]) Get() T {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.value
}

// Update changes the faults and wakes all callers of Wait.
func (f *Faults[T]) Update(change func(*T)) {
	_ = f.update(func(v *T) error {
		change(v)
		return nil
	})
}

// TakeOne decrements the counter that counter returns if it is above zero, and
// reports whether it was. It is for faults that affect the next n requests.
func (f *Faults[T]) TakeOne(counter func(*T) *int) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := counter(&f.value)
	if *n <= 0 {
		return false
	}
	*n--
	return true
}

// Wait blocks until the condition until holds or ctx ends, and returns ctx's error
// in the latter case.
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
		WriteJSON(w, http.StatusOK, f.Get())
		return
	}
	dec := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	// Otherwise a test with a misspelled fault would pass without the fault.
	dec.DisallowUnknownFields()
	if err := f.update(func(v *T) error { return dec.Decode(v) }); err != nil {
		WriteError(w, http.StatusBadRequest, err.Error())
		return
	}
	WriteJSON(w, http.StatusOK, f.Get())
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
	if f.onChange != nil {
		f.onChange(next)
	}
	return nil
}

// Abort aborts a request without a response by panicking with http.ErrAbortHandler.
// The connection is closed, and the client can't tell whether the request took
// effect.
func Abort() {
	panic(http.ErrAbortHandler)
}

// Sleep sleeps for d or until ctx ends.
func Sleep(ctx context.Context, d time.Duration) {
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

// ReadJSON decodes the request's JSON body into v. On failure it writes an error
// response and returns false. It reads the body to its end, because only then does
// the server notice that the client disconnects while the request waits.
func ReadJSON(w http.ResponseWriter, r *http.Request, v any) bool {
	raw, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		WriteError(w, http.StatusRequestEntityTooLarge, fmt.Sprintf("body: the limit is %d bytes", large.Limit))
		return false
	}
	if err == nil {
		err = json.Unmarshal(raw, v)
	}
	if err != nil {
		WriteError(w, http.StatusBadRequest, "body: "+err.Error())
	}
	return err == nil
}

// WriteJSON writes v as a JSON response.
func WriteJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

// WriteError writes an error response, {"error": problem}.
func WriteError(w http.ResponseWriter, status int, problem string) {
	WriteJSON(w, status, errorResponse{Error: problem})
}
