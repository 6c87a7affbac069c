// Package docket keeps in the metadata store which requests are held back, so that they
// still are when all instances have started again. Nothing waits for it: requests are
// decided by what an instance and its peers know.
package docket

import (
	"context"
	"encoding/json"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"

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
	// keepMost is how long a record stays in the store: as long as a request can be held
	// back and watched.
	keepMost = 24 * time.Hour
	// itself is who told what was kept.
	itself = "store"
)

type (
	// Docket keeps what a guard holds back. See New.
	Docket struct {
		store  kvst.Store
		guard  *guard.Guard
		logger *log.Logger
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
func New(store kvst.Store, g *guard.Guard, logger *log.Logger) *Docket {
	return &Docket{store: store, guard: g, logger: logger}
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
	for {
		select {
		case <-ctx.Done():
			return
		case <-d.guard.OwnChanged():
		}
		if !sleep.For(ctx, collect) {
			return
		}
		d.keepAll(ctx)
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
		past := max(0, time.Since(time.UnixMilli(k.AtMs)))
		if past > keepMost {
			d.remove(ctx, it)
			continue
		}
		for boot := range k.Ended {
			k.Ended[boot] += past.Milliseconds()
		}
		records = append(records, k.Record)
	}
	d.logger.Info("Held requests read.", "requests", len(records))
	d.guard.Take(records, itself)
	return nil
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

func (d *Docket) keepAll(ctx context.Context) {
	for _, r := range d.guard.Own() {
		if len(r.Ended) < poison.Limit {
			continue
		}
		for {
			err := d.keep(ctx, r)
			if err == nil || !sleep.For(ctx, retryPause) {
				break
			}
		}
	}
}

func (d *Docket) keep(ctx context.Context, r strike.Record) error {
	raw, err := json.Marshal(kept{Record: r, AtMs: time.Now().UnixMilli()})
	if err != nil {
		return errors.Wrap(err, "encoding a held request")
	}
	_, err = d.store.Commit(ctx, kvst.Txn{Puts: []kvst.Put{{Key: prefix + r.Print.String(), Value: raw}}})
	d.logger.Info("Held request kept.", "print", r.Print, "strikes", len(r.Ended)-len(r.Cleared), "error", err)
	return err
}
