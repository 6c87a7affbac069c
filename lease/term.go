package lease

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/lavendermux/lavendermux/fault"
	"github.com/lavendermux/lavendermux/record"
)

// acquire tries to take the job. It reads first: the key may be this process's
// own, from a write whose answer was lost.
func (k *Keeper) acquire(ctx context.Context) (bool, error) {
	rec, err := k.service.Get(ctx, Prefix+k.job)
	var missing *fault.NotFoundError
	switch {
	case errors.As(err, &missing):
		return k.create(ctx)
	case err != nil:
		return false, err
	}
	var held claim
	if json.Unmarshal(rec.Value, &held) == nil && held.Nonce == k.nonce && held.Holder == k.holder {
		return true, k.adopt(ctx, rec)
	}
	return false, nil
}

func (k *Keeper) create(ctx context.Context) (bool, error) {
	value, err := json.Marshal(claim{Holder: k.holder, Address: k.address, Nonce: k.nonce})
	if err != nil {
		return false, errors.Wrap(err, "encoding a claim")
	}
	sent := time.Now()
	id, err := k.service.Grant(ctx, k.term)
	if err != nil {
		return false, err
	}
	k.mu.Lock()
	k.lease = id
	k.mu.Unlock()
	revision, err := k.service.Put(ctx, Prefix+k.job, value, 0, id)
	var conflict *fault.ConflictError
	switch {
	case errors.As(err, &conflict):
		k.drop(ctx)
		return false, nil
	case err != nil:
		// The write may have taken effect; the next attempt reads it back.
		return false, err
	}
	k.take(revision, id, sent)
	return true, nil
}

// adopt takes over a key that this process wrote without getting the answer. The
// renewal tells whether its lease still lives, and starts a term whose beginning
// is known.
func (k *Keeper) adopt(ctx context.Context, rec record.Record) error {
	sent := time.Now()
	if err := k.service.Renew(ctx, rec.Lease); err != nil {
		return err
	}
	k.take(rec.Created, rec.Lease, sent)
	return nil
}

// renew starts a new term. After a doubt it makes sure that the key is still the
// one that this process created.
func (k *Keeper) renew(ctx context.Context) error {
	_, doubt := k.InDoubt()
	k.mu.Lock()
	id, fence := k.lease, k.fence
	k.mu.Unlock()
	sent := time.Now()
	err := k.service.Renew(ctx, id)
	var lapsed *fault.LeaseLapsedError
	if errors.As(err, &lapsed) {
		k.lose("lease has lapsed")
		return nil
	}
	if err == nil && doubt {
		err = k.confirm(ctx, fence)
	}
	if err != nil {
		return err
	}
	k.mu.Lock()
	if k.fence == fence {
		k.granted = sent
	}
	k.mu.Unlock()
	if doubt {
		k.change()
	}
	return nil
}

func (k *Keeper) confirm(ctx context.Context, fence int64) error {
	rec, err := k.service.Get(ctx, Prefix+k.job)
	var missing *fault.NotFoundError
	if errors.As(err, &missing) || (err == nil && rec.Created != fence) {
		k.lose("key is another one's")
		return nil
	}
	return err
}

func (k *Keeper) take(fence, id int64, sent time.Time) {
	k.mu.Lock()
	k.fence, k.lease, k.granted, k.vacant = fence, id, sent, time.Time{}
	k.mu.Unlock()
	k.log.Info("holding the job", "job", k.job, "holder", k.holder, "fence", fence)
	k.change()
}

func (k *Keeper) lose(why string) {
	k.mu.Lock()
	fence := k.fence
	k.fence, k.lease = 0, 0
	k.mu.Unlock()
	k.log.Warn("lost the job", "job", k.job, "holder", k.holder, "fence", fence, "reason", why)
	k.change()
}

// drop gives back a lease that no key lives under.
func (k *Keeper) drop(ctx context.Context) {
	k.mu.Lock()
	id := k.lease
	k.lease = 0
	k.mu.Unlock()
	if err := k.service.Revoke(ctx, id); err != nil {
		k.log.Debug("unused lease is left to lapse", "lease", id, "err", err)
	}
}

// handBack ends the lease, and the key with it, so that the next holder need not
// wait for the term. It first stops claiming the job.
func (k *Keeper) handBack() {
	k.mu.Lock()
	id, fence := k.lease, k.fence
	k.fence, k.lease = 0, 0
	k.mu.Unlock()
	if id == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), k.term/renewals)
	defer cancel()
	if err := k.service.Revoke(ctx, id); err != nil {
		k.log.Warn("could not hand the job back; it lapses by itself", "job", k.job, "fence", fence, "err", err)
	}
	if fence != 0 {
		k.change()
	}
}

// Holder reads the record of a job's key: who holds it, where, and with which
// fencing number.
func Holder(rec record.Record) (instance, address string, fence int64, err error) {
	var held claim
	if err := json.Unmarshal(rec.Value, &held); err != nil {
		return "", "", 0, errors.Wrapf(err, "reading the holder of %s", rec.Key)
	}
	return held.Holder, held.Address, rec.Created, nil
}
