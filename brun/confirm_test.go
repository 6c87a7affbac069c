package brun

import (
	"context"
	"encoding/json"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/gomega"

	"github.com/lavendermux/lavendermux/batch"
	"github.com/lavendermux/lavendermux/bstore"
	"github.com/lavendermux/lavendermux/endpt"
	"github.com/lavendermux/lavendermux/epset"
	"github.com/lavendermux/lavendermux/kvst"
)

// The owner of a batch waits for a free slot while a successor takes the batch over and its caller ends
// it. The items must not start here once there is a slot.
func TestItemsOfAReplacedOwnerDontStart(t *testing.T) {
	withRunner(t, nil, func(ctx context.Context, g *WithT, r *Runner, e *fakeEngines, set *epset.Registry) {
		raw, err := json.Marshal(batch.Head{Owner: "successor", Epoch: 2, Ended: true})
		g.Expect(err).NotTo(HaveOccurred())
		kv := &fakeStore{commits: []kvst.Txn{{Puts: []kvst.Put{{Key: bstore.HeadPrefix + "b", Value: raw}}}}}
		r.store = bstore.New(kv)
		addBatch(ctx, r, "b", 2)
		time.Sleep(startLease)
		set.Put(endpt.Endpoint{ID: "a", Service: "lm", Slots: slots, Versions: map[string]int64{"m": 1}})
		r.Wake()
		time.Sleep(time.Second)
		g.Expect(e.lastSent).To(BeEmpty())
		g.Expect(r.Has("b")).To(BeFalse())
	})
}

// The owner can't tell whether it still owns the batch, as the store is unavailable and there are no
// replicas. Its items must start all the same: an outage would otherwise stop all work.
func TestItemsStartInAnOutage(t *testing.T) {
	withRunner(t, nil, func(ctx context.Context, g *WithT, r *Runner, e *fakeEngines, set *epset.Registry) {
		addBatch(ctx, r, "b", 2)
		time.Sleep(startLease)
		set.Put(endpt.Endpoint{ID: "a", Service: "lm", Slots: slots, Versions: map[string]int64{"m": 1}})
		r.Wake()
		time.Sleep(startWait + 2*sweepInterval)
		g.Expect(e.lastSent).NotTo(BeEmpty())
		g.Expect(r.Has("b")).To(BeTrue())
	})
}

// The write with the end of a batch and its last results has taken effect without an answer. Others serve
// the batch as ended from then on, without a claim, so that the record still names this instance: it must
// not say that there are no more results.
func TestReadsWhileTheEndHasNoAnswer(t *testing.T) {
	withRunner(t, map[string]time.Duration{"a": fastEvents}, func(ctx context.Context, g *WithT, r *Runner, _ *fakeEngines, _ *epset.Registry) {
		kv := &fakeStore{}
		r.store = bstore.New(kv)
		addBatch(ctx, r, "b", 3*slots)
		_, err := r.Read(ctx, "b", 0, 1<<20, runTime)
		g.Expect(err).NotTo(HaveOccurred())
		time.Sleep(events * fastEvents) // others finish before the next write
		kv.setMute(true)
		page, err := r.Read(ctx, "b", 0, 1<<20, 0)
		g.Expect(err).NotTo(HaveOccurred())
		ended := make(chan error, 1)
		go func() { ended <- r.End(ctx, "b") }()
		time.Sleep(readLease + time.Second)
		var head batch.Head
		item, err := kv.Get(ctx, bstore.HeadPrefix+"b")
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(json.Unmarshal(item.Value, &head)).To(Succeed())
		g.Expect(head.Ended).To(BeTrue())
		g.Expect(head.Results).To(BeNumerically(">", page.Next))
		_, err = r.Read(ctx, "b", page.Next, 1<<20, 0)
		var unconfirmed *UnconfirmedError
		g.Expect(errors.As(err, &unconfirmed)).To(BeTrue(), "error %v", err)
		kv.setMute(false)
		g.Expect(<-ended).To(Succeed())
		page, err = r.Read(ctx, "b", page.Next, 1<<20, 0)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(page.Next).To(Equal(head.Results))
	})
}
