// Package follow keeps a copy of a part of the metadata store up to date.
package follow

import (
	"context"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"

	"github.com/lavendermux/lavendermux/kvst"
)

const (
	// defaultWait is how long a watch waits. A store that swallows a watch, or
	// drops its history beneath it, is noticed when the wait is over; what it
	// says must be in force two seconds after it can be read again.
	defaultWait = 1800 * time.Millisecond
	// probeWait is the wait while the store is away: a probe that was swallowed
	// at the end of an outage must not hide that the store is back.
	probeWait = 100 * time.Millisecond
	// retryPause is the pause after a failed call.
	retryPause = 300 * time.Millisecond
)

type (
	// Follower follows a prefix. See New.
	Follower struct {
		store  kvst.Store
		prefix string
		logger *log.Logger
		wait   time.Duration
		pace   time.Duration

		reset    func(items []kvst.Item)
		change   func(it kvst.Item)
		regained func()
	}

	// Option changes a Follower as New makes it.
	Option func(*Follower)
)

// New returns a follower of the keys below prefix.
//
//	f := follow.New(store, "op/", logger, follow.WithChange(take))
//	f.Run(ctx)
func New(store kvst.Store, prefix string, logger *log.Logger, opts ...Option) *Follower {
	f := &Follower{
		store:    store,
		prefix:   prefix,
		logger:   logger,
		wait:     defaultWait,
		reset:    func([]kvst.Item) {},
		change:   func(kvst.Item) {},
		regained: func() {},
	}
	for _, opt := range opts {
		opt(f)
	}
	return f
}

// WithReset is called with all items after each list. The default does nothing.
func WithReset(f func(items []kvst.Item)) Option {
	return func(fo *Follower) { fo.reset = f }
}

// WithChange is called for each change, in order. The default does nothing.
func WithChange(f func(it kvst.Item)) Option {
	return func(fo *Follower) { fo.change = f }
}

// WithRegained is called before the first changes after the store was away. The
// default does nothing.
func WithRegained(f func()) Option {
	return func(fo *Follower) { fo.regained = f }
}

// WithPace leaves at least d between two watches: changes that come often are
// then collected, and cost fewer calls. The default is none.
func WithPace(d time.Duration) Option {
	return func(fo *Follower) { fo.pace = d }
}

// Run follows until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	var revision int64
	lost := false
	for ctx.Err() == nil {
		start := time.Now()
		var err error
		if revision == 0 {
			revision, err = f.list(ctx, lost)
		} else {
			revision, err = f.watch(ctx, revision, lost)
		}
		if ctx.Err() != nil {
			return
		}
		lost = f.note(err, lost)
		rest := f.pace - time.Since(start)
		if err != nil {
			rest = retryPause
		}
		if rest > 0 {
			pause(ctx, rest)
		}
	}
}

// note logs when the store is lost and regained, and returns whether it is lost.
func (f *Follower) note(err error, lost bool) bool {
	var gap *kvst.GapError
	switch {
	case errors.As(err, &gap):
		f.logger.Warn("Store forgot its history.", "prefix", f.prefix, "after", gap.After)
		return lost
	case err != nil && !lost:
		f.logger.Warn("Store lost.", "prefix", f.prefix, "error", err)
	case err == nil && lost:
		f.logger.Info("Store regained.", "prefix", f.prefix)
	}
	return err != nil
}

func (f *Follower) list(ctx context.Context, lost bool) (int64, error) {
	items, revision, err := f.store.List(ctx, f.prefix)
	if err != nil {
		return 0, err
	}
	if lost {
		f.regained()
	}
	f.reset(items)
	return revision, nil
}

// watch returns the revision to go on from; 0 asks for a new list.
func (f *Follower) watch(ctx context.Context, after int64, lost bool) (int64, error) {
	wait := f.wait
	if lost {
		wait = probeWait
	}
	changes, err := f.store.Watch(ctx, f.prefix, after, wait)
	var gap *kvst.GapError
	if errors.As(err, &gap) {
		return 0, err
	}
	if err != nil {
		return after, err
	}
	if lost {
		f.regained()
	}
	for _, it := range changes.Items {
		f.change(it)
	}
	return changes.Revision, nil
}

func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
