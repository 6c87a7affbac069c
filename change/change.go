// Package change makes changes of resources in the key-value service so that a
// lost answer can be asked for again without doing the change twice.
//
// The service knows compare-and-swap only, and its answer can be lost after the
// write took effect. Three things settle that. Every stored resource carries
// the identities of the changes that made it, so that reading it back tells
// whether one's own is among them. A write is only ever repeated under the same
// expected revision, so that of two copies at most one takes effect. And a
// deleted resource keeps its key, so that an old copy which arrives late never
// finds the key as it was at its own time.
package change

import (
	"bytes"
	"context"
	"encoding/json"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/lavendermux/lavendermux/fault"
	"github.com/lavendermux/lavendermux/object"
	"github.com/lavendermux/lavendermux/record"
)

const (
	// causeDown is the cause of a refusal while the key-value service is silent.
	causeDown = "keyValueDown"
	// defaultAttempts bounds how often a change is read back and sent again. A
	// short disturbance is over by the fourth, 700 ms on; in a long one waiting
	// helps nobody and the operator learns that the outcome is unknown.
	defaultAttempts = 4
	defaultPause    = 100 * time.Millisecond
	// retryAfter is when a refused writer should come again. Outages last
	// minutes, and there are few operators.
	retryAfter = 5 * time.Second
	// defaultKeep is how long a deleted resource keeps its key. A late copy of a
	// change is seconds old; a week covers an operator's script that was stopped
	// and continued.
	defaultKeep = 7 * 24 * time.Hour
)

type (
	// Writer makes changes. See New.
	Writer struct {
		store    store
		attempts int
		pause    time.Duration
		now      func() time.Time
	}

	// Option changes a Writer as New makes it.
	Option func(*Writer)

	store interface {
		Get(ctx context.Context, key string) (record.Record, error)
		List(ctx context.Context, prefix string) ([]record.Record, int64, error)
		Put(ctx context.Context, key string, value []byte, expect, lease int64) (int64, error)
		Delete(ctx context.Context, key string, expect int64) error
	}
)

// New returns a writer of the resources in a key-value service.
//
//	w := change.New(keyval.New(base))
//	accepted, err := w.Put(ctx, next)
func New(s store, opts ...Option) *Writer {
	w := &Writer{store: s, attempts: defaultAttempts, pause: defaultPause, now: time.Now}
	for _, opt := range opts {
		opt(w)
	}
	return w
}

// WithClock sets where the time of a change comes from. The default is time.Now.
func WithClock(now func() time.Time) Option {
	return func(w *Writer) { w.now = now }
}

// Put creates or replaces a resource. The revision of next is the one that it
// replaces, 0 to create, and its operation is not empty. What is returned is
// the resource as it stands, with next's operation unless a later change has
// overtaken it already.
//
// A *fault.ConflictError says that the resource has moved on, a
// *fault.NotRunError that this call sent nothing, and a
// *fault.UnknownOutcomeError that the change may still take effect: asking
// again with the same operation finds out and never makes it twice.
func (w *Writer) Put(ctx context.Context, next object.Object) (object.Object, error) {
	next.Deleted = false
	return w.apply(ctx, next)
}

// Delete deletes a resource at a stated revision. Its errors are Put's, and a
// *fault.NotFoundError.
func (w *Writer) Delete(ctx context.Context, kind, name string, revision int64, operation string) (object.Object, error) {
	return w.apply(ctx, object.Object{
		APIVersion: object.APIVersion,
		Kind:       kind,
		Name:       name,
		Revision:   revision,
		Operation:  operation,
		Deleted:    true,
	})
}

// Read returns a resource as the key-value service holds it, deleted ones
// included, or a *fault.NotFoundError.
func (w *Writer) Read(ctx context.Context, kind, name string) (object.Object, error) {
	rec, err := w.store.Get(ctx, object.Key(kind, name))
	if err != nil {
		return object.Object{}, err
	}
	return decode(rec)
}

// List returns the resources of a kind that are not deleted, and the revision
// at which they were read; an empty kind means all.
func (w *Writer) List(ctx context.Context, kind string) ([]object.Object, int64, error) {
	prefix := object.KeyPrefix
	if kind != "" {
		prefix += kind + "/"
	}
	recs, revision, err := w.store.List(ctx, prefix)
	if err != nil {
		return nil, 0, err
	}
	var all []object.Object
	for _, rec := range recs {
		if o, err := decode(rec); err == nil && !o.Deleted {
			all = append(all, o)
		}
	}
	return all, revision, nil
}

// Sweep removes the keys of resources that were deleted more than a week ago,
// so that they do not grow without end, and returns how many. One instance at a
// time needs to do it, once a day.
func (w *Writer) Sweep(ctx context.Context) (int, error) {
	recs, _, err := w.store.List(ctx, object.KeyPrefix)
	if err != nil {
		return 0, err
	}
	n := 0
	for _, rec := range recs {
		o, err := decode(rec)
		if err != nil || !o.Deleted || w.now().Sub(o.ChangedAt) < defaultKeep {
			continue
		}
		if err := w.store.Delete(ctx, rec.Key, rec.Revision); err != nil {
			return n, err
		}
		n++
	}
	return n, nil
}

// apply makes the change, or finds that it has been made.
func (w *Writer) apply(ctx context.Context, next object.Object) (object.Object, error) {
	sent := false
	for attempt := range w.attempts {
		if err := w.wait(ctx, attempt); err != nil {
			return object.Object{}, w.giveUp(next, sent, err)
		}
		done, err := w.try(ctx, next, &sent)
		if err == nil {
			return done, nil
		}
		var silent *fault.UnavailableError
		var moved *retryError
		if !errors.As(err, &silent) && !errors.As(err, &moved) {
			return object.Object{}, err
		}
		if !sent {
			return object.Object{}, w.giveUp(next, sent, err)
		}
	}
	return object.Object{}, w.giveUp(next, sent, errors.New("it kept silent"))
}

// try reads what stands, and writes unless that settles the matter.
func (w *Writer) try(ctx context.Context, next object.Object, sent *bool) (object.Object, error) {
	key := object.Key(next.Kind, next.Name)
	current, raw, err := w.current(ctx, key)
	if err != nil {
		return object.Object{}, err
	}
	if current.Carries(next.Operation) {
		return accepted(current, raw, next)
	}
	if current.Revision != next.Revision {
		return object.Object{}, moved(key, current, next)
	}
	stored := current.Follow(next)
	stored.ChangedAt = w.now().UTC().Truncate(time.Second)
	value, err := json.Marshal(stored)
	if err != nil {
		return object.Object{}, errors.Wrapf(err, "encoding %s", key)
	}
	*sent = true
	revision, err := w.store.Put(ctx, key, value, raw, 0)
	var conflict *fault.ConflictError
	if errors.As(err, &conflict) {
		// Another copy of this change may have come first, so the key is read
		// once more before the answer is "conflict".
		return object.Object{}, &retryError{}
	}
	if err != nil {
		return object.Object{}, err
	}
	stored.Revision = revision
	return stored.Public(), nil
}

// current returns what stands at key and the key's own revision. A resource
// that is absent or deleted has revision 0.
func (w *Writer) current(ctx context.Context, key string) (object.Object, int64, error) {
	rec, err := w.store.Get(ctx, key)
	var missing *fault.NotFoundError
	if errors.As(err, &missing) {
		return object.Object{}, 0, nil
	}
	if err != nil {
		return object.Object{}, 0, err
	}
	o, err := decode(rec)
	if err != nil {
		// Bytes that are no resource can still be replaced at their revision;
		// otherwise an operator could not mend them.
		o = object.Object{Revision: rec.Revision}
	}
	if o.Deleted {
		o.Revision = 0
	}
	return o, rec.Revision, nil
}

func (w *Writer) wait(ctx context.Context, attempt int) error {
	if attempt == 0 {
		return nil
	}
	base := w.pause << (attempt - 1)
	// Jitter keeps the writers that an outage held up from coming back as one.
	timer := time.NewTimer(base/2 + rand.N(base)) //nolint:gosec // No secret hangs on it.
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}

func (w *Writer) giveUp(next object.Object, sent bool, cause error) error {
	if !sent {
		return &fault.NotRunError{
			Cause:      causeDown,
			Reason:     "this attempt sent nothing, since the key-value service gave no answer: " + cause.Error(),
			RetryAfter: retryAfter,
		}
	}
	return &fault.UnknownOutcomeError{
		Cause:  causeDown,
		Reason: "the change may have been made; ask again with operation " + next.Operation + " to find out: " + cause.Error(),
	}
}

// accepted answers for a change that current carries already. One that others
// have overtaken is answered with what stands now.
func accepted(current object.Object, raw int64, next object.Object) (object.Object, error) {
	current.Revision = raw
	if current.Operation != next.Operation {
		return current.Public(), nil
	}
	if current.Deleted != next.Deleted || !same(current.Spec, next.Spec) {
		return object.Object{}, &fault.FieldError{
			Field:   "operation",
			Problem: "names an earlier change with another content; leave it out or choose a new one",
		}
	}
	return current.Public(), nil
}

func moved(key string, current, next object.Object) error {
	if next.Deleted && current.Revision == 0 {
		return &fault.NotFoundError{What: next.Kind + " " + next.Name}
	}
	return &fault.ConflictError{Key: key, Revision: current.Revision}
}

func decode(rec record.Record) (object.Object, error) {
	var o object.Object
	if err := json.Unmarshal(rec.Value, &o); err != nil {
		return object.Object{}, errors.Wrapf(err, "reading %s", rec.Key)
	}
	o.Revision = rec.Revision
	return o, nil
}

func same(a, b json.RawMessage) bool {
	var x, y bytes.Buffer
	if len(a) == 0 || len(b) == 0 {
		return len(a) == len(b)
	}
	return json.Compact(&x, a) == nil && json.Compact(&y, b) == nil && bytes.Equal(x.Bytes(), y.Bytes())
}
