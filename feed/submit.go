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

// Submit takes in groups and returns how many are new, and whether they are
// recorded. A group that is known
// already is left as it is, so a trainer whose answer was lost submits again.
// When it returns, the groups are recorded and their prompts kept as well as
// the deployment can; while the key-value service is down the record follows
// later.
//
// The errors are *fault.FieldError, *fault.FieldsError, and
// *ledger.OvertakenError, after which the trainer asks another instance.
func (f *Feed) Submit(ctx context.Context, groups []grpreq.Group) (added int, recorded bool, err error) {
	fresh, err := f.add(groups)
	if err != nil {
		return 0, false, err
	}
	f.copyGroups(ctx, fresh)
	if len(fresh) == 0 {
		return 0, true, f.Overtaken()
	}
	err = f.save(ctx)
	var down *fault.UnavailableError
	if errors.As(err, &down) {
		f.log.Warn("groups taken in without a record", "subscription", f.name, "groups", len(fresh), "err", err)
		return len(fresh), false, nil
	}
	return len(fresh), err == nil, err
}

// copyGroups copies prompts to disks, several at a time: a step of 512 groups
// would otherwise wait for as many answers, one after the other.
func (f *Feed) copyGroups(ctx context.Context, groups []grpreq.Group) {
	var g errgroup.Group
	g.SetLimit(copiesAtOnce)
	var failed atomic.Int64
	for _, group := range groups {
		g.Go(func() error {
			err := f.bulk.KeepGroup(ctx, f.name, group)
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

// copiesAtOnce bounds the copies under way: a disk writes those that come
// together in one go.
const copiesAtOnce = 32

// add checks all groups before it takes in the first.
func (f *Feed) add(groups []grpreq.Group) ([]grpreq.Group, error) {
	var bad fault.FieldsError
	for i, g := range groups {
		bad.Merge(at("groups", i), g.Validate())
	}
	if err := bad.Err(); err != nil {
		return nil, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.overtaken != nil {
		return nil, f.overtaken
	}
	var added []grpreq.Group
	for i, g := range groups {
		fresh, err := f.book.Add(g.ID, g.Step, g.Samples)
		if err != nil {
			bad.Merge(at("groups", i), err)
			continue
		}
		if fresh {
			added = append(added, g)
		}
		// A known group whose prompt was lost with its holder is filled in.
		f.insert(g)
	}
	return added, bad.Err()
}

// Publish notes a new weight version of the trainer. Versions only grow; an old
// one is passed over.
func (f *Feed) Publish(ctx context.Context, version int64) error {
	if !f.publish(version, time.Now()) && f.versionRecorded() {
		return f.Overtaken()
	}
	err := f.save(ctx)
	var down *fault.UnavailableError
	if errors.As(err, &down) {
		if !f.config().Cursor {
			// This trainer gets nothing before the record can be made, and its pulls
			// need not repeat the version: were it told that the version is known,
			// this holder's loss would make it get samples that are too old.
			return &fault.NotRunError{
				Cause:      CauseService,
				Reason:     "the version could not be recorded, and this trainer carries no cursor",
				RetryAfter: 2 * restAfterFailure,
			}
		}
		f.log.Warn("version noted without a record", "subscription", f.name, "version", version)
		return nil
	}
	return err
}

func (f *Feed) versionRecorded() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.config().Cursor || f.storedVersion == f.book.Published
}

func (f *Feed) publish(version int64, now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if version <= f.book.Published {
		return false
	}
	if !f.published.IsZero() {
		since := now.Sub(f.published)
		f.every = max(time.Millisecond, time.Duration(memory*float64(f.every)+(1-memory)*float64(since)))
	}
	f.published = now
	f.book.Published = version
	return true
}

// Published returns the trainer's newest weight version.
func (f *Feed) Published() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.book.Published
}
