// Package bstore keeps batch submissions and their results in the metadata store.
//
// One record for each submission, its head, fences all others: each write is
// conditional on the head's revision and writes the head again. A holder that was
// paused and overtaken therefore fails at its next write, whatever its clock says,
// and a write whose answer was lost is settled by repeating it.
package bstore

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/url"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lavendermux/lavendermux/batch"
	"github.com/lavendermux/lavendermux/kvst"
	"github.com/lavendermux/lavendermux/sleep"
)

const (
	// HeadPrefix holds one key for each submission.
	HeadPrefix = "lavendermux/heads/"

	bodyPrefix   = "lavendermux/bodies/"
	resultPrefix = "lavendermux/results/"
	// progressPrefix holds text of items that aren't finished.
	progressPrefix = "lavendermux/progress/"

	// defaultValue bounds the bytes of one value.
	defaultValue = 1 << 20
	// txnEntries bounds the entries of one transaction.
	txnEntries = 32
	// settlePause is the wait before a write without an answer is repeated.
	settlePause = 50 * time.Millisecond
)

type (
	// Store reads and writes submissions; safe for concurrent use. See New.
	Store struct {
		kv    kvst.Store
		value int
	}

	// Option changes a Store as New makes it.
	Option func(*Store)

	// Kept is a head with the revision that the next write expects.
	Kept struct {
		batch.Head
		ID       string
		Revision int64
		// Since is when the submission was accepted, on this process's steady clock.
		// It may be too late, by at most Doubt, where the head was read from the store.
		Since time.Time
		Doubt time.Duration
	}

	// Change is one write about one submission: results to append, text of items
	// that still run, its end, other copies if there are any. Kept is replaced by the
	// state after the write.
	Change struct {
		Kept     *Kept
		Copies   []batch.Copy
		Results  []batch.Result
		Progress []batch.Progress
		End      bool
	}

	// OvertakenError says that another instance has become the holder.
	OvertakenError struct {
		ID  string
		Now batch.Head
	}

	// SizeError says that a submission is too large to be kept.
	SizeError struct {
		Bytes int
		Most  int
	}
)

// Error names the new holder.
func (e *OvertakenError) Error() string {
	return fmt.Sprintf("batch %s: held by %s since epoch %d", e.ID, e.Now.Holder, e.Now.Epoch)
}

// Error names both sizes.
func (e *SizeError) Error() string {
	return fmt.Sprintf("a submission of %d bytes is larger than %d", e.Bytes, e.Most)
}

// Age returns how long ago the submission was accepted, or somewhat less.
func (k Kept) Age(now time.Time) time.Duration { return now.Sub(k.Since) }

// New returns a store on kv.
//
//	s := bstore.New(kv, bstore.WithValueBytes(1<<20))
//	kept, err := s.Create(ctx, sub, "entry-1")
func New(kv kvst.Store, opts ...Option) *Store {
	s := &Store{kv: kv, value: defaultValue}
	for _, opt := range opts {
		opt(s)
	}
	return s
}

// WithValueBytes bounds the bytes of one value. The default is 1 MiB.
func WithValueBytes(n int) Option {
	return func(s *Store) {
		if n > 0 {
			s.value = n
		}
	}
}

// Create accepts a submission once; it came in at the time since, and copies of its
// results may be where it says. When it is there already, the holder and count that it has
// are returned, with created false.
func (s *Store) Create(ctx context.Context, sub *batch.Submission, holder string, copies []batch.Copy, since time.Time) (kept Kept, created bool, err error) {
	raw, err := json.Marshal(sub)
	if err != nil {
		return Kept{}, false, errors.Wrap(err, "encoding a submission")
	}
	parts := split(raw, s.value)
	if len(parts) > txnEntries-2 {
		return Kept{}, false, &SizeError{Bytes: len(raw), Most: s.value * (txnEntries - 2)}
	}
	kept = Kept{ID: sub.ID, Since: since, Head: batch.Head{
		Holder:   holder,
		Epoch:    1,
		Customer: sub.Customer,
		Parts:    len(parts),
		Total:    len(sub.Items),
		Copies:   copies,
	}}
	t := kvst.Txn{Expect: map[string]int64{headKey(sub.ID): 0}}
	for i, part := range parts {
		t.Puts = append(t.Puts, kvst.Put{Key: bodyKey(sub.ID, i), Value: part})
	}
	err = s.write(ctx, &kept, t)
	var taken *OvertakenError
	if errors.As(err, &taken) {
		now, err := s.Load(ctx, sub.ID)
		return now, false, err
	}
	return kept, err == nil, err
}

// Load returns the head of a submission; its Revision is 0 when there is none.
func (s *Store) Load(ctx context.Context, id string) (Kept, error) {
	it, err := s.kv.Get(ctx, headKey(id))
	if err != nil || it.Revision == 0 {
		return Kept{ID: id}, err
	}
	return decodeHead(it)
}

// Heads returns the heads of all submissions that are kept.
func (s *Store) Heads(ctx context.Context) ([]Kept, error) {
	items, _, err := s.kv.List(ctx, HeadPrefix)
	if err != nil {
		return nil, err
	}
	heads := make([]Kept, 0, len(items))
	for _, it := range items {
		k, err := decodeHead(it)
		if err != nil {
			return nil, err
		}
		heads = append(heads, k)
	}
	return heads, nil
}

// Submission returns what was submitted.
func (s *Store) Submission(ctx context.Context, k Kept) (*batch.Submission, error) {
	var raw bytes.Buffer
	for i := range k.Parts {
		it, err := s.kv.Get(ctx, bodyKey(k.ID, i))
		if err != nil {
			return nil, err
		}
		raw.Write(it.Value)
	}
	sub := &batch.Submission{}
	if err := json.Unmarshal(raw.Bytes(), sub); err != nil {
		return nil, errors.Wrapf(err, "submission %s", k.ID)
	}
	return sub, nil
}

// Results returns all results that k counts, in their order.
func (s *Store) Results(ctx context.Context, k Kept) ([]batch.Result, error) {
	all, err := unpack[batch.Result](ctx, s, resultPrefix+url.PathEscape(k.ID)+"/", k.Chunks)
	if err == nil && len(all) != k.Results {
		return nil, errors.Newf("batch %s: %d results are kept, the head says %d", k.ID, len(all), k.Results)
	}
	return all, err
}

// Progress returns what is kept of items that were running, in the order in which
// it was written.
func (s *Store) Progress(ctx context.Context, k Kept) ([]batch.Progress, error) {
	return unpack[batch.Progress](ctx, s, progressPrefix+url.PathEscape(k.ID)+"/", k.Progress)
}

// unpack decodes the first n values below prefix.
func unpack[T any](ctx context.Context, s *Store, prefix string, n int) ([]T, error) {
	if n == 0 {
		return nil, nil
	}
	items, _, err := s.kv.List(ctx, prefix)
	if err != nil {
		return nil, err
	}
	var all []T
	for _, it := range items[:min(n, len(items))] {
		var chunk []T
		if err := json.Unmarshal(it.Value, &chunk); err != nil {
			return nil, errors.Wrapf(err, "chunk at %s", it.Key)
		}
		all = append(all, chunk...)
	}
	return all, nil
}

// TakeOver makes holder the holder, if k is still the head.
func (s *Store) TakeOver(ctx context.Context, k *Kept, holder string) error {
	next := *k
	next.Holder = holder
	next.Epoch++
	next.Writes = 0
	t := kvst.Txn{Expect: map[string]int64{headKey(k.ID): k.Revision}}
	if err := s.write(ctx, &next, t); err != nil {
		return err
	}
	*k = next
	return nil
}

// Apply writes one change. On an *OvertakenError this instance is not the holder
// any longer.
func (s *Store) Apply(ctx context.Context, c Change) error {
	next := *c.Kept
	next.Writes++
	next.Ended = next.Ended || c.End
	if c.Copies != nil {
		next.Copies = c.Copies
	}
	t := kvst.Txn{Expect: map[string]int64{headKey(c.Kept.ID): c.Kept.Revision}}
	chunks, err := pack(s, c.Results)
	if err != nil {
		return err
	}
	for _, raw := range chunks {
		t.Puts = append(t.Puts, kvst.Put{Key: resultKey(next.ID, next.Chunks), Value: raw})
		next.Chunks++
	}
	progress, err := pack(s, c.Progress)
	if err != nil {
		return err
	}
	for _, raw := range progress {
		t.Puts = append(t.Puts, kvst.Put{Key: progressKey(next.ID, next.Progress), Value: raw})
		next.Progress++
	}
	next.Results += len(c.Results)
	if err := s.write(ctx, &next, t); err != nil {
		return err
	}
	*c.Kept = next
	return nil
}

// pack encodes entries into values of at most the store's size.
func pack[T any](s *Store, entries []T) ([][]byte, error) {
	if len(entries) == 0 {
		return nil, nil
	}
	raw, err := json.Marshal(entries)
	if err != nil {
		return nil, errors.Wrap(err, "encoding a chunk")
	}
	if len(raw) <= s.value || len(entries) == 1 {
		return [][]byte{raw}, nil
	}
	half := len(entries) / 2
	first, err := pack(s, entries[:half])
	if err != nil {
		return nil, err
	}
	second, err := pack(s, entries[half:])
	return append(first, second...), err
}

// write commits t together with the head and settles a lost answer: the same
// write under the same condition is repeated until the store either takes it or
// shows the head of whoever wrote last, which may be this very write.
func (s *Store) write(ctx context.Context, k *Kept, t kvst.Txn) error {
	k.AgeMs = k.Age(time.Now()).Milliseconds()
	raw, err := json.Marshal(k.Head)
	if err != nil {
		return errors.Wrap(err, "encoding a head")
	}
	t.Puts = append(t.Puts, kvst.Put{Key: headKey(k.ID), Value: raw})
	for {
		k.Revision, err = s.kv.Commit(ctx, t)
		var conflict *kvst.ConflictError
		if errors.As(err, &conflict) {
			return settle(k, conflict)
		}
		var unknown *kvst.UnknownError
		if !errors.As(err, &unknown) || !sleep.For(ctx, settlePause) {
			return err
		}
	}
}

func settle(k *Kept, conflict *kvst.ConflictError) error {
	for _, it := range conflict.Now {
		if it.Key != headKey(k.ID) || it.Revision == 0 {
			continue
		}
		now, err := decodeHead(it)
		if err != nil {
			return err
		}
		if now.SameWrite(k.Head) {
			k.Revision = now.Revision
			return nil
		}
		return &OvertakenError{ID: k.ID, Now: now.Head}
	}
	return &OvertakenError{ID: k.ID}
}

// Remove deletes what is kept of a submission, the head last, so that a removal that
// stopped halfway can be done again. On a *kvst.ConflictError another instance has
// removed it.
func (s *Store) Remove(ctx context.Context, k Kept) error {
	keys := make([]string, 0, k.Parts+k.Chunks+k.Progress+1)
	for i := range k.Parts {
		keys = append(keys, bodyKey(k.ID, i))
	}
	for i := range k.Chunks {
		keys = append(keys, resultKey(k.ID, i))
	}
	for i := range k.Progress {
		keys = append(keys, progressKey(k.ID, i))
	}
	keys = append(keys, headKey(k.ID))
	unchanged := map[string]int64{headKey(k.ID): k.Revision}
	for part := range slices.Chunk(keys, txnEntries-1) {
		if _, err := s.kv.Commit(ctx, kvst.Txn{Expect: unchanged, Remove: part}); err != nil {
			return err
		}
	}
	return nil
}

func decodeHead(it kvst.Item) (Kept, error) {
	id, err := url.PathUnescape(strings.TrimPrefix(it.Key, HeadPrefix))
	if err != nil {
		return Kept{}, errors.Wrapf(err, "key %s", it.Key)
	}
	k := Kept{ID: id, Revision: it.Revision}
	if err := json.Unmarshal(it.Value, &k.Head); err != nil {
		return Kept{}, errors.Wrapf(err, "head of batch %s", id)
	}
	k.Since = time.Now().Add(-time.Duration(k.AgeMs) * time.Millisecond)
	return k, nil
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
