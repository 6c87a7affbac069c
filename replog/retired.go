package replog

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/lavendermux/lavendermux/batch"
	"github.com/lavendermux/lavendermux/mesh"
)

const (
	// retiredInterval is the minimum interval at which the disks that were emptied are listed, while
	// replicas are out of reach. Batches that can't be continued are tried again each second.
	retiredInterval = 3 * time.Second
	// retiredTimeout bounds one list. The store answers in 4 ms, or in a quarter of a second when it is
	// slow.
	retiredTimeout = time.Second
)

// retiredDisks are the disks that are known to have been emptied.
type retiredDisks struct {
	list func(ctx context.Context) ([]string, error)

	mu       sync.Mutex
	known    map[string]bool
	listedAt time.Time
}

// WithRetiredDisks sets f, which returns the IDs of the disks that were emptied and taken away. Each of
// them was closed for good before no record needed it any more. By default there are none.
func WithRetiredDisks(f func(ctx context.Context) ([]string, error)) Option {
	return func(s *Log) { s.retired.list = f }
}

// existing returns the replicas that a seal must count: all but those on disks that were emptied. A
// record that names such a disk was written, or took effect, after that. The disk has refused its
// results, so that all that were listed are on one more of the other disks than may be lost.
func (s *Log) existing(ctx context.Context, liveDisks []mesh.Node, replicas []batch.Replica) []batch.Replica {
	if len(s.locate(liveDisks, replicas)) == len(replicas) {
		return replicas
	}
	s.retired.refresh(ctx)
	s.retired.mu.Lock()
	defer s.retired.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(replicas), func(c batch.Replica) bool { return s.retired.known[c.Disk] })
}

// refresh lists the disks unless that was done a moment ago. After an error the earlier ones are kept.
func (r *retiredDisks) refresh(ctx context.Context) {
	r.mu.Lock()
	isDue := r.list != nil && (r.listedAt.IsZero() || time.Since(r.listedAt) >= retiredInterval)
	if isDue {
		r.listedAt = time.Now()
	}
	r.mu.Unlock()
	if !isDue {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, retiredTimeout)
	defer cancel()
	disks, err := r.list(ctx)
	if err != nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, disk := range disks {
		r.known[disk] = true
	}
}
