// Package docket keeps in the metadata store which requests are held back, so that they
// still are when all instances have started again. Instances that don't reach each other
// find out here what the others saw: before a request that was struck is sent again it waits
// for that, and no other request does.
package docket

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"

	"github.com/lavendermux/lavendermux/finger"
	"github.com/lavendermux/lavendermux/guard"
	"github.com/lavendermux/lavendermux/kvst"
	"github.com/lavendermux/lavendermux/poison"
	"github.com/lavendermux/lavendermux/sleep"
	"github.com/lavendermux/lavendermux/strike"
)

const (
	prefix = "lavendermux/held/"
	// retryPause is the wait after a call that failed.
	retryPause = time.Second
	// collect gathers changes, since a request is struck by several crashes in a row.
	collect = 100 * time.Millisecond
	// lookEvery is how often it is looked whether peers are out of reach, shareSpan how old
	// the strikes are that are written down then.
	lookEvery = time.Second
	shareSpan = time.Minute
	// triesMost bounds the tries at a record that others write at the same time.
	triesMost = 4
	// keepMost is how long a record stays in the store: as long as a request can be held
	// back and watched.
	keepMost = 24 * time.Hour
	// itself is who told what was kept.
	itself = "store"
)

type (
	// Docket keeps what a guard holds back; safe for concurrent use. See New.
	Docket struct {
		store  store
		guard  *guard.Guard
		logger *log.Logger
		parted func() bool

		mu sync.Mutex
		// own are the requests that this instance has struck or cleared itself, each with
		// whether it was written down: what changes about it then has to follow.
		own map[finger.Print]bool
	}

	// Option changes a Docket as New makes it.
	Option func(*Docket)

	// store is the metadata store. Its errors are those of a kvst.Store.
	store interface {
		Get(ctx context.Context, key string) (kvst.Item, error)
		List(ctx context.Context, prefix string) ([]kvst.Item, int64, error)
		// Commit writes or removes one key.
		Commit(ctx context.Context, t kvst.Txn) (int64, error)
	}

	// kept is a record as the store has it.
	kept struct {
		strike.Record
		// AtMs is the time of day of the writer, in milliseconds since the start of 1970.
		// The ages of the record count from then.
		AtMs int64 `json:"atMs"`
	}
)

// New returns the docket of one instance.
//
//	d := docket.New(store, guard, logger)
//	go d.Run(ctx)
func New(s store, g *guard.Guard, logger *log.Logger, opts ...Option) *Docket {
	d := &Docket{store: s, guard: g, logger: logger, parted: func() bool { return false }, own: make(map[finger.Print]bool)}
	for _, opt := range opts {
		opt(d)
	}
	return d
}

// WithParted sets how to find out that some peers are out of reach. Single crashes are
// then written down too, and read before a request that was struck is sent again. By
// default all are in reach.
func WithParted(f func() bool) Option {
	return func(d *Docket) { d.parted = f }
}

// Run tells the guard what is kept, and then keeps what it holds back until ctx ends.
func (d *Docket) Run(ctx context.Context) {
	for {
		err := d.load(ctx)
		if err == nil {
			break
		}
		d.logger.Warn("Held requests not read.", "error", err)
		if !sleep.For(ctx, retryPause) {
			return
		}
	}
	look := time.NewTicker(lookEvery)
	defer look.Stop()
	wasParted := false
	for {
		select {
		case <-ctx.Done():
			return
		case <-look.C:
			isParted := d.parted()
			if isParted && !wasParted {
				d.share(ctx)
			}
			wasParted = isParted
			d.forget()
		case <-d.guard.OwnChanged():
			if !sleep.For(ctx, collect) {
				return
			}
			d.keepAll(ctx)
		}
	}
}

func (d *Docket) load(ctx context.Context) error {
	items, _, err := d.store.List(ctx, prefix)
	if err != nil {
		return err
	}
	var records []strike.Record
	for _, it := range items {
		k, err := decode(it.Value)
		if err != nil {
			d.logger.Error("Held request unreadable.", "key", it.Key, "error", err)
			continue
		}
		if time.Since(time.UnixMilli(k.AtMs)) > keepMost {
			d.remove(ctx, it)
			continue
		}
		records = append(records, k.aged(time.Now()))
	}
	d.logger.Info("Held requests read.", "requests", len(records))
	d.guard.Take(records, itself)
	return nil
}

// aged returns the record with its ages as they are now.
func (k kept) aged(now time.Time) strike.Record {
	past := max(0, now.Sub(time.UnixMilli(k.AtMs)))
	for boot := range k.Ended {
		k.Ended[boot] += past.Milliseconds()
	}
	return k.Record
}

func decode(raw []byte) (kept, error) {
	var k kept
	err := json.Unmarshal(raw, &k)
	if err == nil && len(k.Ended) == 0 {
		err = errors.New("no endpoint ended")
	}
	return k, err
}

func (d *Docket) remove(ctx context.Context, it kvst.Item) {
	_, err := d.store.Commit(ctx, kvst.Txn{Expect: map[string]int64{it.Key: it.Revision}, Remove: []string{it.Key}})
	d.logger.Info("Held request removed.", "key", it.Key, "error", err) // the next start tries again
}

// share writes down what this instance saw lately, when peers get out of reach: gossip may
// not have told it to everybody.
func (d *Docket) share(ctx context.Context) {
	d.mu.Lock()
	own := slices.Collect(maps.Keys(d.own))
	d.mu.Unlock()
	for _, p := range own {
		r, ok := d.guard.Record(p)
		isRecent := func(ms int64) bool { return time.Duration(ms)*time.Millisecond < shareSpan }
		if ok && slices.ContainsFunc(slices.Collect(maps.Values(r.Ended)), isRecent) {
			d.sync(ctx, p)
		}
	}
}

// forget drops the requests about which nothing counts any more.
func (d *Docket) forget() {
	d.mu.Lock()
	defer d.mu.Unlock()
	maps.DeleteFunc(d.own, func(p finger.Print, _ bool) bool {
		_, ok := d.guard.Record(p)
		return !ok
	})
}

func (d *Docket) keepAll(ctx context.Context) {
	for _, r := range d.guard.Own() {
		if d.note(r.Print) || len(r.Ended) >= poison.Limit || d.parted() {
			for !d.sync(ctx, r.Print) && sleep.For(ctx, retryPause) {
			}
		}
	}
}

// note remembers a request of this instance, and reports whether it was written down.
func (d *Docket) note(p finger.Print) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	isWritten := d.own[p]
	d.own[p] = isWritten
	return isWritten
}

// Share merges what this instance and the store know of a request, if gossip doesn't reach
// everybody.
func (d *Docket) Share(ctx context.Context, p finger.Print) {
	if d.parted() {
		d.sync(ctx, p)
	}
}

// sync merges what this instance and the store know of a request, and reports whether both
// have it.
func (d *Docket) sync(ctx context.Context, p finger.Print) bool {
	var err error
	for range triesMost {
		err = d.merge(ctx, p)
		var conflict *kvst.ConflictError
		if !errors.As(err, &conflict) {
			break
		}
	}
	if err != nil {
		d.logger.Warn("Held request not kept.", "print", p, "error", err)
	}
	return err == nil
}

// covers reports whether a record says all that another one does.
func covers(a, b strike.Record) bool {
	for boot := range b.Ended {
		if _, ok := a.Ended[boot]; !ok {
			return false
		}
	}
	return !slices.ContainsFunc(b.Cleared, func(boot string) bool { return !slices.Contains(a.Cleared, boot) })
}

func (d *Docket) merge(ctx context.Context, p finger.Print) error {
	it, err := d.store.Get(ctx, prefix+p.String())
	if err != nil {
		return err
	}
	var before strike.Record
	if it.Revision > 0 {
		k, err := decode(it.Value)
		if err != nil {
			d.logger.Error("Held request unreadable.", "key", it.Key, "error", err)
		} else {
			before = k.aged(time.Now())
			d.guard.Take([]strike.Record{before}, itself)
		}
	}
	r, ok := d.guard.Record(p)
	if !ok || covers(before, r) {
		return nil
	}
	raw, err := json.Marshal(kept{Record: r, AtMs: time.Now().UnixMilli()})
	if err != nil {
		return errors.Wrap(err, "encoding a held request")
	}
	_, err = d.store.Commit(ctx, kvst.Txn{
		Expect: map[string]int64{prefix + p.String(): it.Revision},
		Puts:   []kvst.Put{{Key: prefix + p.String(), Value: raw}},
	})
	if err != nil {
		return err
	}
	d.mu.Lock()
	d.own[p] = true
	d.mu.Unlock()
	d.logger.Info("Held request kept.", "print", p, "strikes", len(r.Ended)-len(r.Cleared), "merged", len(before.Ended))
	return nil
}
