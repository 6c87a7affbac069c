package broute

import (
	"context"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/lavendermux/lavendermux/batch"
	"github.com/lavendermux/lavendermux/bstore"
	"github.com/lavendermux/lavendermux/mesh"
	"github.com/lavendermux/lavendermux/walog"
)

// maxSought is the maximum number of batches whose owners are looked for at once.
const maxSought = 16

// DiskUse is what still needs the disk of an instance: results on it may be the only ones that
// another lost disk leaves, or a successor counts it among the replicas that it must reach.
type DiskUse struct {
	// Batches are the open batches whose records name the instance and whose results the store may
	// lack, and those of which the disk has results and the store no record. Models are those whose
	// log of submissions is on the instance.
	Batches, Models []string
	// Unstored is set while batches may be accepted that the store doesn't have.
	Unstored bool
	// Gone are the batches of which the disk has results and that no longer exist.
	Gone []string
	// unowned are those of Batches that no live instance is known to own.
	unowned []string
}

// IsNone reports whether nothing needs the disk.
func (u DiskUse) IsNone() bool { return len(u.Batches)+len(u.Models) == 0 && !u.Unstored }

// UseOfOwnDisk returns what needs the disk of this instance, as the store has it now. The disk must be
// closed, and pending are the logs with results on it: a batch that was accepted while the store was
// unavailable may have no record yet.
func (d *Router) UseOfOwnDisk(ctx context.Context, pending []string) (DiskUse, error) {
	heads, use, err := d.diskUse(ctx, d.mesh.Self().Name)
	if err != nil {
		return DiskUse{}, err
	}
	isStored := make(map[string]bool, len(heads))
	for _, head := range heads {
		isStored[head.ID] = true
	}
	pending = slices.DeleteFunc(slices.Clone(pending), func(id string) bool {
		return isStored[id] || strings.HasPrefix(id, walog.ReservedPrefix) // the record tells whether it is needed
	})
	for i, id := range pending {
		var none *NotFoundError
		if i < maxSought && errors.As(d.ensureOwned(id), &none) {
			use.Gone = append(use.Gone, id)
			continue
		}
		use.Batches = append(use.Batches, id)
	}
	return use, nil
}

// UseOfDisk returns what needs the disk of another instance, as the store has it now. The instance
// can't be asked which results it has. So a batch without a record, that has been accepted by an
// acceptor's log, may have some there.
func (d *Router) UseOfDisk(ctx context.Context, instance string) (DiskUse, error) {
	if d.hasUnstored(ctx) {
		return DiskUse{Unstored: true}, nil
	}
	_, use, err := d.diskUse(ctx, instance)
	return use, err
}

// diskUse returns the heads of all batches, and what needs the disk of an instance by the records. It
// reads the store itself, and not a list that another instance has read a moment ago.
func (d *Router) diskUse(ctx context.Context, instance string) ([]bstore.Record, DiskUse, error) {
	var use DiskUse
	heads, _, err := d.store.CurrentHeads(ctx)
	if err != nil {
		return nil, use, err
	}
	for _, head := range heads {
		if !needsSeal(head) || !isNamed(head.Replicas, instance) {
			continue
		}
		use.Batches = append(use.Batches, head.ID)
		_, isAlive := d.mesh.FindHolder(head.Owner)
		if _, isOwned := d.mesh.OwnerOf(head.ID); !isAlive && !isOwned && !d.runner.Has(head.ID) {
			use.unowned = append(use.unowned, head.ID)
		}
	}
	records, err := d.store.Intakes(ctx)
	var unreadable *bstore.DecodeError
	if err != nil && !errors.As(err, &unreadable) {
		return nil, use, err
	}
	for _, in := range records {
		if isNamed(in.Replicas, instance) {
			use.Models = append(use.Models, in.Model)
		}
	}
	return heads, use, nil
}

// EnsureOwned makes sure that batches that need a disk have live owners, which replace it in their
// records. An instance that is lost has successors that see to the same; they may be lost as well.
func (d *Router) EnsureOwned(u DiskUse) {
	for _, id := range u.unowned[:min(len(u.unowned), maxSought)] {
		go func() { _ = d.ensureOwned(id) }() // logged
	}
}

// hasUnstored reports whether batches may have been accepted that the store doesn't have.
func (d *Router) hasUnstored(ctx context.Context) bool {
	if d.isRecovering() {
		return true
	}
	for _, a := range d.ownAcceptors() {
		if a.pending() > 0 {
			return true
		}
	}
	for model, g := range d.mesh.Grants() {
		callCtx, cancel := context.WithTimeout(ctx, queryTimeout)
		res, err := mesh.Call[intakeRequest, intakeResponse](callCtx, d.mesh.Client(), g.Node.Addr, IntakePath, &intakeRequest{Model: model})
		cancel()
		if err != nil || res.Outcome != outcomeStored || res.Pending > 0 {
			return true
		}
	}
	return false
}

// needsSeal reports whether a successor must seal the replicas of a batch before it continues it: the
// store may lack results that were listed from them.
func needsSeal(rec bstore.Record) bool {
	return !rec.Ended && len(rec.Replicas) > 0 && rec.Results < rec.ItemCount
}

// isNamed reports whether one of the replicas is on the disk of an instance.
func isNamed(replicas []batch.Replica, instance string) bool {
	return slices.ContainsFunc(replicas, func(c batch.Replica) bool { return c.Instance == instance })
}
