package feed

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/lavendermux/lavendermux/fault"
	"github.com/lavendermux/lavendermux/grpreq"
	"golang.org/x/sync/errgroup"
)

// Submit adds groups and returns how many are new and whether they are recorded. Known
// groups are not changed, so a trainer can resubmit after a lost response. When Submit
// returns, the prompts are replicated as far as the deployment allows, and the groups are
// recorded, or are recorded later if the metadata store is unavailable.
//
// The errors are *fault.FieldError, *fault.FieldsError, and *ledger.FencedError, after
// which the trainer must retry at another instance.
func (f *Feed) Submit(ctx context.Context, groups []grpreq.Group) (added int, recorded bool, err error) {
	fresh, err := f.addGroups(groups)
	if err != nil {
		return 0, false, err
	}
	f.replicateGroups(ctx, fresh)
	if len(fresh) == 0 {
		return 0, true, f.Fenced()
	}
	err = f.save(ctx)
	var down *fault.UnavailableError
	if errors.As(err, &down) {
		f.log.Warn("groups taken in but not recorded", "subscription", f.name, "groups", len(fresh), "err", err)
		return len(fresh), false, nil
	}
	return len(fresh), err == nil, err
}

// replicateGroups replicates prompts to disks concurrently: a step of 512 groups would
// otherwise wait for as many responses one after the other.
func (f *Feed) replicateGroups(ctx context.Context, groups []grpreq.Group) {
	var g errgroup.Group
	g.SetLimit(maxConcurrentReplications)
	var failed atomic.Int64
	for _, group := range groups {
		g.Go(func() error {
			err := f.replicator.KeepGroup(ctx, f.name, group)
			if err != nil {
				failed.Add(1)
			}
			return err
		})
	}
	if err := g.Wait(); err != nil {
		f.log.Warn("prompts are in memory only", "subscription", f.name, "groups", failed.Load(), "err", err)
	}
}

// maxConcurrentReplications is the maximum number of replications at a time. A disk combines
// concurrent ones into a single write.
const maxConcurrentReplications = 32

// addGroups validates all groups, adds them, and returns the new ones.
func (f *Feed) addGroups(groups []grpreq.Group) ([]grpreq.Group, error) {
	var bad fault.FieldsError
	for i, g := range groups {
		bad.Merge(fieldAt("groups", i), g.Validate())
	}
	if err := bad.Err(); err != nil {
		return nil, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.fenced != nil {
		return nil, f.fenced
	}
	var added []grpreq.Group
	for i, g := range groups {
		fresh, err := f.deliveries.Add(g.ID, g.Step, g.Samples)
		if err != nil {
			bad.Merge(fieldAt("groups", i), err)
			continue
		}
		if fresh {
			added = append(added, g)
		}
		// This also restores the prompt of a known group that was lost with its holder.
		f.insertGroup(g)
	}
	return added, bad.Err()
}

// Publish records a new weight version of the trainer. Versions only increase; an older one
// is ignored.
func (f *Feed) Publish(ctx context.Context, version int64) error {
	if !f.setPublished(version, time.Now()) && f.versionSaved() {
		return f.Fenced()
	}
	err := f.save(ctx)
	var down *fault.UnavailableError
	if errors.As(err, &down) {
		if !f.config().TrainerCursor {
			// This trainer gets no samples before the version is recorded, and its pulls
			// need not repeat the version. If the publication were confirmed now and this
			// holder lost, the trainer would get samples that exceed the staleness bound.
			return &fault.NotRunError{
				Cause:      CauseMetadataStore,
				Reason:     "the version could not be recorded, and this trainer carries no cursor",
				RetryAfter: 2 * storeBackoff,
			}
		}
		f.log.Warn("version accepted but not recorded", "subscription", f.name, "version", version)
		return nil
	}
	return err
}

func (f *Feed) versionSaved() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.config().TrainerCursor || f.storedVersion == f.deliveries.Published
}

func (f *Feed) setPublished(version int64, now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if version <= f.deliveries.Published {
		return false
	}
	if !f.publishedAt.IsZero() {
		since := now.Sub(f.publishedAt)
		f.publishInterval = max(time.Millisecond, time.Duration(ewmaDecay*float64(f.publishInterval)+(1-ewmaDecay)*float64(since)))
	}
	f.publishedAt = now
	f.deliveries.Published = version
	return true
}

// Published returns the trainer's newest weight version.
func (f *Feed) Published() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.deliveries.Published
}
