package brun

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/lavendermux/lavendermux/batch"
	"github.com/lavendermux/lavendermux/bstore"
	"github.com/lavendermux/lavendermux/epset"
)

// A batch expires while the store refuses writes. Its keys must be removed once the store is
// available again: no instance has the batch any more, so that the keys would stay forever and
// the store would fill up.
func TestRemovalIsTriedAgain(t *testing.T) {
	withRunner(t, map[string]time.Duration{"a": time.Millisecond}, func(ctx context.Context, g *WithT, r *Runner, _ *fakeEngines, _ *epset.Registry) {
		kv := &fakeStore{refusals: 1}
		r.store = bstore.New(kv)
		old := time.Now().Add(-time.Hour)
		r.Add(ctx, bstore.Record{ID: "b", Head: batch.Head{Owner: "me", Epoch: 1, BodyChunks: 1, Ended: true}, AcceptedAt: old, ConfirmedAt: time.Now()},
			&batch.Submission{ID: "b"}, nil, nil)
		time.Sleep(time.Second)
		g.Expect(r.Has("b")).To(BeFalse())
		kv.mu.Lock()
		g.Expect(kv.removed).To(BeEmpty())
		kv.mu.Unlock()
		time.Sleep(removeRetryDelay + time.Second)
		kv.mu.Lock()
		defer kv.mu.Unlock()
		g.Expect(kv.removed).To(HaveLen(2))
	})
}
