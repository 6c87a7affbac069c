// Package change writes resources to the metadata store idempotently, so that a
// change can be retried after a lost response without being made twice.
//
// The store offers only compare-and-swap, and its response can be lost after the
// write took effect. Three rules handle that. Every stored resource contains the
// operation IDs of the latest changes, so that a writer that reads it back can tell
// whether its own change is among them. A write is only repeated with the same
// expected revision, so that at most one of two duplicates takes effect. And a
// deleted resource keeps its key, so that a delayed duplicate never finds the key in
// the state that it expects.
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
	// causeStoreDown is the cause of a rejection while the metadata store does not
	// respond.
	causeStoreDown = "keyValueDown"
	// defaultAttempts bounds how often a change is read back and retried. A transient
	// failure is over by the fourth attempt, after 700 ms. In a longer outage waiting
	// does not help, and the operator is told that the outcome is unknown.
	defaultAttempts = 4
	defaultBackoff  = 100 * time.Millisecond
	// retryAfter is the retry delay for a rejected writer. Outages last minutes, and
	// there are few operators.
	retryAfter = 5 * time.Second
	// tombstoneTTL is how long a deleted resource keeps its key. A delayed duplicate of
	// a change is seconds old; a week covers an operator's script that was suspended
	// and resumed.
	tombstoneTTL = 7 * 24 * time.Hour
)

type (
	// Writer changes resources. See New.
	Writer struct {
		store    store
		attempts int
		backoff  time.Duration
		now      func() time.Time
	}

	// Option configures a Writer; see New.
	Option func(*Writer)

	store interface {
		Get(ctx context.Context, key string) (record.Record, error)
		List(ctx context.Context, prefix string) ([]record.Record, int64, error)
		Put(ctx context.Context, key string, value []byte, expect, lease int64) (int64, error)
		Delete(ctx context.Context, key string, expect int64) error
	}
)

// New returns a Writer of the resources in a metadata store.
//
//	w := change.New(keyval.New(base))
//	accepted, err := w.Put(ctx, next)
func New(s store, opts ...Option) *Writer {
	w := &Writer{store: s, attempts: defaultAttempts, backoff: defaultBackoff, now: time.Now}
	for _, opt := range opts {
		opt(w)
	}
	return w
}

// WithClock sets the clock for the times of changes. The default is time.Now.
func WithClock(now func() time.Time) Option {
	return func(w *Writer) { w.now = now }
}

// Put creates or replaces a resource. next.Revision is the revision to replace, 0 to
// create, and next.Operation must not be empty. Put returns the current resource: the
// result of next, or of a later change.
//
// The error is a *fault.ConflictError if the resource has another revision, a
// *fault.NotRunError if this call sent nothing, and a *fault.UnknownOutcomeError if
// the change may still take effect. In that case a retry with the same operation
// determines the outcome and never makes the change twice.
func (w *Writer) Put(ctx context.Context, next object.Object) (object.Object, error) {
	next.Deleted = false
	return w.apply(ctx, next)
}

// Delete deletes a resource if it has the given revision. It returns the errors of Put,
// and a *fault.NotFoundError.
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

// Read returns a resource from the metadata store, also a deleted one, or a
// *fault.NotFoundError.
func (w *Writer) Read(ctx context.Context, kind, name string) (object.Object, error) {
	rec, err := w.store.Get(ctx, object.Key(kind, name))
	if err != nil {
		return object.Object{}, err
	}
	return decode(rec)
}

// List returns the resources of a kind that are not deleted, and the revision at which
// they were read. An empty kind means all.
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

// DeleteExpired removes the keys of resources that were deleted more than a week ago, so that
// tombstones do not accumulate, and returns their number. It is sufficient that one
// instance at a time does this, once a day.
func (w *Writer) DeleteExpired(ctx context.Context) (int, error) {
	recs, _, err := w.store.List(ctx, object.KeyPrefix)
	if err != nil {
		return 0, err
	}
	n := 0
	for _, rec := range recs {
		o, err := decode(rec)
		if err != nil || !o.Deleted || w.now().Sub(o.ChangedAt) < tombstoneTTL {
			continue
		}
		if err := w.store.Delete(ctx, rec.Key, rec.Revision); err != nil {
			return n, err
		}
		n++
	}
	return n, nil
}

// apply makes the change, or determines that it has already been made.
func (w *Writer) apply(ctx context.Context, next object.Object) (object.Object, error) {
	sent := false
	for attempt := range w.attempts {
		if err := w.wait(ctx, attempt); err != nil {
			return object.Object{}, w.unresolvedError(next, sent, err)
		}
		done, err := w.try(ctx, next, &sent)
		if err == nil {
			return done, nil
		}
		var unavailable *fault.UnavailableError
		var conflict *casConflictError
		if !errors.As(err, &unavailable) && !errors.As(err, &conflict) {
			return object.Object{}, err
		}
		if !sent {
			return object.Object{}, w.unresolvedError(next, sent, err)
		}
	}
	return object.Object{}, w.unresolvedError(next, sent, errors.New("it kept silent"))
}

// try reads the current resource, and writes next unless that already determines the
// result. It sets sent before it writes.
func (w *Writer) try(ctx context.Context, next object.Object, sent *bool) (object.Object, error) {
	key := object.Key(next.Kind, next.Name)
	current, raw, err := w.current(ctx, key)
	if err != nil {
		return object.Object{}, err
	}
	if current.HasOperation(next.Operation) {
		return alreadyApplied(current, raw, next)
	}
	if current.Revision != next.Revision {
		return object.Object{}, revisionError(key, current, next)
	}
	stored := current.Successor(next)
	stored.ChangedAt = w.now().UTC().Truncate(time.Second)
	value, err := json.Marshal(stored)
	if err != nil {
		return object.Object{}, errors.Wrapf(err, "encoding %s", key)
	}
	*sent = true
	revision, err := w.store.Put(ctx, key, value, raw, 0)
	var conflict *fault.ConflictError
	if errors.As(err, &conflict) {
		// A duplicate of this change may have been first, so the key is read once more
		// before a conflict is reported.
		return object.Object{}, &casConflictError{}
	}
	if err != nil {
		return object.Object{}, err
	}
	stored.Revision = revision
	return stored.Public(), nil
}

// current returns the resource at key and the key's own revision. An absent or deleted
// resource has revision 0.
func (w *Writer) current(ctx context.Context, key string) (object.Object, int64, error) {
	rec, err := w.store.Get(ctx, key)
	var notFound *fault.NotFoundError
	if errors.As(err, &notFound) {
		return object.Object{}, 0, nil
	}
	if err != nil {
		return object.Object{}, 0, err
	}
	o, err := decode(rec)
	if err != nil {
		// An invalid value can still be replaced at its revision; otherwise an operator
		// could not repair it.
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
	base := w.backoff << (attempt - 1)
	// Jitter keeps writers from retrying in sync after an outage.
	timer := time.NewTimer(base/2 + rand.N(base)) //nolint:gosec // No secret hangs on it.
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}

func (w *Writer) unresolvedError(next object.Object, sent bool, cause error) error {
	if !sent {
		return &fault.NotRunError{
			Cause:      causeStoreDown,
			Reason:     "this attempt sent nothing, since the key-value service gave no answer: " + cause.Error(),
			RetryAfter: retryAfter,
		}
	}
	return &fault.UnknownOutcomeError{
		Cause:  causeStoreDown,
		Reason: "the change may have been made; ask again with operation " + next.Operation + " to find out: " + cause.Error(),
	}
}

// alreadyApplied returns the result of a change that has already been made: the current
// resource, also if later changes have replaced it.
func alreadyApplied(current object.Object, raw int64, next object.Object) (object.Object, error) {
	current.Revision = raw
	if current.Operation != next.Operation {
		return current.Public(), nil
	}
	if current.Deleted != next.Deleted || !equalJSON(current.Spec, next.Spec) {
		return object.Object{}, &fault.FieldError{
			Field:   "operation",
			Problem: "names an earlier change with another content; leave it out or choose a new one",
		}
	}
	return current.Public(), nil
}

func revisionError(key string, current, next object.Object) error {
	if next.Deleted && current.Revision == 0 {
		return &fault.NotFoundError{Resource: next.Kind + " " + next.Name}
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

func equalJSON(a, b json.RawMessage) bool {
	var x, y bytes.Buffer
	if len(a) == 0 || len(b) == 0 {
		return len(a) == len(b)
	}
	return json.Compact(&x, a) == nil && json.Compact(&y, b) == nil && bytes.Equal(x.Bytes(), y.Bytes())
}
