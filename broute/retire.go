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

// maxSought is the maximum number of batches whose owners EnsureOwned looks for at once.
const maxSought = 16

// DiskUse is what still needs the disk of an instance: results on it may be the only ones that
// another lost disk leaves, or a successor counts it among the replicas that it must reach.
type DiskUse struct {
	// Batches are the open batches whose records name the instance and whose results the store may
	// lack, and those of which the disk has results and the store no record yet. Models are those whose
	// log of submissions is on the instance.
	Batches, Models []string
	// Unstored is the model of which batches may have been accepted that the store doesn't have, "" if
	// there is none or it doesn't matter.
	Unstored string
	// Gone are the batches of which the disk has results and that no longer exist.
	Gone []string
	// unowned are those of Batches that no live instance is known to own.
	unowned []string
}

// IsNone reports whether nothing needs the disk.
func (u DiskUse) IsNone() bool { return len(u.Batches)+len(u.Models) == 0 && u.Unstored == "" }

// UseOfOwnDisk returns what needs the disk of this instance, as the store has it now. The disk must be
// closed, and pending are the logs with results on it. A batch that was accepted while the store was
// unavailable may have no record yet: one without a record no longer exists only if the store has all
// accepted batches.
func (d *Router) UseOfOwnDisk(ctx context.Context, pending []string) (DiskUse, error) {
	records, err := d.intakes(ctx)
	if err != nil {
		return DiskUse{}, err
	}
	unstored := ""
	if len(pending) > 0 {
		unstored = d.unstoredModel(ctx, records)
	}
	heads, use, err := d.diskUse(ctx, d.mesh.Self().Name, records)
	if err != nil {
		return DiskUse{}, err
	}
	hasRecord := make(map[string]bool, len(heads))
	for _, head := range heads {
		hasRecord[head.ID] = true
	}
	for _, id := range pending {
		switch {
		case hasRecord[id], strings.HasPrefix(id, walog.ReservedPrefix): // the record tells whether it is needed
		case unstored == "":
			use.Gone = append(use.Gone, id)
		default:
			use.Batches, use.Unstored = append(use.Batches, id), unstored
		}
	}
	return use, nil
}

// UseOfDisk returns what needs the disk of another instance, as the store has it now. The instance
// can't be asked of which batches it has results. So any batch without a record may need the disk.
func (d *Router) UseOfDisk(ctx context.Context, instance string) (DiskUse, error) {
	records, err := d.intakes(ctx)
	if err != nil {
		return DiskUse{}, err
	}
	unstored := d.unstoredModel(ctx, records)
	_, use, err := d.diskUse(ctx, instance, records)
	use.Unstored = unstored
	return use, err
}

// intakes returns the intake records of all models. One that can't be decoded is left out: nobody can
// acquire its model.
func (d *Router) intakes(ctx context.Context) ([]bstore.Intake, error) {
	records, err := d.store.Intakes(ctx)
	var unreadable *bstore.DecodeError
	if errors.As(err, &unreadable) {
		return records, nil
	}
	return records, err
}

// diskUse returns the heads of all batches, and what needs the disk of an instance by these and by the
// intake records. It reads the store itself, and not a list that another instance has read a moment ago.
func (d *Router) diskUse(ctx context.Context, instance string, records []bstore.Intake) ([]bstore.Record, DiskUse, error) {
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
	for _, in := range records {
		if isNamed(in.Replicas, instance) {
			use.Models = append(use.Models, in.Model)
		}
	}
	return heads, use, nil
}

// unstoredModel returns a model of which batches may have been accepted before the call that the store
// doesn't have, or "". The holder of each intake record must say that there are none: a lost one may
// have left some in its log, which its successor stores.
func (d *Router) unstoredModel(ctx context.Context, records []bstore.Intake) string {
	for _, in := range records {
		res := d.acceptorState(in.Model)
		if in.Holder != d.self {
			n, isAlive := d.mesh.FindHolder(in.Holder)
			if !isAlive {
				return in.Model
			}
			callCtx, cancel := context.WithTimeout(ctx, queryTimeout)
			answer, err := mesh.Call[intakeRequest, intakeResponse](callCtx, d.mesh.Client(), n.Addr, IntakePath, &intakeRequest{Model: in.Model})
			cancel()
			if err != nil {
				return in.Model
			}
			res = *answer
		}
		if res.Outcome != outcomeStored || res.Epoch != in.Epoch || res.Pending > 0 {
			return in.Model
		}
	}
	return ""
}

// EnsureOwned makes sure that batches that need a disk have live owners, which replace it in their
// records. An instance that is lost has successors that see to the same; they may be lost as well.
func (d *Router) EnsureOwned(u DiskUse) {
	for _, id := range u.unowned[:min(len(u.unowned), maxSought)] {
		go func() { _ = d.ensureOwned(id) }() // logged
	}
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
