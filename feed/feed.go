// Package feed delivers the samples of one subscription to its trainer, on the entry that
// holds the pool's job. It keeps the requested groups, plans attempts to generate their
// samples, and delivers finished samples in numbered offers.
//
// Package ledger decides what has been delivered; this package adds locking, waiting and
// storage in the metadata store.
package feed

import (
	"context"
	"io"
	"slices"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/lavendermux/lavendermux/ctxmu"
	"github.com/lavendermux/lavendermux/grpreq"
	"github.com/lavendermux/lavendermux/ledger"
	"github.com/lavendermux/lavendermux/record"
	"github.com/lavendermux/lavendermux/sample"
	"github.com/lavendermux/lavendermux/strag"
	"github.com/lavendermux/lavendermux/subscr"
)

const (
	// KeyPrefix is the prefix of the ledgers' keys in the metadata store.
	KeyPrefix = "ledgers/"

	// CauseMetadataStore means that the metadata store could not record an offer or version.
	CauseMetadataStore = "keyValueService"
	// CauseBusy means that another pull of the subscription is in progress.
	CauseBusy = "busy"

	// defaultPublishInterval is the assumed interval between versions until the second
	// one is published.
	defaultPublishInterval = 10 * time.Minute
	// defaultAttemptDuration is the assumed duration of an attempt until one has ended.
	defaultAttemptDuration = 20 * time.Second
	// ewmaDecay is the weight of the previous mean in the EWMA of publish intervals and
	// attempt durations.
	ewmaDecay = 0.9
)

type (
	// Feed is the state of one subscription at its holder. See Open.
	Feed struct {
		name        string
		fence       int64
		config      func() subscr.Subscription
		store       store
		replicator  replicator
		log         *log.Logger
		observer    pullObserver
		planner     *strag.Planner
		gatherDelay time.Duration

		// pullMu serializes pulls, saveMu writes to the store.
		pullMu *ctxmu.Mutex
		saveMu *ctxmu.Mutex

		mu sync.Mutex
		// deliveries and the fields below are guarded by mu.
		deliveries *ledger.Ledger
		groups     map[string]*group
		// steps holds the incomplete groups, ordered by step.
		steps        []*step
		attemptsByID map[string]*attempt
		attemptSeq   int64
		// changed is closed and replaced when a sample becomes ready or the feed ends.
		changed         chan struct{}
		publishedAt     time.Time
		publishInterval time.Duration
		attemptDuration time.Duration
		// waitStart is when the first pull of the trainer's current wait started.
		waitStart time.Time
		// pullStart is when the current pull started; zero if there is none. lastPullEnd
		// is when the last one ended.
		pullStart   time.Time
		lastPullEnd time.Time
		fenced      error
		// closed is why pulls must not wait here any longer; nil while the job runs.
		closed error
		stats  stats

		// revision is that of the stored ledger, and pendingWrites are the IDs of writes
		// whose outcome is unknown; both are guarded by saveMu.
		revision      int64
		pendingWrites []string
		// replicaTargets identifies the instances with the replicas; guarded by saveMu.
		replicaTargets string
		// storeDownUntil is guarded by mu; until then no write to the store is attempted.
		storeDownUntil time.Time
		// storedVersion is the newest stored weight version; guarded by mu.
		storedVersion int64
	}

	// Option configures a Feed.
	Option func(*Feed)

	// store is the metadata store.
	store interface {
		Get(ctx context.Context, key string) (record.Record, error)
		Put(ctx context.Context, key string, value []byte, expect, lease int64) (int64, error)
	}

	// replicator stores prompts and samples on instances with a disk. The default,
	// noReplicator, stores nothing: after the loss of a holder its samples are generated
	// again, and the trainer must resubmit its groups.
	replicator interface {
		KeepGroup(ctx context.Context, subscription string, g grpreq.Group) error
		KeepSample(ctx context.Context, subscription string, s sample.Sample) error
		DropGroup(ctx context.Context, subscription, group string)
		Load(ctx context.Context, subscription string) ([]grpreq.Group, []sample.Sample, error)
		Targets(subscription string) string
	}

	// pullObserver records metrics of the trainer's pulls. The default, noObserver, drops them.
	pullObserver interface {
		Sample(subscription string, staleness, bound int64, endpoint string)
		Idle(subscription string, waited, elapsed time.Duration, pool string)
	}

	noReplicator struct{}
	noObserver   struct{}

	// step holds the incomplete groups of one step.
	step struct {
		number    int64
		startedAt time.Time
		groups    []*group
	}

	group struct {
		grpreq.Group
		slots []*slotState
	}

	slotState struct {
		id    string
		group *group
		// ready is the sample that awaits delivery; nil for none.
		ready *sample.Sample
		// tokens is the length of the finished sample, also after delivery.
		tokens    int64
		delivered bool
		attempts  int
		running   []*attempt
		// notBefore is the earliest time of the next attempt after a failed one.
		notBefore time.Time
		// endpoint generated the ready sample; empty if unknown.
		endpoint string
	}

	// attempt is a running attempt.
	attempt struct {
		id        string
		slot      *slotState
		worker    string
		startedAt time.Time
		generated int64
		// prev and last delimit the windows over which the token rate is measured.
		prev, last measurement
	}

	measurement struct {
		at        time.Time
		generated int64
	}

	// stats holds the figures of a subscription's status.
	stats struct {
		Delivered int64 `json:"delivered"`
		// Stale counts samples that exceeded the staleness bound and are generated again.
		Stale int64 `json:"stale"`
		// Unattributed counts samples with an unknown version, which are generated again.
		Unattributed int64 `json:"unattributed"`
		// Failed counts attempts that ended without a sample.
		Failed int64 `json:"failed"`
		// Wasted is the number of tokens that were generated and not delivered.
		Wasted int64 `json:"wastedTokens"`
		// IdleSeconds is the total time that the trainer waited for samples.
		IdleSeconds float64 `json:"idleSeconds"`
		// LateSteps counts steps that took longer than the subscription's stepWithin.
		LateSteps int64 `json:"lateSteps"`
		// Unrecorded counts offers sent while the metadata store was unavailable.
		Unrecorded int64 `json:"unrecordedOffers"`
	}
)

// Open takes over a subscription for the holder with the fencing token fence, after which
// writes of earlier holders fail. It returns an error if the metadata store does not
// respond or a later holder exists.
//
//	f, err := feed.Open(ctx, "drafts", fence, config, keyval.New(base))
//	offer, err := f.Pull(ctx, cursor, 256, 10*time.Second)
func Open(
	ctx context.Context, name string, fence int64, config func() subscr.Subscription, s store, opts ...Option,
) (*Feed, error) {
	f := &Feed{
		name:            name,
		fence:           fence,
		config:          config,
		store:           s,
		replicator:      noReplicator{},
		observer:        noObserver{},
		log:             log.New(io.Discard),
		gatherDelay:     defaultGatherDelay,
		pullMu:          ctxmu.New(),
		saveMu:          ctxmu.New(),
		groups:          map[string]*group{},
		attemptsByID:    map[string]*attempt{},
		changed:         make(chan struct{}),
		publishInterval: defaultPublishInterval,
		attemptDuration: defaultAttemptDuration,
	}
	for _, opt := range opts {
		opt(f)
	}
	f.planner = strag.New(strag.WithMaxMoves(config().MaxStragglerMoves))
	if err := f.takeOver(ctx); err != nil {
		return nil, err
	}
	f.restore(ctx)
	return f, nil
}

// WithReplicator sets where prompts and samples are replicated, so that they survive the loss of
// this instance. By default they are kept in memory only.
func WithReplicator(r replicator) Option {
	return func(f *Feed) { f.replicator = r }
}

// WithLog sets the logger. By default nothing is logged.
func WithLog(l *log.Logger) Option {
	return func(f *Feed) { f.log = l }
}

// WithObserver sets the observer of the trainer's pulls. By default there is none.
func WithObserver(o pullObserver) Option {
	return func(f *Feed) { f.observer = o }
}

// Name returns the subscription's name.
func (f *Feed) Name() string {
	return f.name
}

// Model returns the model that the subscription's trainer trains.
func (f *Feed) Model() string {
	return f.config().Model
}

// Fresh reports whether a sample that started on the given weight version would be within
// the staleness bound if it finished now.
func (f *Feed) Fresh(version string) bool {
	v, err := sample.ParseVersion(version)
	return err == nil && f.Published()-v <= f.config().StalenessBound
}

// Fenced returns an error if a later holder has taken over, or nil.
func (f *Feed) Fenced() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.fenced
}

// Close ends waiting and future pulls with the error reason. Unrecorded state can still be
// saved afterwards.
func (f *Feed) Close(reason error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.closed == nil {
		f.closed = reason
		f.log.Info("subscription closed", "subscription", f.name, "fence", f.fence, "open", f.deliveries.Open(), "reason", reason)
		f.notify()
	}
}

// endReason returns why pulls must not wait here, or nil.
func (f *Feed) endReason() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.fenced != nil {
		return f.fenced
	}
	return f.closed
}

// Stats returns the figures of the subscription's status.
func (f *Feed) Stats() any {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.stats
}

// Values passes the values of the subscription's metrics to set.
func (f *Feed) Values(set func(name string, v float64, labels ...string)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	named := func(name string, v int64) { set(name, float64(v), "subscription", f.name) }
	named("samples_open", int64(f.deliveries.Open()))
	named("published_version", f.deliveries.Published)
	named("samples_stale_total", f.stats.Stale)
	named("samples_unattributed_total", f.stats.Unattributed)
	named("attempts_failed_total", f.stats.Failed)
	named("tokens_wasted_total", f.stats.Wasted)
	named("offers_unrecorded_total", f.stats.Unrecorded)
	named("steps_late_total", f.stats.LateSteps)
}

// restore loads the groups and samples that an earlier holder replicated.
func (f *Feed) restore(ctx context.Context) {
	groups, samples, err := f.replicator.Load(ctx, f.name)
	if err != nil {
		f.log.Warn("replicas could not be read; the trainer is asked for lost groups again", "subscription", f.name, "err", err)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, g := range groups {
		// A group that the ledger lacks was accepted during an outage of the metadata
		// store by a holder that was lost before it could record it. The ledger rejects
		// the group if it may have been delivered and forgotten.
		if _, err := f.deliveries.Add(g.ID, g.Step, g.Samples); err != nil {
			go f.replicator.DropGroup(context.WithoutCancel(ctx), f.name, g.ID)
			continue
		}
		f.insertGroup(g)
	}
	for i := range samples {
		f.fillSlot(&samples[i])
	}
}

// insertGroup adds the slots of a group that is in the ledger. The caller holds mu.
func (f *Feed) insertGroup(in grpreq.Group) {
	if f.groups[in.ID] != nil {
		return
	}
	g := &group{Group: in}
	open := false
	for i := range in.Samples {
		id := sample.FormatID(in.ID, i)
		s := &slotState{id: id, group: g, delivered: !f.deliveries.IsPending(id)}
		open = open || !s.delivered
		g.slots = append(g.slots, s)
	}
	if !open {
		return
	}
	f.groups[in.ID] = g
	st := f.step(in.Step)
	st.groups = append(st.groups, g)
}

// step returns the step with the given number, and inserts it in order if it is new.
func (f *Feed) step(number int64) *step {
	at, found := slices.BinarySearchFunc(f.steps, number, func(s *step, n int64) int {
		return int(s.number - n)
	})
	if !found {
		f.steps = slices.Insert(f.steps, at, &step{number: number, startedAt: time.Now()})
	}
	return f.steps[at]
}

// slot returns the slot with the given sample ID, or nil.
func (f *Feed) slot(id string) *slotState {
	name, index, err := sample.ParseID(id)
	if err != nil {
		return nil
	}
	g := f.groups[name]
	if g == nil || index >= len(g.slots) {
		return nil
	}
	return g.slots[index]
}

// notify wakes waiting pulls. The caller holds mu.
func (f *Feed) notify() {
	close(f.changed)
	f.changed = make(chan struct{})
}

func (noReplicator) KeepGroup(context.Context, string, grpreq.Group) error   { return nil }
func (noReplicator) KeepSample(context.Context, string, sample.Sample) error { return nil }
func (noReplicator) DropGroup(context.Context, string, string)               {}
func (noReplicator) Targets(string) string                                   { return "" }
func (noReplicator) Load(context.Context, string) ([]grpreq.Group, []sample.Sample, error) {
	return nil, nil, nil
}

func (noObserver) Sample(string, int64, int64, string)               {}
func (noObserver) Idle(string, time.Duration, time.Duration, string) {}
