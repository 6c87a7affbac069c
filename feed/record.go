package feed

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/lavendermux/lavendermux/fault"
	"github.com/lavendermux/lavendermux/grpreq"
	"github.com/lavendermux/lavendermux/keyval"
	"github.com/lavendermux/lavendermux/ledger"
	"github.com/lavendermux/lavendermux/record"
	"github.com/lavendermux/lavendermux/sample"
)

const (
	// storeBackoff is how long no write is attempted after the metadata store did not
	// respond. Otherwise every pull during an outage would wait for a timeout.
	storeBackoff = time.Second
	// maxSaveAttempts is the maximum number of attempts to take over the ledger, or to
	// write it while conflicts turn out to be this holder's own earlier writes.
	maxSaveAttempts = 3
)

// takeOver takes over the ledger. It retries if an earlier holder writes it concurrently.
func (f *Feed) takeOver(ctx context.Context) error {
	var err error
	for range maxSaveAttempts {
		err = f.tryTakeOver(ctx)
		var conflict *fault.ConflictError
		if !errors.As(err, &conflict) {
			break
		}
		f.log.Info("earlier holder wrote the ledger during takeover", "subscription", f.name, "fence", f.fence, "revision", conflict.Revision)
	}
	return err
}

// tryTakeOver reads the ledger and writes it back with this holder's fencing token. After
// that write all further writes of earlier holders fail.
func (f *Feed) tryTakeOver(ctx context.Context) error {
	rec, err := f.store.Get(ctx, f.key())
	var missing *fault.NotFoundError
	switch {
	case errors.As(err, &missing):
		f.deliveries = ledger.New(f.name)
		f.revision = keyval.Absent
	case err != nil:
		return err
	default:
		f.deliveries, err = decodeLedger(rec)
		if err != nil {
			return err
		}
		f.revision = rec.Revision
	}
	if !f.deliveries.Adopt(f.fence) {
		return &ledger.FencedError{Fence: f.fence, Current: f.deliveries.Fence}
	}
	return f.save(ctx)
}

func decodeLedger(rec record.Record) (*ledger.Ledger, error) {
	var l ledger.Ledger
	if err := json.Unmarshal(rec.Value, &l); err != nil {
		return nil, errors.Wrapf(err, "reading the ledger %s", rec.Key)
	}
	return &l, nil
}

// Save stores the ledger if it has unrecorded changes. It must be called periodically, so
// that everything is recorded after an outage of the store. It also replicates prompts and
// samples again if the set of instances with disks has changed. It returns an error if a
// later holder has taken over.
func (f *Feed) Save(ctx context.Context) error {
	f.replicateAgain(ctx)
	f.mu.Lock()
	dirty := f.deliveries.Dirty()
	f.mu.Unlock()
	if !dirty {
		return f.Fenced()
	}
	return f.save(ctx)
}

// save writes the ledger to the metadata store. After a *fault.UnavailableError the outcome
// is unknown; the next save finds it out.
func (f *Feed) save(ctx context.Context) error {
	if err := f.saveMu.Lock(ctx); err != nil {
		return &fault.UnavailableError{Peer: "key-value service", Cause: err}
	}
	defer f.saveMu.Unlock()
	if err := f.checkWritable(); err != nil {
		return err
	}
	var err error
	for range maxSaveAttempts {
		err = f.putLedger(ctx)
		var conflict *fault.ConflictError
		if !errors.As(err, &conflict) {
			break
		}
		// The revision has changed, either by an own write whose response was lost or by a
		// write of a later holder.
		if err = f.resolveConflict(ctx); err != nil {
			break
		}
	}
	f.noteSaveError(err)
	return err
}

func (f *Feed) checkWritable() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.fenced != nil {
		return f.fenced
	}
	if time.Now().Before(f.storeDownUntil) {
		return &fault.UnavailableError{Peer: "key-value service", Cause: errors.New("it gave no answer just now")}
	}
	return nil
}

func (f *Feed) putLedger(ctx context.Context) error {
	operation := rand.Text()
	f.mu.Lock()
	raw, mark, err := f.deliveries.Snapshot(operation)
	published := f.deliveries.Published
	f.mu.Unlock()
	if err != nil {
		return err
	}
	f.pendingWrites = append(f.pendingWrites, operation)
	revision, err := f.store.Put(ctx, f.key(), raw, f.revision, 0)
	if err != nil {
		return err
	}
	f.revision = revision
	f.pendingWrites = nil
	f.mu.Lock()
	f.deliveries.MarkStored(mark)
	f.storedVersion = published
	f.mu.Unlock()
	return nil
}

// resolveConflict finds out whose write changed the key. It returns nil for an own write, a
// *fault.ConflictError for that of an earlier holder, which is possible only before this
// holder's first write, and a *ledger.FencedError for that of a later holder.
func (f *Feed) resolveConflict(ctx context.Context) error {
	rec, err := f.store.Get(ctx, f.key())
	if err != nil {
		return err
	}
	stored, err := decodeLedger(rec)
	if err != nil {
		return err
	}
	if !slices.Contains(f.pendingWrites, stored.Operation) {
		if stored.Fence < f.fence {
			return &fault.ConflictError{Key: f.key(), Revision: rec.Revision}
		}
		return &ledger.FencedError{Fence: f.fence, Current: stored.Fence}
	}
	f.revision = rec.Revision
	return nil
}

func (f *Feed) noteSaveError(err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var fenced *ledger.FencedError
	if errors.As(err, &fenced) && f.fenced == nil {
		f.fenced = fenced
		f.notify()
		f.log.Warn("subscription overtaken by a later holder", "subscription", f.name, "fence", f.fence, "later", fenced.Current)
	}
	var down *fault.UnavailableError
	if errors.As(err, &down) {
		f.storeDownUntil = time.Now().Add(storeBackoff)
	}
}

func (f *Feed) key() string {
	return KeyPrefix + f.name
}

// replicateAgain replicates this holder's prompts and samples again if the target disks have
// changed. Otherwise the number of replicas would shrink as instances are replaced, until
// the loss of the holder would lose its data.
func (f *Feed) replicateAgain(ctx context.Context) {
	replicaTargets := f.replicator.Targets(f.name)
	if f.saveMu.Lock(ctx) != nil {
		return
	}
	same := replicaTargets == f.replicaTargets
	f.replicaTargets = replicaTargets
	f.saveMu.Unlock()
	if same || replicaTargets == "" {
		return
	}
	groups, samples := f.openState()
	for _, g := range groups {
		if err := f.replicator.KeepGroup(ctx, f.name, g); err != nil {
			f.log.Warn("prompt is in memory only", "subscription", f.name, "group", g.ID, "err", err)
		}
	}
	for _, s := range samples {
		if err := f.replicator.KeepSample(ctx, f.name, s); err != nil {
			f.log.Warn("sample is in memory only", "subscription", f.name, "sample", s.ID, "err", err)
		}
	}
}

// openState returns copies of the incomplete groups and of the ready samples.
func (f *Feed) openState() ([]grpreq.Group, []sample.Sample) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var (
		groups  []grpreq.Group
		samples []sample.Sample
	)
	for _, g := range f.groups {
		groups = append(groups, g.Group)
		for _, s := range g.slots {
			if s.ready != nil {
				samples = append(samples, *s.ready)
			}
		}
	}
	return groups, samples
}
