package brun

import (
	"context"
	"encoding/json"
	"maps"
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
		g.Expect(e.sentItems()).To(BeEmpty())
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
		g.Expect(e.sentItems()).NotTo(BeEmpty())
		g.Expect(r.Has("b")).To(BeTrue())
	})
}

// sentItems returns the items that were sent, with the time of the last run.
func (e *fakeEngines) sentItems() map[string]time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	return maps.Clone(e.lastSent)
}

// slowStore answers reads of heads after a delay, or once their context ends.
type slowStore struct {
	kvst.Store
	delay time.Duration
	head  batch.Head
	reads int
}

func (s *slowStore) Get(ctx context.Context, key string) (kvst.Item, error) {
	s.reads++
	t := time.NewTimer(s.delay)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
		return kvst.Item{}, &kvst.UnknownOutcomeError{Cause: ctx.Err()}
	}
	raw, err := json.Marshal(s.head)
	return kvst.Item{Key: key, Value: raw, Revision: 1}, err
}

func (s *slowStore) Commit(ctx context.Context, _ kvst.Txn) (int64, error) {
	<-ctx.Done()
	return 0, &kvst.UnknownOutcomeError{Cause: ctx.Err()}
}

// A process is frozen during a check of ownership, which has no time left when it goes on. The check must
// end: no other one of the batch begins before, so that reads would be refused for good.
func TestConfirmationEndsWithItsTime(t *testing.T) {
	withRunner(t, nil, func(ctx context.Context, g *WithT, r *Runner, _ *fakeEngines, _ *epset.Registry) {
		r.store = bstore.New(&slowStore{delay: time.Hour})
		addBatch(ctx, r, "b", 2)
		checkCtx, cancel := context.WithTimeout(ctx, confirmStoreTime/2)
		defer cancel()
		done := make(chan error, 1)
		go func() {
			_, err := r.checkOwnership(checkCtx, r.tracked["b"])
			done <- err
		}()
		select {
		case err := <-done:
			g.Expect(err).To(HaveOccurred())
		case <-time.After(time.Minute):
			t.Error("the check doesn't end")
		}
	})
}

// The store refuses all calls, and callers ask for results, each of which starts a check of ownership.
// The items must start all the same.
func TestItemsStartInAnOutageWhileCallersRead(t *testing.T) {
	withRunner(t, nil, func(ctx context.Context, g *WithT, r *Runner, e *fakeEngines, set *epset.Registry) {
		addBatch(ctx, r, "b", 2)
		time.Sleep(startLease)
		set.Put(endpt.Endpoint{ID: "a", Service: "lm", Slots: slots, Versions: map[string]int64{"m": 1}})
		r.Wake()
		const pause = 100 * time.Millisecond
		for range 50 {
			_, _ = r.Read(ctx, "b", 0, 1<<20, 0) // refused, as nothing confirms the ownership
			time.Sleep(pause)
		}
		g.Expect(e.sentItems()).NotTo(BeEmpty())
	})
}

// The store names the owner, in more time than a confirmation is used for, and there are no replicas. Reads
// must be answered, and not ask the store again and again until the caller gives up.
func TestReadsWithASlowStore(t *testing.T) {
	withRunner(t, nil, func(ctx context.Context, g *WithT, r *Runner, _ *fakeEngines, _ *epset.Registry) {
		store := &slowStore{delay: readLease + 100*time.Millisecond, head: batch.Head{Owner: "me", Epoch: 1}}
		r.store = bstore.New(store)
		addBatch(ctx, r, "b", 2)
		time.Sleep(2 * time.Second)
		defer time.Sleep(2 * confirmTimeout) // a check under way isn't ended with the runner
		ctx, cancel := context.WithTimeout(ctx, 10*time.Second)
		defer cancel()
		_, err := r.Read(ctx, "b", 0, 1<<20, 0)
		g.Expect(err).NotTo(HaveOccurred(), "after %d reads of the store", store.reads)
	})
}

// A result is listed while a read waits for a check of ownership, which fails. The read must return it.
func TestReadReturnsResultListedDuringACheck(t *testing.T) {
	withRunner(t, nil, func(ctx context.Context, g *WithT, r *Runner, _ *fakeEngines, _ *epset.Registry) {
		r.store = bstore.New(&slowStore{delay: time.Hour})
		addBatch(ctx, r, "b", 2)
		time.Sleep(2 * time.Second)
		time.AfterFunc(500*time.Millisecond, func() {
			r.mu.Lock()
			defer r.mu.Unlock()
			b := r.tracked["b"]
			b.results = append(b.results, batch.Result{ID: "b-0", State: batch.Errored})
			b.published = 1
			b.notifyReaders()
		})
		start := time.Now()
		page, err := r.Read(ctx, "b", 0, 1<<20, 0)
		var unconfirmed *UnconfirmedError
		g.Expect(errors.As(err, &unconfirmed)).To(BeFalse(), "refused after %v", time.Since(start))
		g.Expect(page.Results).To(HaveLen(1))
		g.Expect(time.Since(start)).To(BeNumerically("<", confirmTimeout))
		time.Sleep(confirmTimeout) // the check ends
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
