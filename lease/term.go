package lease

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/lavendermux/lavendermux/fault"
	"github.com/lavendermux/lavendermux/record"
)

// acquire tries to acquire the job. It reads first, since this process may have
// created the key in a write whose response was lost.
func (e *Elector) acquire(ctx context.Context) (bool, error) {
	rec, err := e.store.Get(ctx, KeyPrefix+e.job)
	var notFound *fault.NotFoundError
	switch {
	case errors.As(err, &notFound):
		return e.create(ctx)
	case err != nil:
		return false, err
	}
	var current holderRecord
	if json.Unmarshal(rec.Value, &current) == nil && current.Nonce == e.nonce && current.Holder == e.instance {
		return true, e.adopt(ctx, rec)
	}
	return false, nil
}

func (e *Elector) create(ctx context.Context) (bool, error) {
	value, err := json.Marshal(holderRecord{Holder: e.instance, Address: e.address, Nonce: e.nonce})
	if err != nil {
		return false, errors.Wrap(err, "encoding the holder record")
	}
	sentAt := time.Now()
	id, err := e.store.Grant(ctx, e.ttl)
	if err != nil {
		return false, err
	}
	e.mu.Lock()
	e.lease = id
	e.mu.Unlock()
	revision, err := e.store.Put(ctx, KeyPrefix+e.job, value, 0, id)
	var conflict *fault.ConflictError
	switch {
	case errors.As(err, &conflict):
		e.revokeUnused(ctx)
		return false, nil
	case err != nil:
		// The write may have taken effect; the next attempt reads it back.
		return false, err
	}
	e.setHeld(revision, id, sentAt)
	return true, nil
}

// adopt completes the acquisition with a key that this process created in a write
// whose response was lost. The renewal verifies that the lease still exists and
// restarts its TTL at a known time.
func (e *Elector) adopt(ctx context.Context, rec record.Record) error {
	sentAt := time.Now()
	if err := e.store.Renew(ctx, rec.Lease); err != nil {
		return err
	}
	e.setHeld(rec.Created, rec.Lease, sentAt)
	return nil
}

// renew renews the lease. If the lease may have expired before, it verifies that
// the key is still the one that this process created.
func (e *Elector) renew(ctx context.Context) error {
	_, inDoubt := e.InDoubt()
	e.mu.Lock()
	id, fence := e.lease, e.fence
	e.mu.Unlock()
	sentAt := time.Now()
	err := e.store.Renew(ctx, id)
	var expired *fault.LeaseExpiredError
	if errors.As(err, &expired) {
		e.setLost("lease has expired")
		return nil
	}
	if err == nil && inDoubt {
		err = e.confirm(ctx, fence)
	}
	if err != nil {
		return err
	}
	e.mu.Lock()
	if e.fence == fence {
		e.renewedAt = sentAt
	}
	e.mu.Unlock()
	if inDoubt {
		e.onChange()
	}
	return nil
}

func (e *Elector) confirm(ctx context.Context, fence int64) error {
	rec, err := e.store.Get(ctx, KeyPrefix+e.job)
	var notFound *fault.NotFoundError
	if errors.As(err, &notFound) || (err == nil && rec.Created != fence) {
		e.setLost("key was removed or belongs to another holder")
		return nil
	}
	return err
}

func (e *Elector) setHeld(fence, id int64, sentAt time.Time) {
	e.mu.Lock()
	e.fence, e.lease, e.renewedAt, e.vacantSince = fence, id, sentAt, time.Time{}
	e.mu.Unlock()
	e.log.Info("holding the job", "job", e.job, "holder", e.instance, "fence", fence)
	e.onChange()
}

func (e *Elector) setLost(reason string) {
	e.mu.Lock()
	fence := e.fence
	e.fence, e.lease = 0, 0
	e.mu.Unlock()
	e.log.Warn("lost the job", "job", e.job, "holder", e.instance, "fence", fence, "reason", reason)
	e.onChange()
}

// revokeUnused revokes a lease that no key is attached to.
func (e *Elector) revokeUnused(ctx context.Context) {
	e.mu.Lock()
	id := e.lease
	e.lease = 0
	e.mu.Unlock()
	if err := e.store.Revoke(ctx, id); err != nil {
		e.log.Debug("could not revoke an unused lease; it is left to lapse", "lease", id, "err", err)
	}
}

// release revokes the lease, which removes the key, so that the next holder need
// not wait for the TTL. It first stops claiming the job.
func (e *Elector) release() {
	e.mu.Lock()
	id, fence := e.lease, e.fence
	e.fence, e.lease = 0, 0
	e.mu.Unlock()
	if id == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), e.ttl/renewalsPerTTL)
	defer cancel()
	if err := e.store.Revoke(ctx, id); err != nil {
		e.log.Warn("could not release the job; its lease will expire", "job", e.job, "fence", fence, "err", err)
	}
	if fence != 0 {
		e.onChange()
	}
}

// Holder decodes the record of a job's key: the holder's instance ID, its address
// and its fencing token.
func Holder(rec record.Record) (instance, address string, fence int64, err error) {
	var current holderRecord
	if err := json.Unmarshal(rec.Value, &current); err != nil {
		return "", "", 0, errors.Wrapf(err, "decoding the holder record of %s", rec.Key)
	}
	return current.Holder, current.Address, rec.Created, nil
}
