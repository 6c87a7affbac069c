package entry

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/lavendermux/lavendermux/fault"
	"github.com/lavendermux/lavendermux/insts"
	"github.com/lavendermux/lavendermux/keyown"
	"github.com/lavendermux/lavendermux/keyval"
	"github.com/lavendermux/lavendermux/object"
)

const (
	// keyOwnersInterval is how often the instance list is compared with the list of
	// key owners.
	keyOwnersInterval = 5 * time.Second
	// ownerRemovalDelay is how long an instance must be missing from the instance list
	// before its keys get another owner. The platform removes an instance from the
	// list only when it is gone; the delay covers a list that was read from a stale
	// replica.
	ownerRemovalDelay = 15 * time.Second
)

var errNoDisk = errors.New("this instance has no disk")

// runKeyOwners maintains the list of a plain service's endpoints that own
// idempotency keys.
func (e *Entry) runKeyOwners(ctx context.Context, service string) {
	tick := time.NewTicker(keyOwnersInterval)
	defer tick.Stop()
	missing := map[string]time.Time{}
	start := time.Now()
	for {
		allowPartial := time.Since(start) >= ownerRemovalDelay
		if err := e.updateKeyOwners(ctx, service, missing, allowPartial, time.Now()); err != nil {
			e.log.Warn("list of homes (key owners) not up to date", "service", service, "err", err)
		}
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
	}
}

func (e *Entry) updateKeyOwners(
	ctx context.Context, service string, missing map[string]time.Time, allowPartial bool, now time.Time,
) error {
	listed, err := e.list.List(ctx)
	if err != nil {
		return err
	}
	key := object.Key(object.KindKeyOwners, service)
	old, revision, err := e.readKeyOwners(ctx, key)
	if err != nil {
		return err
	}
	next := nextKeyOwners(old, endpointsOf(listed, service), missing, now)
	if slices.Equal(old, next) {
		return nil
	}
	list := keyown.Owners{Sidecars: next}
	if revision == keyval.Absent {
		list.InitialIncarnations = e.incarnations(next)
		if len(list.InitialIncarnations) < len(next) && !allowPartial {
			// A sidecar whose first heartbeat is about to arrive would otherwise have to
			// reject calls with keys for a complete IdempotencyKeyTTL.
			return nil
		}
	}
	return e.writeKeyOwners(ctx, service, key, list, revision)
}

// incarnations returns the incarnations of the sidecars that are known and live.
func (e *Entry) incarnations(sidecars []string) map[string]int64 {
	out := map[string]int64{}
	for _, id := range sidecars {
		if ep := e.view.Endpoint(id); ep != nil && !ep.GetGone() {
			out[id] = ep.GetBoot()
		}
	}
	return out
}

func endpointsOf(listed []insts.Instance, service string) []string {
	var out []string
	for _, i := range listed {
		if i.Role == insts.RoleEndpoint && i.Service == service {
			out = append(out, i.ID)
		}
	}
	return out
}

// nextKeyOwners adds new endpoints and removes those that have been missing for
// ownerRemovalDelay. It records in missing since when each one is missing.
func nextKeyOwners(old, listed []string, missing map[string]time.Time, now time.Time) []string {
	var next []string
	for _, id := range old {
		if slices.Contains(listed, id) {
			delete(missing, id)
			next = append(next, id)
			continue
		}
		if missing[id].IsZero() {
			missing[id] = now
		}
		if now.Sub(missing[id]) < ownerRemovalDelay {
			next = append(next, id)
		}
	}
	next = append(next, listed...)
	slices.Sort(next)
	return slices.Compact(next)
}

func (e *Entry) readKeyOwners(ctx context.Context, key string) ([]string, int64, error) {
	rec, err := e.store.Get(ctx, key)
	var absent *fault.NotFoundError
	if errors.As(err, &absent) {
		return nil, keyval.Absent, nil
	}
	if err != nil {
		return nil, 0, err
	}
	var obj object.Object
	var spec keyown.Owners
	if err := json.Unmarshal(rec.Value, &obj); err != nil {
		return nil, 0, errors.Wrap(err, "decoding a list of homes")
	}
	if err := json.Unmarshal(obj.Spec, &spec); err != nil {
		return nil, 0, errors.Wrap(err, "decoding a list of homes")
	}
	return spec.Sidecars, rec.Revision, nil
}

// writeKeyOwners replaces the list at a revision. A lost response is harmless: the
// next round reads the outcome.
func (e *Entry) writeKeyOwners(ctx context.Context, service, key string, list keyown.Owners, revision int64) error {
	spec, err := json.Marshal(list)
	if err != nil {
		return errors.Wrap(err, "encoding a list of homes")
	}
	raw, err := json.Marshal(object.Object{
		APIVersion: object.APIVersion,
		Kind:       object.KindKeyOwners,
		Name:       service,
		Operation:  "homes",
		Spec:       spec,
	})
	if err != nil {
		return errors.Wrap(err, "encoding a list of homes")
	}
	if _, err := e.store.Put(ctx, key, raw, revision, 0); err != nil {
		return err
	}
	e.log.Info("list of homes (key owners) changed", "service", service, "doors", list.Sidecars)
	return nil
}
