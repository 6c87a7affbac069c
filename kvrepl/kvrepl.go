// Package kvrepl maintains a replica of a key prefix of the metadata store.
//
// A long-polling watch costs the store a call, however little changes, so a large fleet
// cannot have every instance watch. A few instances, the readers, watch the store and
// serve what they see; the others ask a reader. Each answer carries its age, so that a
// reader that is partitioned from the store without noticing is abandoned for another one
// before its stale state can do harm.
package kvrepl

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"

	"github.com/lavendermux/lavendermux/kvst"
	"github.com/lavendermux/lavendermux/meter"
	"github.com/lavendermux/lavendermux/sleep"
)

const (
	// defaultWatchWait is how long a watch waits. A store that loses a watch, or compacts
	// the history that it needs, is noticed when the wait is over; what the store holds
	// must be in force two seconds after it can be read again.
	defaultWatchWait = 1800 * time.Millisecond
	// probeWatchWait is the wait during an outage of the store: a probe that was lost at
	// the end of an outage must not hide that the store is back.
	probeWatchWait = 100 * time.Millisecond
	// retryDelay is the delay after the second failure in a row: the first is followed by a call to
	// another source, or by a list.
	retryDelay = 300 * time.Millisecond
	// secondPollInterval is how often a replica without a second source looks for one.
	secondPollInterval = time.Second
	// maxRecentChanges limits the changes that are kept for followers of this replica:
	// some seconds of a large fleet. A follower that asks for older ones lists again.
	maxRecentChanges = 2000
	// storeName is the name of the store as a source.
	storeName = "store"
)

type (
	// Source is where a replica reads from.
	Source interface {
		// List returns the items below prefix and a revision to watch from.
		List(ctx context.Context, prefix string) ([]kvst.Item, int64, error)
		// Watch waits for changes below prefix after a revision.
		Watch(ctx context.Context, prefix string, after int64, wait time.Duration) (kvst.Changes, error)
	}

	// SelectedSource is the source to use for the next call.
	SelectedSource struct {
		Source
		// Name is the name of the source in logs and metrics; "" stands for the store.
		Name string
		// Wait is how long a watch waits; 0 means the replica's default.
		Wait time.Duration
		// Age returns the time since the store confirmed the state in the last answer of the
		// source; nil for the store itself.
		Age func() time.Duration
	}

	// Freshness tells how current a replica is, and where from.
	Freshness struct {
		// Age is the time since the store last confirmed the replica.
		Age time.Duration
		// Source is the name of the source by which it was confirmed.
		Source   string
		Revision int64
	}

	// Replica is a replica of a prefix. See New.
	Replica struct {
		prefix       string
		logger       *log.Logger
		meter        *meter.Meter
		selectSource func() SelectedSource
		selectSecond func() (SelectedSource, bool)
		watchWait    time.Duration
		minInterval  time.Duration

		onReset    func(items []kvst.Item)
		onChange   func(it kvst.Item)
		onOutage   func()
		minOutage  time.Duration
		equivalent func(a, b kvst.Item) bool

		// lostAt is when the source was lost; only follow uses it.
		lostAt time.Time

		// applying is held while an answer is applied, callbacks included: two sources may
		// answer at the same time.
		applying sync.Mutex
		mu       sync.Mutex
		byKey    map[string]kvst.Item
		// recent has the latest changes; it is complete after the revision floor.
		recent   []kvst.Item
		floor    int64
		revision int64
		// confirmedAt is when the store last confirmed that the replica was current, and
		// confirmedBy the source that said so.
		confirmedAt time.Time
		confirmedBy string
		changed     chan struct{}
	}

	// Option configures a Replica in New.
	Option func(*Replica)
)

// New returns a replica of the keys below prefix.
//
//	r := kvrepl.New(store, "op/", logger, kvrepl.WithOnChange(take))
//	r.Run(ctx)
func New(store Source, prefix string, logger *log.Logger, opts ...Option) *Replica {
	r := &Replica{
		prefix:       prefix,
		logger:       logger,
		meter:        meter.New(),
		selectSource: func() SelectedSource { return SelectedSource{Source: store} },
		selectSecond: func() (SelectedSource, bool) { return SelectedSource{}, false },
		watchWait:    defaultWatchWait,
		onReset:      func([]kvst.Item) {},
		onChange:     func(kvst.Item) {},
		onOutage:     func() {},
		equivalent:   func(kvst.Item, kvst.Item) bool { return false },
		byKey:        make(map[string]kvst.Item),
		changed:      make(chan struct{}),
	}
	for _, opt := range opts {
		opt(r)
	}
	return r
}

// WithOnReset sets f, which is called with all items after each list. The default does
// nothing.
func WithOnReset(f func(items []kvst.Item)) Option {
	return func(r *Replica) { r.onReset = f }
}

// WithOnChange sets f, which is called for each change, in order. The default does nothing.
func WithOnChange(f func(it kvst.Item)) Option {
	return func(r *Replica) { r.onChange = f }
}

// WithOnOutage sets f, which is called before the first changes after an outage of the store: a time of
// minOutage or longer in which nothing was confirmed. A source that fails while others answer is no
// outage. The default does nothing.
func WithOnOutage(minOutage time.Duration, f func()) Option {
	return func(r *Replica) { r.minOutage, r.onOutage = minOutage, f }
}

// WithEquivalent sets f, which reports whether two values of a key mean the same, as those
// of heartbeats do. A change between them is neither reported nor served to followers:
// otherwise each instance of a fleet would get each heartbeat of each endpoint. By default
// no two values do.
func WithEquivalent(f func(a, b kvst.Item) bool) Option {
	return func(r *Replica) { r.equivalent = f }
}

// WithMinInterval sets the minimum interval between two watches of the store, which batches
// frequent changes into fewer calls. The default is none.
func WithMinInterval(d time.Duration) Option {
	return func(r *Replica) { r.minInterval = d }
}

// WithSourceSelector sets f, which selects the source before each call. The default is always the
// store.
func WithSourceSelector(f func() SelectedSource) Option {
	return func(r *Replica) { r.selectSource = f }
}

// WithMeter sets the meter that records losses of sources and how late changes are applied. By
// default the metrics are discarded.
func WithMeter(m *meter.Meter) Option {
	return func(r *Replica) { r.meter = m }
}

// WithSecondSource sets f, which selects a second source that is read beside the first, or returns
// false if there is none. Changes are then not late while either of them answers. By default there is
// none.
func WithSecondSource(f func() (SelectedSource, bool)) Option {
	return func(r *Replica) { r.selectSecond = f }
}

// Run keeps the replica up to date until ctx ends.
func (r *Replica) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { r.follow(ctx) })
	wg.Go(func() { r.followSecond(ctx) })
	wg.Wait()
}

// follow reads from the first source.
func (r *Replica) follow(ctx context.Context) {
	lost, listed, source, failures := false, false, "", 0
	for ctx.Err() == nil {
		start := time.Now()
		c := r.selectSource()
		if c.name() != source {
			r.logger.Info("Source of a replica changed.", "prefix", r.prefix, "before", source, "source", c.name())
			source = c.name()
		}
		var err error
		if listed {
			err = r.watch(ctx, c, lost)
		} else {
			err = r.list(ctx, c)
		}
		if ctx.Err() != nil {
			return
		}
		var gap *kvst.CompactedError
		listed = (listed || err == nil) && !errors.As(err, &gap)
		lost = r.logResult(c, err, lost)
		failures++
		if err == nil {
			failures = 0
		}
		pause := r.minInterval - time.Since(start)
		switch {
		case failures > 1:
			pause = retryDelay
		case err != nil, c.Age != nil:
			pause = 0
		}
		if pause > 0 {
			sleep.For(ctx, pause)
		}
	}
}

// followSecond reads from the second source, once there is a state to go on from.
func (r *Replica) followSecond(ctx context.Context) {
	failures := 0
	for ctx.Err() == nil {
		c, ok := r.selectSecond()
		if !ok || r.Revision() == 0 {
			sleep.For(ctx, secondPollInterval)
			continue
		}
		err := r.watch(ctx, c, false)
		var gap *kvst.CompactedError
		if errors.As(err, &gap) {
			err = r.list(ctx, c)
		}
		if err == nil {
			failures = 0
			continue
		}
		if failures++; failures > 1 {
			sleep.For(ctx, retryDelay)
		}
	}
}

// logResult logs when the connection to the store is lost and restored, and returns
// whether it is lost.
func (r *Replica) logResult(c SelectedSource, err error, lost bool) bool {
	var gap *kvst.CompactedError
	switch {
	case errors.As(err, &gap):
		r.logger.Warn("Metadata store compacted its history.", "prefix", r.prefix, "source", c.name(), "after", gap.After)
		return lost
	case err != nil && !lost:
		f := r.Freshness()
		r.logger.Warn("Connection to the metadata store lost.", "prefix", r.prefix, "source", c.name(), "revision", f.Revision,
			"confirmed", f.Age.Round(time.Millisecond), "error", err)
		r.lostAt = time.Now()
	case err == nil && lost:
		took := time.Since(r.lostAt)
		r.logger.Info("Connection to the metadata store restored.", "prefix", r.prefix, "source", c.name(), "revision", r.Revision(),
			"took", took.Round(time.Millisecond))
		r.meter.Observe("replica_loss_seconds", took, "prefix", r.prefix)
	}
	return err != nil
}

// name returns the name of the source for logs.
func (c SelectedSource) name() string {
	if c.Name == "" {
		return storeName
	}
	return c.Name
}

// logChanges records the changes that an answer brought. behind is the time since the replica was
// last confirmed before, and so an upper bound for how late they are.
func (r *Replica) logChanges(c SelectedSource, count int, behind time.Duration) {
	r.logger.Info("Changes received.", "prefix", r.prefix, "source", c.name(), "count", count, "revision", r.Revision(),
		"behind", behind.Round(time.Millisecond))
	r.meter.Observe("replica_behind_seconds", behind, "prefix", r.prefix)
}

func (r *Replica) list(ctx context.Context, c SelectedSource) error {
	asked := time.Now()
	items, revision, err := c.List(ctx, r.prefix)
	if err != nil {
		return err
	}
	r.applying.Lock()
	defer r.applying.Unlock()
	if r.Revision() > revision {
		// Another source was ahead of this one; going back would undo changes that were
		// in force.
		return &kvst.CompactedError{After: revision}
	}
	confirmed := c.confirmedAt(asked)
	r.noticeOutage(confirmed)
	r.mu.Lock()
	r.byKey = make(map[string]kvst.Item, len(items))
	for _, it := range items {
		r.byKey[it.Key] = it
	}
	r.recent, r.floor, r.revision = nil, revision, revision
	r.wakeFollowers()
	r.mu.Unlock()
	r.onReset(items)
	r.logChanges(c, len(items), r.confirm(confirmed, c))
	return nil
}

func (r *Replica) watch(ctx context.Context, c SelectedSource, lost bool) error {
	watchWait := r.watchWait
	if c.Wait > 0 {
		watchWait = c.Wait
	}
	if c.Age == nil {
		// An answer with changes confirms the time of its request only. A full wait after it would
		// leave the replica unconfirmed for twice as long.
		watchWait = max(probeWatchWait, watchWait-r.Age())
	}
	if lost {
		watchWait = probeWatchWait
	}
	asked, after := time.Now(), r.Revision()
	changes, err := c.Watch(ctx, r.prefix, after, watchWait)
	if err != nil {
		return err
	}
	// An answer without changes is given when the wait is over, and confirms that there was none
	// until then. One with changes may have been long on its way.
	confirmed := asked
	if end := asked.Add(watchWait); len(changes.Items) == 0 && !time.Now().Before(end) {
		confirmed = end
	}
	confirmed = c.confirmedAt(confirmed)
	r.applying.Lock()
	defer r.applying.Unlock()
	r.noticeOutage(confirmed)
	r.mu.Lock()
	applied := make([]kvst.Item, 0, len(changes.Items))
	for _, it := range changes.Items {
		// The other source may have brought it.
		if it.Revision > r.revision && r.apply(it) {
			applied = append(applied, it)
		}
	}
	r.revision = max(r.revision, changes.Revision)
	r.wakeFollowers()
	r.mu.Unlock()
	for _, it := range applied {
		r.onChange(it)
	}
	// Only now: until the callbacks have run, this instance acts on the state before.
	behind := r.confirm(confirmed, c)
	if len(applied) > 0 {
		r.logChanges(c, len(applied), behind)
	}
	return nil
}

// apply records a change and reports whether it means anything new.
func (r *Replica) apply(it kvst.Item) bool {
	old, known := r.byKey[it.Key]
	if it.Deleted {
		delete(r.byKey, it.Key)
	} else {
		r.byKey[it.Key] = it
		if known && r.equivalent(old, it) {
			return false
		}
	}
	r.recent = append(r.recent, it)
	if len(r.recent) > maxRecentChanges {
		r.floor = r.recent[len(r.recent)/2-1].Revision
		r.recent = slices.Clone(r.recent[len(r.recent)/2:])
	}
	return true
}

// confirmedAt returns when the store confirmed the state in the source's last answer; direct is that
// of an answer by the store itself.
func (c SelectedSource) confirmedAt(direct time.Time) time.Time {
	if c.Age == nil {
		return direct
	}
	return time.Now().Add(-c.Age())
}

// noticeOutage calls back if an answer that is confirmed at a time ends an outage of the store.
func (r *Replica) noticeOutage(confirmed time.Time) {
	r.mu.Lock()
	before := r.confirmedAt
	r.mu.Unlock()
	if !before.IsZero() && confirmed.Sub(before) >= r.minOutage {
		r.onOutage()
	}
}

// wakeFollowers wakes the followers that wait for changes. The caller holds the lock.
func (r *Replica) wakeFollowers() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// confirm records when the replica was known to be current, and returns how long ago that had
// been before; 0 for the first time.
func (r *Replica) confirm(at time.Time, c SelectedSource) (behind time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.confirmedAt.IsZero() {
		behind = time.Since(r.confirmedAt)
	}
	if at.After(r.confirmedAt) {
		r.confirmedAt, r.confirmedBy = at, c.name()
	}
	return behind
}

// Freshness returns how current the replica is.
func (r *Replica) Freshness() Freshness {
	r.mu.Lock()
	defer r.mu.Unlock()
	return Freshness{Age: time.Since(r.confirmedAt), Source: r.confirmedBy, Revision: r.revision}
}

// Revision returns the revision of the replica.
func (r *Replica) Revision() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.revision
}

// WaitKnown waits until something has been read, or ctx ends.
func (r *Replica) WaitKnown(ctx context.Context) {
	for {
		r.mu.Lock()
		known, changed := r.revision > 0, r.changed
		r.mu.Unlock()
		if known {
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// Age returns the time since the store last confirmed the replica.
func (r *Replica) Age() time.Duration { return r.Freshness().Age }

// Snapshot returns all items of the replica, its revision and its age; revision 0 means that nothing
// has been read yet.
func (r *Replica) Snapshot() (items []kvst.Item, revision int64, age time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	items = make([]kvst.Item, 0, len(r.byKey))
	for _, it := range r.byKey {
		items = append(items, it)
	}
	return items, r.revision, time.Since(r.confirmedAt)
}

// ChangesSince returns the changes after a revision and the age of the replica that has them, and waits
// for the first change until ctx ends. Its error is a *kvst.CompactedError if some of them are no longer
// kept.
func (r *Replica) ChangesSince(ctx context.Context, after int64) (kvst.Changes, time.Duration, error) {
	for waited := false; ; {
		r.mu.Lock()
		changes, age, changed := r.after(after), time.Since(r.confirmedAt), r.changed
		gap := after < r.floor
		r.mu.Unlock()
		switch {
		case gap:
			return kvst.Changes{}, age, &kvst.CompactedError{After: after}
		case len(changes.Items) > 0 || waited:
			return changes, age, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			waited = true
		}
	}
}

func (r *Replica) after(revision int64) kvst.Changes {
	out := kvst.Changes{Revision: max(revision, r.revision)}
	for _, it := range r.recent {
		if it.Revision > revision {
			out.Items = append(out.Items, it)
		}
	}
	return out
}
