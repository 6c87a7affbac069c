// Package qstore stores the strikes of quarantined requests in the metadata store, so that
// they survive a restart of all instances. In a network partition it also exchanges strikes
// between instances that can't reach each other: a suspect waits for that exchange before
// it is resent, other requests never do.
package qstore

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"

	"github.com/lavendermux/lavendermux/guard"
	"github.com/lavendermux/lavendermux/kvst"
	"github.com/lavendermux/lavendermux/poison"
	"github.com/lavendermux/lavendermux/reqfp"
	"github.com/lavendermux/lavendermux/sleep"
	"github.com/lavendermux/lavendermux/strike"
)

const (
	prefix = "lavendermux/held/"
	// retryDelay is the wait after a failed call.
	retryDelay = time.Second
	// batchDelay gathers changes before they are stored, since several crashes in a row
	// strike the same request.
	batchDelay = 100 * time.Millisecond
	// partitionCheckInterval is how often to check for unreachable peers. Strikes younger
	// than recentStrikeAge are stored when a partition begins.
	partitionCheckInterval = time.Second
	recentStrikeAge        = time.Minute
	// maxCommitAttempts bounds the attempts to write a record that others write
	// concurrently.
	maxCommitAttempts = 4
	// recordTTL is how long a record stays in the store: as long as a request can be
	// quarantined and on watch.
	recordTTL = 24 * time.Hour
	// storeSource names the store where the guard expects a peer's name.
	storeSource = "store"
)

type (
	// Syncer syncs the strikes of a guard with the metadata store; safe for concurrent use.
	// See New.
	Syncer struct {
		store       store
		guard       *guard.Tracker
		logger      *log.Logger
		partitioned func() bool
		list        kvst.Lister

		mu sync.Mutex
		// localRequests has the requests that this instance itself struck or cleared, and
		// whether each has a record in the store: if so, later changes must be stored too.
		localRequests map[reqfp.Fingerprint]bool
	}

	// Option configures a [Syncer]; see New.
	Option func(*Syncer)

	// store is the metadata store. It returns the errors of a kvst.Store.
	store interface {
		Get(ctx context.Context, key string) (kvst.Item, error)
		List(ctx context.Context, prefix string) ([]kvst.Item, int64, error)
		// Commit writes or removes one key.
		Commit(ctx context.Context, t kvst.Txn) (int64, error)
	}

	// storedRecord is a record in the form in which it is stored.
	storedRecord struct {
		strike.Record
		// AtMs is the writer's wall clock in milliseconds since the start of 1970. The ages
		// in the record are relative to it.
		AtMs int64 `json:"atMs"`
	}
)

// New returns a syncer between the guard of an instance and the store.
//
//	d := qstore.New(store, guard, logger)
//	go d.Run(ctx)
func New(s store, g *guard.Tracker, logger *log.Logger, opts ...Option) *Syncer {
	d := &Syncer{store: s, guard: g, logger: logger, partitioned: func() bool { return false }, list: s.List, localRequests: make(map[reqfp.Fingerprint]bool)}
	for _, opt := range opts {
		opt(d)
	}
	return d
}

// WithPartitioned sets how to find out that some peers are unreachable. In that state single
// strikes are stored too, and read before a suspect is resent. By default all peers are
// reachable.
func WithPartitioned(f func() bool) Option {
	return func(d *Syncer) { d.partitioned = f }
}

// WithLister sets how the stored records are listed at the start. The default is by the store
// itself.
func WithLister(f kvst.Lister) Option {
	return func(d *Syncer) { d.list = f }
}

// Run loads the stored records into the guard, and then stores the guard's changes until
// ctx ends.
func (d *Syncer) Run(ctx context.Context) {
	for {
		err := d.load(ctx)
		if err == nil {
			break
		}
		d.logger.Warn("Quarantined requests not read.", "error", err)
		if !sleep.For(ctx, retryDelay) {
			return
		}
	}
	ticker := time.NewTicker(partitionCheckInterval)
	defer ticker.Stop()
	wasPartitioned := false
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			isPartitioned := d.partitioned()
			if isPartitioned && !wasPartitioned {
				d.storeRecent(ctx)
			}
			wasPartitioned = isPartitioned
			d.dropExpired()
		case <-d.guard.LocalChanged():
			if !sleep.For(ctx, batchDelay) {
				return
			}
			d.storeChanges(ctx)
		}
	}
}

func (d *Syncer) load(ctx context.Context) error {
	items, _, err := d.list(ctx, prefix)
	if err != nil {
		return err
	}
	var records []strike.Record
	for _, it := range items {
		k, err := decode(it.Value)
		if err != nil {
			d.logger.Error("Record of a quarantined request unreadable.", "key", it.Key, "error", err)
			continue
		}
		if time.Since(time.UnixMilli(k.AtMs)) > recordTTL {
			d.remove(ctx, it)
			continue
		}
		records = append(records, k.currentRecord(time.Now()))
	}
	d.logger.Info("Quarantined requests read.", "requests", len(records))
	d.guard.MergeRecords(records, storeSource)
	return nil
}

// currentRecord returns the record with its ages brought up to now.
func (k storedRecord) currentRecord(now time.Time) strike.Record {
	elapsed := max(0, now.Sub(time.UnixMilli(k.AtMs)))
	for incarnation := range k.Ended {
		k.Ended[incarnation] += elapsed.Milliseconds()
	}
	return k.Record
}

func decode(raw []byte) (storedRecord, error) {
	var k storedRecord
	err := json.Unmarshal(raw, &k)
	if err == nil && len(k.Ended) == 0 {
		err = errors.New("record names no ended endpoint")
	}
	return k, err
}

func (d *Syncer) remove(ctx context.Context, it kvst.Item) {
	_, err := d.store.Commit(ctx, kvst.Txn{Expect: map[string]int64{it.Key: it.Revision}, Remove: []string{it.Key}})
	d.logger.Info("Expired record of a quarantined request removed.", "key", it.Key, "error", err) // on failure the next start tries again
}

// storeRecent stores the recent strikes of this instance when a partition begins: gossip
// may not have reached all peers.
func (d *Syncer) storeRecent(ctx context.Context) {
	d.mu.Lock()
	localRequests := slices.Collect(maps.Keys(d.localRequests))
	d.mu.Unlock()
	for _, fp := range localRequests {
		r, ok := d.guard.Record(fp)
		isRecent := func(ms int64) bool { return time.Duration(ms)*time.Millisecond < recentStrikeAge }
		if ok && slices.ContainsFunc(slices.Collect(maps.Values(r.Ended)), isRecent) {
			d.sync(ctx, fp)
		}
	}
}

// dropExpired drops the requests that have no strikes on record any more.
func (d *Syncer) dropExpired() {
	d.mu.Lock()
	defer d.mu.Unlock()
	maps.DeleteFunc(d.localRequests, func(fp reqfp.Fingerprint, _ bool) bool {
		_, ok := d.guard.Record(fp)
		return !ok
	})
}

func (d *Syncer) storeChanges(ctx context.Context) {
	for _, r := range d.guard.DrainLocal() {
		if d.track(r.Fingerprint) || len(r.Ended) >= poison.StrikeLimit || d.partitioned() {
			for !d.sync(ctx, r.Fingerprint) && sleep.For(ctx, retryDelay) {
			}
		}
	}
}

// track adds a request to those of this instance, and reports whether it has a record in
// the store.
func (d *Syncer) track(fp reqfp.Fingerprint) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	isStored := d.localRequests[fp]
	d.localRequests[fp] = isStored
	return isStored
}

// SyncIfPartitioned merges the strikes of a request here and in the store, if some peers are
// unreachable.
func (d *Syncer) SyncIfPartitioned(ctx context.Context, fp reqfp.Fingerprint) {
	if d.partitioned() {
		d.sync(ctx, fp)
	}
}

// sync merges the strikes of a request here and in the store, and reports whether both are
// up to date.
func (d *Syncer) sync(ctx context.Context, fp reqfp.Fingerprint) bool {
	var err error
	for range maxCommitAttempts {
		err = d.merge(ctx, fp)
		var conflict *kvst.ConflictError
		if !errors.As(err, &conflict) {
			break
		}
	}
	if err != nil {
		d.logger.Warn("Record of a quarantined request not kept.", "print", fp, "error", err)
	}
	return err == nil
}

// covers reports whether a contains all strikes and cleared strikes of b.
func covers(a, b strike.Record) bool {
	for incarnation := range b.Ended {
		if _, ok := a.Ended[incarnation]; !ok {
			return false
		}
	}
	return !slices.ContainsFunc(b.Cleared, func(incarnation string) bool { return !slices.Contains(a.Cleared, incarnation) })
}

func (d *Syncer) merge(ctx context.Context, fp reqfp.Fingerprint) error {
	it, err := d.store.Get(ctx, prefix+fp.String())
	if err != nil {
		return err
	}
	var stored strike.Record
	if it.Revision > 0 {
		k, err := decode(it.Value)
		if err != nil {
			d.logger.Error("Record of a quarantined request unreadable.", "key", it.Key, "error", err)
		} else {
			stored = k.currentRecord(time.Now())
			d.guard.MergeRecords([]strike.Record{stored}, storeSource)
		}
	}
	r, ok := d.guard.Record(fp)
	if !ok || covers(stored, r) {
		return nil
	}
	raw, err := json.Marshal(storedRecord{Record: r, AtMs: time.Now().UnixMilli()})
	if err != nil {
		return errors.Wrap(err, "encoding the record of a held request")
	}
	_, err = d.store.Commit(ctx, kvst.Txn{
		Expect: map[string]int64{prefix + fp.String(): it.Revision},
		Puts:   []kvst.Put{{Key: prefix + fp.String(), Value: raw}},
	})
	if err != nil {
		return err
	}
	d.mu.Lock()
	d.localRequests[fp] = true
	d.mu.Unlock()
	d.logger.Info("Record of a quarantined request kept.", "print", fp, "strikes", len(r.Ended)-len(r.Cleared), "merged", len(stored.Ended))
	return nil
}
