// Package bstore stores batch submissions and their results in the metadata store.
//
// Each batch has a head record that fences all of its other records: every write is
// conditional on the head's revision and rewrites the head. An owner that was paused and
// replaced therefore fails at its next write, whatever its clock says, and a write whose
// answer was lost can be repeated safely.
package bstore

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/url"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lavendermux/lavendermux/batch"
	"github.com/lavendermux/lavendermux/kvst"
)

const (
	// HeadPrefix is the prefix of the head records, one key for each batch.
	HeadPrefix = "lavendermux/heads/"

	bodyPrefix   = "lavendermux/bodies/"
	resultPrefix = "lavendermux/results/"
	// progressPrefix is the prefix of partial text of unfinished items.
	progressPrefix = "lavendermux/progress/"

	// defaultMaxValueBytes is the default maximum size of one value, in bytes.
	defaultMaxValueBytes = 1 << 20
	// maxTxnEntries is the maximum number of entries in one transaction, and maxTxnValues the number of
	// values of the maximum size that one has at most, which bounds the memory of a write.
	maxTxnEntries = 32
	maxTxnValues  = 8
	// commitRetryDelay is the delay before a write without an answer is repeated.
	commitRetryDelay = 50 * time.Millisecond
)

type (
	// Store reads and writes batches. It is safe for concurrent use. See New.
	Store struct {
		kv            kvst.Store
		maxValueBytes int
		list          kvst.Lister
	}

	// Option configures a Store.
	Option func(*Store)

	// Record is a batch's head with the revision that the next write expects.
	Record struct {
		batch.Head
		ID       string
		Revision int64
		// AcceptedAt is when the submission was accepted, on this process's monotonic clock. If
		// the head was read from the store, it may be too late by at most
		// Uncertainty.
		AcceptedAt  time.Time
		Uncertainty time.Duration
		// ConfirmedAt is a time at which the store had no head of a later owner, on this process's
		// monotonic clock: that of the request that the store answered. It is zero if the store hasn't
		// answered one.
		ConfirmedAt time.Time
	}

	// Change is one write to one batch: results to append, partial text of unfinished
	// items, the end of the batch, and a new list of replicas unless nil. Record is replaced
	// by the state after the write.
	Change struct {
		Record   *Record
		Replicas []batch.Replica
		Results  []batch.Result
		Progress []batch.Progress
		End      bool
	}

	// chunk is the values of some entries.
	chunk struct {
		values  [][]byte
		entries int
	}

	// queuedValue is a value to write. count, if not nil, counts its chunk in the head.
	queuedValue struct {
		kvst.Put
		count func(*batch.Head)
	}

	// FencedError reports that another instance has become the owner of a batch.
	FencedError struct {
		ID  string
		Now batch.Head
	}

	// SizeError reports that a submission is too large for the store.
	SizeError struct {
		Bytes int
		Max   int
	}
)

// Error names the new owner.
func (e *FencedError) Error() string {
	return fmt.Sprintf("batch %s: held by %s since epoch %d", e.ID, e.Now.Owner, e.Now.Epoch)
}

// Error names both sizes.
func (e *SizeError) Error() string {
	return fmt.Sprintf("submission of %d bytes exceeds the limit of %d", e.Bytes, e.Max)
}

// Age returns the time since the submission was accepted, or somewhat less.
func (rec Record) Age(now time.Time) time.Duration { return now.Sub(rec.AcceptedAt) }

// New returns a store that is backed by kv.
//
//	s := bstore.New(kv, bstore.WithMaxValueBytes(1<<20))
//	rec, created, err := s.Create(ctx, sub, "entry-1", nil, time.Now())
func New(kv kvst.Store, opts ...Option) *Store {
	s := &Store{kv: kv, maxValueBytes: defaultMaxValueBytes, list: kv.List}
	for _, opt := range opts {
		opt(s)
	}
	return s
}

// WithMaxValueBytes sets the maximum size of one value, in bytes. The default is 1 MiB.
func WithMaxValueBytes(n int) Option {
	return func(s *Store) {
		if n > 0 {
			s.maxValueBytes = n
		}
	}
}

// WithHeadLister sets how Heads and RecentIntakes list. The default is by kv itself.
func WithHeadLister(f kvst.Lister) Option {
	return func(s *Store) { s.list = f }
}

// Create stores a submission that was accepted at the time since, with its owner and the
// replicas for its results. If it exists already, Create returns the stored record and
// created false. It expects that the model has no intake record, and otherwise returns an
// *IntakeError.
func (s *Store) Create(ctx context.Context, sub *batch.Submission, owner string, replicas []batch.Replica, since time.Time) (rec Record, created bool, err error) {
	rec = Record{ID: sub.ID, AcceptedAt: since, Head: batch.Head{Owner: owner, Epoch: 1, Replicas: replicas}}
	err = s.CreateFenced(ctx, Intake{Model: sub.Model}, &rec, sub, nil)
	var fenced *FencedError
	if errors.As(err, &fenced) {
		now, err := s.Load(ctx, sub.ID)
		return now, false, err
	}
	return rec, err == nil, err
}

// Load returns the head of a batch; its Revision is 0 if there is none.
func (s *Store) Load(ctx context.Context, id string) (Record, error) {
	start := time.Now()
	it, err := s.kv.Get(ctx, headKey(id))
	if err != nil || it.Revision == 0 {
		return Record{ID: id}, err
	}
	rec, err := decodeHead(it)
	if err == nil {
		rec.ConfirmedAt = start
	}
	return rec, err
}

// Heads returns the heads of all stored batches. A head that can't be decoded is left out, and
// reported by a *DecodeError next to the others.
func (s *Store) Heads(ctx context.Context) ([]Record, error) {
	items, _, err := s.list(ctx, HeadPrefix)
	if err != nil {
		return nil, err
	}
	heads := make([]Record, 0, len(items))
	for _, it := range items {
		rec, decodeErr := decodeHead(it)
		if decodeErr != nil {
			err = decodeErr
			continue
		}
		heads = append(heads, rec)
	}
	return heads, err
}

// Submission returns the stored submission of a batch.
func (s *Store) Submission(ctx context.Context, rec Record) (*batch.Submission, error) {
	var raw bytes.Buffer
	for i := range rec.BodyChunks {
		it, err := s.kv.Get(ctx, bodyKey(rec.ID, i))
		if err != nil {
			return nil, err
		}
		raw.Write(it.Value)
	}
	sub := &batch.Submission{}
	if err := json.Unmarshal(raw.Bytes(), sub); err != nil {
		return nil, errors.Wrapf(err, "submission %s", rec.ID)
	}
	return sub, nil
}

// Results returns the results that rec counts, in order.
func (s *Store) Results(ctx context.Context, rec Record) ([]batch.Result, error) {
	all, err := readChunks[batch.Result](ctx, s, resultPrefix+url.PathEscape(rec.ID)+"/", rec.ResultChunks)
	if err == nil && len(all) != rec.Results {
		return nil, errors.Newf("batch %s: %d results are kept, but the head counts %d", rec.ID, len(all), rec.Results)
	}
	return all, err
}

// Progress returns the stored partial text of items, in the order in which it was
// written.
func (s *Store) Progress(ctx context.Context, rec Record) ([]batch.Progress, error) {
	return readChunks[batch.Progress](ctx, s, progressPrefix+url.PathEscape(rec.ID)+"/", rec.Progress)
}

// readChunks decodes the first n values under prefix.
func readChunks[T any](ctx context.Context, s *Store, prefix string, n int) ([]T, error) {
	if n == 0 {
		return nil, nil
	}
	items, _, err := s.kv.List(ctx, prefix)
	if err != nil {
		return nil, err
	}
	values := make([]io.Reader, 0, n)
	for _, it := range items[:min(n, len(items))] {
		values = append(values, bytes.NewReader(it.Value))
	}
	var all []T
	for dec := json.NewDecoder(io.MultiReader(values...)); ; {
		var chunk []T
		switch err := dec.Decode(&chunk); {
		case errors.Is(err, io.EOF):
			return all, nil
		case err != nil:
			return nil, errors.Wrapf(err, "chunks at %s", prefix)
		}
		all = append(all, chunk...)
	}
}

// TakeOver makes owner the owner of the batch if rec is still its head.
func (s *Store) TakeOver(ctx context.Context, rec *Record, owner string) error {
	next := *rec
	next.Owner = owner
	next.Epoch++
	next.Writes = 0
	txn := kvst.Txn{Expect: map[string]int64{headKey(rec.ID): rec.Revision}}
	if err := s.commitWithHead(ctx, &next, txn); err != nil {
		return err
	}
	*rec = next
	return nil
}

// Apply writes one change, in several transactions if it doesn't fit into one. After an error, Record
// counts the results that are stored by then, and the change may be repeated with the others. It
// returns an *FencedError if this instance is no longer the owner.
func (s *Store) Apply(ctx context.Context, c Change) error {
	results, err := encodeChunks(s, c.Results)
	if err != nil {
		return err
	}
	progress, err := encodeChunks(s, c.Progress)
	if err != nil {
		return err
	}
	values := queueValues(results, func(n int) string { return resultKey(c.Record.ID, c.Record.ResultChunks+n) }, func(h *batch.Head, values, entries int) {
		h.ResultChunks += values
		h.Results += entries
	})
	values = append(values, queueValues(progress, func(n int) string { return progressKey(c.Record.ID, c.Record.Progress+n) }, func(h *batch.Head, values, _ int) {
		h.Progress += values
	})...)
	for isLast := false; !isLast; {
		next := *c.Record
		next.Writes++
		txn := kvst.Txn{Expect: map[string]int64{headKey(c.Record.ID): c.Record.Revision}}
		n := min(len(values), maxTxnValues)
		for _, v := range values[:n] {
			txn.Puts = append(txn.Puts, v.Put)
			if v.count != nil {
				v.count(&next.Head)
			}
		}
		values = values[n:]
		if isLast = len(values) == 0; isLast {
			next.Ended = next.Ended || c.End
			if c.Replicas != nil {
				next.Replicas = c.Replicas
			}
		}
		if err := s.commitWithHead(ctx, &next, txn); err != nil {
			return err
		}
		*c.Record = next
	}
	return nil
}

// queueValues returns the values of chunks with their keys. The last value of each chunk has the
// head count it: until then nobody reads the others, and the next writer overwrites them.
func queueValues(chunks []chunk, key func(n int) string, count func(h *batch.Head, values, entries int)) (out []queuedValue) {
	for _, c := range chunks {
		for i, value := range c.values {
			v := queuedValue{Put: kvst.Put{Key: key(len(out)), Value: value}}
			if i == len(c.values)-1 {
				v.count = func(h *batch.Head) { count(h, len(c.values), c.entries) }
			}
			out = append(out, v)
		}
	}
	return out
}

// encodeChunks encodes entries into chunks of one value each, of at most the store's maximum size. A
// single entry that is larger gets several values.
func encodeChunks[T any](s *Store, entries []T) ([]chunk, error) {
	var out []chunk
	var raw []byte
	n := 0
	end := func() {
		if n > 0 {
			out = append(out, chunk{values: split(append(raw, ']'), s.maxValueBytes), entries: n})
		}
		raw, n = nil, 0
	}
	for _, e := range entries {
		one, err := json.Marshal(e)
		if err != nil {
			return nil, errors.Wrap(err, "encoding an entry")
		}
		if len(raw)+len(one)+2 > s.maxValueBytes {
			end()
		}
		separator := byte(',')
		if n == 0 {
			separator = '['
		}
		raw = append(append(raw, separator), one...)
		n++
	}
	end()
	return out, nil
}

// commitWithHead commits txn together with the head. If the answer is lost, it repeats the same
// conditional write until the store either accepts it or returns the head of the last
// writer, which may be this very write.
func (s *Store) commitWithHead(ctx context.Context, rec *Record, txn kvst.Txn) error {
	start := time.Now()
	rec.AgeMs = rec.Age(start).Milliseconds()
	raw, err := json.Marshal(rec.Head)
	if err != nil {
		return errors.Wrap(err, "encoding the head")
	}
	txn.Puts = append(txn.Puts, kvst.Put{Key: headKey(rec.ID), Value: raw})
	rec.Revision, err = s.commit(ctx, txn)
	var conflict *kvst.ConflictError
	if errors.As(err, &conflict) {
		err = resolveConflict(rec, txn, conflict)
	}
	if err == nil {
		rec.ConfirmedAt = start
	}
	return err
}

// resolveConflict decides after a conflict whether the store already has this write.
func resolveConflict(rec *Record, txn kvst.Txn, conflict *kvst.ConflictError) error {
	for _, it := range conflict.Current {
		if it.Key != headKey(rec.ID) || it.Revision == 0 {
			continue
		}
		now, err := decodeHead(it)
		if err != nil {
			return err
		}
		if now.SameWrite(rec.Head) {
			rec.Revision = now.Revision
			return nil
		}
		return &FencedError{ID: rec.ID, Now: now.Head}
	}
	for key := range txn.Expect {
		if !strings.HasPrefix(key, IntakePrefix) {
			continue
		}
		// A create, and there is no head: the intake record differs.
		model, err := url.PathUnescape(strings.TrimPrefix(key, IntakePrefix))
		if err != nil {
			return errors.Wrapf(err, "key %s", key)
		}
		now, err := intakeOf(conflict, model)
		if err != nil {
			return err
		}
		return &IntakeError{Now: now}
	}
	return &FencedError{ID: rec.ID}
}

// Remove deletes all records of a batch, the head last, so that an interrupted removal can
// be repeated. It returns a *kvst.ConflictError if another instance has removed it.
func (s *Store) Remove(ctx context.Context, rec Record) error {
	keys := make([]string, 0, rec.BodyChunks+rec.ResultChunks+rec.Progress+1)
	for i := range rec.BodyChunks {
		keys = append(keys, bodyKey(rec.ID, i))
	}
	for i := range rec.ResultChunks {
		keys = append(keys, resultKey(rec.ID, i))
	}
	for i := range rec.Progress {
		keys = append(keys, progressKey(rec.ID, i))
	}
	keys = append(keys, headKey(rec.ID))
	unchanged := map[string]int64{headKey(rec.ID): rec.Revision}
	for part := range slices.Chunk(keys, maxTxnEntries-1) {
		if _, err := s.kv.Commit(ctx, kvst.Txn{Expect: unchanged, Remove: part}); err != nil {
			return err
		}
	}
	return nil
}

// decodeHead returns a head. If it can't be decoded, the error is a *DecodeError, and the
// record has the ID only.
func decodeHead(it kvst.Item) (Record, error) {
	name := strings.TrimPrefix(it.Key, HeadPrefix)
	id, err := url.PathUnescape(name)
	if err != nil {
		return Record{ID: name}, &DecodeError{Key: it.Key, Cause: err}
	}
	rec := Record{ID: id, Revision: it.Revision}
	if err := json.Unmarshal(it.Value, &rec.Head); err != nil {
		return Record{ID: id}, &DecodeError{Key: it.Key, Cause: err}
	}
	rec.AcceptedAt = time.Now().Add(-time.Duration(rec.AgeMs) * time.Millisecond)
	return rec, nil
}

func split(raw []byte, size int) [][]byte {
	var parts [][]byte
	for len(raw) > size {
		parts = append(parts, raw[:size])
		raw = raw[size:]
	}
	return append(parts, raw)
}

func headKey(id string) string { return HeadPrefix + url.PathEscape(id) }

func bodyKey(id string, n int) string {
	return fmt.Sprintf("%s%s/%03d", bodyPrefix, url.PathEscape(id), n)
}

func resultKey(id string, n int) string {
	return fmt.Sprintf("%s%s/%06d", resultPrefix, url.PathEscape(id), n)
}

func progressKey(id string, n int) string {
	return fmt.Sprintf("%s%s/%06d", progressPrefix, url.PathEscape(id), n)
}
