package node

import (
	"bytes"
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/lavendermux/lavendermux/broute"
	"github.com/lavendermux/lavendermux/bstore"
	"github.com/lavendermux/lavendermux/kvst"
)

const (
	// retirementInterval is the interval of checks whether a disk that is to be emptied is still
	// needed. An owner takes 0.8 s to replace it in the record of a batch that writes nothing else.
	retirementInterval = 500 * time.Millisecond
	// retirementRepeat is the interval at which a retirement that waits is logged, and batches without
	// an owner are offered to others.
	retirementRepeat = 3 * time.Second
	// absentAfter is how long an instance must be away before another one reports its retirement. By
	// then all others know of the request, so that none names the disk in a new record.
	absentAfter = 2 * time.Second
	// maxLogUsers is the maximum number of batches and of models in a log line.
	maxLogUsers = 8
)

type (
	// retirements are the instances that the operator wants emptied.
	retirements struct {
		mu    sync.Mutex
		names map[string]bool
		// changed is signalled when a request arrives.
		changed chan struct{}
	}

	// retirement is one under way, of this instance or of one that is absent.
	retirement struct {
		instance string
		isDone   bool
		// isBegun is set once the record says that the retirement runs. revision is that of the record.
		isBegun  bool
		revision int64
		since    time.Time
		// absentSince is when the instance was first found absent, zero while it is alive.
		absentSince time.Time
		repeatedAt  time.Time
		// gone has the batches with results on this instance's disk that no longer exist.
		gone map[string]bool
	}
)

func newRetirements() retirements {
	return retirements{names: make(map[string]bool), changed: make(chan struct{}, 1)}
}

// SetRetiring records whether the operator wants an instance emptied.
func (b *State) SetRetiring(instance string, wanted bool) {
	b.retirements.mu.Lock()
	defer b.retirements.mu.Unlock()
	if !wanted {
		delete(b.retirements.names, instance)
		return
	}
	b.retirements.names[instance] = true
	select {
	case b.retirements.changed <- struct{}{}:
	default:
	}
}

// RetainRetiring drops the requests to empty instances other than these.
func (b *State) RetainRetiring(instances []string) {
	b.retirements.mu.Lock()
	defer b.retirements.mu.Unlock()
	maps.DeleteFunc(b.retirements.names, func(name string, _ bool) bool { return !slices.Contains(instances, name) })
}

// IsRetiring reports whether the operator wants an instance emptied.
func (b *State) IsRetiring(instance string) bool {
	b.retirements.mu.Lock()
	defer b.retirements.mu.Unlock()
	return b.retirements.names[instance]
}

func (b *State) retiring() []string {
	b.retirements.mu.Lock()
	defer b.retirements.mu.Unlock()
	return slices.Sorted(maps.Keys(b.retirements.names))
}

// retire empties the disk of this instance when the operator requests it, and reports the retirement
// of instances that are absent. It is completed once nothing needs the disk any more, however long that
// takes: the operator then removes the disk, and another one may be lost at the same moment.
func (n *Node) retire(ctx context.Context) {
	known := make(map[string]*retirement)
	t := time.NewTicker(retirementInterval)
	defer t.Stop()
	for {
		names := n.state.retiring()
		maps.DeleteFunc(known, func(name string, _ *retirement) bool { return !slices.Contains(names, name) })
		isReporter := len(names) > 0 && n.reportsRetirements()
		for _, name := range names {
			r, ok := known[name]
			if !ok {
				r = &retirement{instance: name, since: time.Now(), gone: make(map[string]bool)}
				known[name] = r
			}
			if !r.isDone && (name == n.cfg.Instance || n.isLongAbsent(r, isReporter)) {
				n.advanceRetirement(ctx, r)
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-n.state.retirements.changed:
		case <-t.C:
		}
	}
}

// advanceRetirement does the next step of a retirement, of this instance or of one that is absent.
func (n *Node) advanceRetirement(ctx context.Context, r *retirement) {
	if !r.isBegun && !n.beginRetirement(ctx, r) {
		return
	}
	use, err := n.diskUse(ctx, r)
	if err == nil && use.IsNone() {
		r.isDone = n.recordRetirement(ctx, r, true)
		return
	}
	if time.Since(r.repeatedAt) < retirementRepeat {
		return
	}
	r.repeatedAt = time.Now()
	n.logger.Info("Instance not emptied yet.", "retired", r.instance, "batches", firstOf(use.Batches), "batchCount", len(use.Batches), "models", firstOf(use.Models),
		"modelCount", len(use.Models), "unstored", use.Unstored, "error", err, "took", time.Since(r.since).Round(time.Millisecond))
	n.router.EnsureOwned(use)
	if r.instance == n.cfg.Instance {
		n.router.HandOver(ctx)
	}
}

// reportsRetirements reports whether this instance reports those of absent instances. One that is cut
// off from all others can't tell which are absent.
func (n *Node) reportsRetirements() bool { return n.controller.Plans() && len(n.mesh.Alive()) > 0 }

// isLongAbsent reports whether an instance has been away for some time while this one would report its
// retirement.
func (n *Node) isLongAbsent(r *retirement, isReporter bool) bool {
	if !isReporter || n.mesh.IsAlive(r.instance) {
		r.absentSince = time.Time{}
		return false
	}
	if r.absentSince.IsZero() {
		r.absentSince = time.Now()
	}
	return time.Since(r.absentSince) >= absentAfter
}

// beginRetirement writes that a retirement runs and begins it. It reports whether the disk's use is to
// be checked: not if the store doesn't answer, or says that the retirement is completed already.
func (n *Node) beginRetirement(ctx context.Context, r *retirement) bool {
	key, running := n.adapters.RetirementRecord(r.instance, false)
	it, err := n.store.Get(ctx, key)
	if err != nil {
		return false
	}
	r.revision = it.Revision
	if r.instance != n.cfg.Instance { // which writes that it runs if it comes back
		_, completed := n.adapters.RetirementRecord(r.instance, true)
		r.isBegun, r.isDone = true, bytes.Equal(it.Value, completed)
		return !r.isDone
	}
	// The status may be that of an earlier instance of this name: the record of the disk decides.
	if r.isDone, err = n.isOwnDiskRetired(ctx); err != nil {
		return false
	}
	if !r.isDone && !bytes.Equal(it.Value, running) && !n.recordRetirement(ctx, r, false) {
		return false
	}
	if err := n.replicas.CloseDisk(); err != nil {
		n.logger.Error("Disk not closed yet.", "retired", r.instance, "error", err)
		return false
	}
	r.isBegun = true
	n.router.HandOver(ctx)
	return !r.isDone
}

// isOwnDiskRetired reports whether this instance's disk is recorded as emptied.
func (n *Node) isOwnDiskRetired(ctx context.Context) (bool, error) {
	disk := n.mesh.Self().Disk
	if disk == "" {
		return false, nil
	}
	it, err := n.store.Get(ctx, bstore.RetiredDisk(disk, n.cfg.Instance).Key)
	return it.Revision > 0, err
}

// diskUse returns what needs the disk of an instance. This instance has closed its disk before.
func (n *Node) diskUse(ctx context.Context, r *retirement) (broute.DiskUse, error) {
	if r.instance != n.cfg.Instance {
		return n.router.UseOfDisk(ctx, r.instance)
	}
	pending := slices.DeleteFunc(n.replicas.Pending(), func(id string) bool { return r.gone[id] })
	use, err := n.router.UseOfOwnDisk(ctx, pending)
	for _, id := range use.Gone {
		r.gone[id] = true
	}
	return use, err
}

// recordRetirement writes the progress of a retirement, if its record is still the one that is known,
// and reports whether it did. Otherwise the record is read again before the next write: one without an
// answer may take effect later. When a retirement is completed, this instance's disk is recorded as
// emptied, so that no successor waits for it.
func (n *Node) recordRetirement(ctx context.Context, r *retirement, done bool) bool {
	key, value := n.adapters.RetirementRecord(r.instance, done)
	txn := kvst.Txn{Expect: map[string]int64{key: r.revision}, Puts: []kvst.Put{{Key: key, Value: value}}}
	if disk := n.mesh.Self().Disk; done && r.instance == n.cfg.Instance && disk != "" {
		txn.Puts = append(txn.Puts, bstore.RetiredDisk(disk, r.instance))
	}
	revision, err := n.store.Commit(ctx, txn)
	n.logger.Info("Instance retirement status written.", "retired", r.instance, "done", done, "error", err)
	if err != nil {
		r.isBegun = false
		return false
	}
	r.revision = revision
	return true
}

// firstOf returns the first few names for a log line.
func firstOf(names []string) []string { return names[:min(len(names), maxLogUsers)] }
