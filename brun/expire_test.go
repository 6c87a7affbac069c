package brun

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/lavendermux/lavendermux/batch"
	"github.com/lavendermux/lavendermux/bstore"
	"github.com/lavendermux/lavendermux/wset"
)

// A submission expires while the store refuses writes. Its keys must be removed once
// the store is back: nobody holds it any longer, so that they would stay there for
// good, and the store would fill.
func TestRemovalIsTriedAgain(t *testing.T) {
	inRunner(t, map[string]time.Duration{"a": time.Millisecond}, func(ctx context.Context, g *WithT, r *Runner, _ *engines, _ *wset.Set) {
		k := &keeper{refuse: 1}
		r.store = bstore.New(k)
		old := time.Now().Add(-time.Hour)
		r.Add(ctx, bstore.Kept{ID: "b", Head: batch.Head{Holder: "me", Epoch: 1, Parts: 1, Ended: true}, Since: old},
			&batch.Submission{ID: "b"}, nil, nil)
		time.Sleep(time.Second)
		g.Expect(r.Holds("b")).To(BeFalse())
		k.mu.Lock()
		g.Expect(k.removed).To(BeEmpty())
		k.mu.Unlock()
		time.Sleep(expireRetry + time.Second)
		k.mu.Lock()
		defer k.mu.Unlock()
		g.Expect(k.removed).To(HaveLen(2))
	})
}
