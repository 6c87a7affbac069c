// Package follow keeps a copy of a part of the metadata store up to date.
//
// A watch that waits costs the store a call, however little changes, so a large
// fleet can't have every instance watch. A few instances, the readers, watch the
// store and hand on what they see; the others ask a reader. Each answer carries
// its age, so that a reader that has been cut off from the store without noticing
// is left for another one before what it doesn't know can do harm.
package follow

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"

	"github.com/lavendermux/lavendermux/kvst"
	"github.com/lavendermux/lavendermux/sleep"
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
	// logMost bounds the changes that are kept for those who ask: some seconds
	// of a large fleet. Who asks for older ones lists anew.
	logMost = 2000
)

type (
	// Source is where a follower reads.
	Source interface {
		// List returns the items below prefix and a revision to watch from.
		List(ctx context.Context, prefix string) ([]kvst.Item, int64, error)
		// Watch waits for changes below prefix after a revision.
		Watch(ctx context.Context, prefix string, after int64, wait time.Duration) (kvst.Changes, error)
	}

	// Choice is the source to use for the next call.
	Choice struct {
		Source
		// Wait is how long a watch waits; 0 is the follower's own choice.
		Wait time.Duration
		// Age returns how old the last answer of the source was; nil for the
		// store itself.
		Age func() time.Duration
	}

	// Follower follows a prefix. See New.
	Follower struct {
		prefix string
		logger *log.Logger
		choose func() Choice
		wait   time.Duration
		pace   time.Duration

		reset    func(items []kvst.Item)
		change   func(it kvst.Item)
		regained func()

		mu    sync.Mutex
		state map[string]kvst.Item
		// recent are the last changes; all after the revision floor are there.
		recent   []kvst.Item
		floor    int64
		revision int64
		// contact is when the store last vouched for the copy.
		contact time.Time
		changed chan struct{}
	}

	// Option changes a Follower as New makes it.
	Option func(*Follower)
)

// New returns a follower of the keys below prefix.
//
//	f := follow.New(store, "op/", logger, follow.WithChange(take))
//	f.Run(ctx)
func New(store Source, prefix string, logger *log.Logger, opts ...Option) *Follower {
	f := &Follower{
		prefix:   prefix,
		logger:   logger,
		choose:   func() Choice { return Choice{Source: store} },
		wait:     defaultWait,
		reset:    func([]kvst.Item) {},
		change:   func(kvst.Item) {},
		regained: func() {},
		state:    make(map[string]kvst.Item),
		changed:  make(chan struct{}),
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

// WithPace leaves at least d between two watches of the store: changes that come
// often are then collected, and cost fewer calls. The default is none.
func WithPace(d time.Duration) Option {
	return func(fo *Follower) { fo.pace = d }
}

// WithChoice has f choose where to read, before each call. The default is always
// the store.
func WithChoice(f func() Choice) Option {
	return func(fo *Follower) { fo.choose = f }
}

// Run follows until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	lost, listed := false, false
	for ctx.Err() == nil {
		start := time.Now()
		c := f.choose()
		var err error
		if listed {
			err = f.watch(ctx, c, lost)
		} else {
			err = f.list(ctx, c, lost)
		}
		if ctx.Err() != nil {
			return
		}
		var gap *kvst.GapError
		listed = (listed || err == nil) && !errors.As(err, &gap)
		lost = f.note(err, lost)
		rest := f.pace - time.Since(start)
		switch {
		case err != nil:
			rest = retryPause
		case c.Age != nil:
			rest = 0
		}
		if rest > 0 {
			sleep.For(ctx, rest)
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

func (f *Follower) list(ctx context.Context, c Choice, lost bool) error {
	asked := time.Now()
	items, revision, err := c.List(ctx, f.prefix)
	if err != nil {
		return err
	}
	if f.Revision() > revision {
		// Another source was ahead of this one; going back would undo changes
		// that were in force.
		return &kvst.GapError{After: revision}
	}
	if lost {
		f.regained()
	}
	f.mu.Lock()
	f.state = make(map[string]kvst.Item, len(items))
	for _, it := range items {
		f.state[it.Key] = it
	}
	f.recent, f.floor, f.revision = nil, revision, revision
	f.vouch(asked, c)
	f.mu.Unlock()
	f.reset(items)
	return nil
}

func (f *Follower) watch(ctx context.Context, c Choice, lost bool) error {
	wait := f.wait
	switch {
	case lost:
		wait = probeWait
	case c.Wait > 0:
		wait = c.Wait
	}
	after := f.Revision()
	changes, err := c.Watch(ctx, f.prefix, after, wait)
	if err != nil {
		return err
	}
	// The source answers a watch when its wait is over; until then it vouches
	// that nothing has changed.
	answered := time.Now()
	if lost {
		f.regained()
	}
	f.mu.Lock()
	for _, it := range changes.Items {
		f.take(it)
	}
	f.revision = max(f.revision, changes.Revision)
	f.vouch(answered, c)
	f.mu.Unlock()
	for _, it := range changes.Items {
		f.change(it)
	}
	return nil
}

func (f *Follower) take(it kvst.Item) {
	if it.Deleted {
		delete(f.state, it.Key)
	} else {
		f.state[it.Key] = it
	}
	f.recent = append(f.recent, it)
	if len(f.recent) > logMost {
		f.floor = f.recent[len(f.recent)/2-1].Revision
		f.recent = slices.Clone(f.recent[len(f.recent)/2:])
	}
}

// vouch notes when the copy was known to be current. The lock is held.
func (f *Follower) vouch(at time.Time, c Choice) {
	if c.Age != nil {
		at = time.Now().Add(-c.Age())
	}
	if at.After(f.contact) {
		f.contact = at
	}
	close(f.changed)
	f.changed = make(chan struct{})
}

// Revision is how far the copy is.
func (f *Follower) Revision() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.revision
}

// Age is how long ago the store vouched for the copy.
func (f *Follower) Age() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return time.Since(f.contact)
}

// Items returns the whole copy and its revision; revision 0 means that there is
// none yet.
func (f *Follower) Items() ([]kvst.Item, int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	items := make([]kvst.Item, 0, len(f.state))
	for _, it := range f.state {
		items = append(items, it)
	}
	return items, f.revision
}

// Since returns the changes after a revision, and waits for the first until ctx
// ends. Its error is a *kvst.GapError if they aren't all kept.
func (f *Follower) Since(ctx context.Context, after int64) (kvst.Changes, error) {
	for {
		f.mu.Lock()
		changes, changed := f.after(after), f.changed
		gap := after < f.floor
		f.mu.Unlock()
		switch {
		case gap:
			return kvst.Changes{}, &kvst.GapError{After: after}
		case len(changes.Items) > 0:
			return changes, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return changes, nil
		}
	}
}

func (f *Follower) after(revision int64) kvst.Changes {
	out := kvst.Changes{Revision: max(revision, f.revision)}
	for _, it := range f.recent {
		if it.Revision > revision {
			out.Items = append(out.Items, it)
		}
	}
	return out
}
