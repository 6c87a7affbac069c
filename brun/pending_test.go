package brun

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/gomega"

	"github.com/lavendermux/lavendermux/batch"
	"github.com/lavendermux/lavendermux/bstore"
	"github.com/lavendermux/lavendermux/epset"
	"github.com/lavendermux/lavendermux/kvst"
	"github.com/lavendermux/lavendermux/seal"
)

const (
	// createdRevision is the revision that fakeCreate gives to a batch.
	createdRevision = 1000
	// runTime is longer than an item runs at an engine with the interval fastEvents.
	runTime    = 2 * time.Second
	fastEvents = 10 * time.Millisecond
)

var (
	errAway     = errors.New("the store is unavailable")
	threeCopies = []batch.Replica{{Instance: "d1", Disk: "1"}, {Instance: "d2", Disk: "2"}, {Instance: "d3", Disk: "3"}}
)

type (
	// fakeCreate creates a batch at an unavailable store: it doesn't answer until its ctx ends.
	fakeCreate struct {
		mu sync.Mutex
		// isUp is set once the store is available, and err is then its answer.
		isUp  bool
		err   error
		calls []bstore.Record
	}

	// fakeReplicas are replicas that can be out of reach.
	fakeReplicas struct {
		mu       sync.Mutex
		err      error
		appended []batch.Result
		appends  int
		drops    int
	}
)

func (c *fakeCreate) store(ctx context.Context, rec *bstore.Record) error {
	c.mu.Lock()
	c.calls = append(c.calls, *rec)
	c.mu.Unlock()
	rec.BodyChunks = 1 // a failed call must not leave this behind
	for {
		c.mu.Lock()
		isUp, err := c.isUp, c.err
		c.mu.Unlock()
		if isUp {
			rec.Revision = createdRevision
			return err
		}
		select {
		case <-ctx.Done():
			return errAway
		case <-time.After(10 * time.Millisecond):
		}
	}
}

func (c *fakeCreate) answer(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isUp, c.err = true, err
}

func (c *fakeCreate) count() int { return len(c.records()) }

// records returns the records with which the create was called.
func (c *fakeCreate) records() []bstore.Record {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.calls
}

// Choose implements Replicas.
func (f *fakeReplicas) Choose(_ string, current []batch.Replica) []batch.Replica { return current }

// Append implements Replicas.
func (f *fakeReplicas) Append(_ context.Context, _ string, epoch int64, replicas []batch.Replica, from, stored int, results []batch.Result) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.appends++
	if f.err != nil {
		return f.err
	}
	if epoch != 1 || len(replicas) != len(threeCopies) || stored != 0 || from != len(f.appended) {
		return errors.Newf("epoch %d, %d replicas, results from %d after %d: not those of the record", epoch, len(replicas), from, stored)
	}
	f.appended = append(f.appended, results[from-stored:]...)
	return nil
}

// Confirm implements Replicas.
func (f *fakeReplicas) Confirm(context.Context, string, int64, []batch.Replica) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.err
}

// Drop implements Replicas.
func (f *fakeReplicas) Drop(context.Context, string, int64, []batch.Replica, int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.drops++
}

func (f *fakeReplicas) fail(err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.err = err
}

func (f *fakeReplicas) counts() (appended, appends, drops int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.appended), f.appends, f.drops
}

// outage is a runner with a pending batch of ID "b", whose store is unavailable.
type outage struct {
	*Runner
	ctx      context.Context
	create   *fakeCreate
	replicas *fakeReplicas
	kv       *fakeStore
}

// withPending calls f with a pending batch of two items, accepted at the time since.
func withPending(t *testing.T, since time.Duration, f func(g *WithT, o *outage)) {
	t.Helper()
	withRunner(t, map[string]time.Duration{"a": fastEvents}, func(ctx context.Context, g *WithT, r *Runner, _ *fakeEngines, _ *epset.Registry) {
		o := &outage{Runner: r, ctx: ctx, create: &fakeCreate{}, replicas: &fakeReplicas{}, kv: &fakeStore{}}
		r.store, r.replicas = bstore.New(o.kv), o.replicas
		o.add("b", since)
		f(g, o)
	})
}

func (o *outage) add(id string, since time.Duration) {
	sub := &batch.Submission{ID: id, Host: "h", Target: "/b/", Model: "m", RequiredGroups: 1}
	for n := range 2 {
		sub.Items = append(sub.Items, batch.Item{ID: fmt.Sprint(id, "-", n), Body: []byte("x"), ExpectedTokens: events * stride})
	}
	head := batch.Head{Owner: "me", Epoch: 1, Replicas: threeCopies}
	o.AddPending(o.ctx, bstore.Record{ID: id, Head: head, AcceptedAt: time.Now().Add(-since)}, sub, o.create.store)
}

// listed returns the number of results that can be read.
func (o *outage) listed(g *WithT, id string) int {
	page, err := o.Read(o.ctx, id, 0, 1<<20, 0)
	g.Expect(err).NotTo(HaveOccurred())
	return len(page.Results)
}

func (o *outage) commits() []kvst.Txn {
	o.kv.mu.Lock()
	defer o.kv.mu.Unlock()
	return o.kv.commits
}

func (o *outage) removed() []string {
	o.kv.mu.Lock()
	defer o.kv.mu.Unlock()
	return o.kv.removed
}

// The items of a pending batch finish while too few replicas can be reached. If their results
// were listed, a trainer could read one that is lost with this instance and differs at its
// successor. They are listed once enough replicas have them, with the store still away.
func TestPendingIsListedFromReplicasOnly(t *testing.T) {
	withPending(t, 0, func(g *WithT, o *outage) {
		o.replicas.fail(errors.New("one of three copies"))
		time.Sleep(runTime)
		_, appends, _ := o.replicas.counts()
		g.Expect(appends).To(BeNumerically(">", 0))
		_, err := o.Read(o.ctx, "b", 0, 1<<20, 0)
		g.Expect(err).To(BeAssignableToTypeOf(&UnconfirmedError{}))
		o.replicas.fail(nil)
		time.Sleep(replicateRetryDelay + 2*sweepInterval)
		appended, _, drops := o.replicas.counts()
		g.Expect(appended).To(Equal(2))
		g.Expect(drops).To(BeZero())
		g.Expect(o.listed(g, "b")).To(Equal(2))
	})
}

// Nothing of a batch may be written before the store has its head: the writes would expect that
// there is none, and the batch could be stored without its submission. After the create, results
// go to the store, each write expects the create's revision, and only then the replicas drop
// theirs: a successor finds them in one place or in the other.
func TestNothingIsWrittenBeforeTheCreate(t *testing.T) {
	withPending(t, 0, func(g *WithT, o *outage) {
		time.Sleep(4 * flushTimeout)
		g.Expect(o.listed(g, "b")).To(Equal(2))
		g.Expect(o.commits()).To(BeEmpty())
		g.Expect(o.create.count()).To(Equal(4))
		for _, rec := range o.create.records() {
			g.Expect([]int64{rec.Revision, rec.Epoch, int64(rec.BodyChunks)}).To(Equal([]int64{0, 1, 0}))
		}
		o.create.answer(nil)
		time.Sleep(time.Second)
		g.Expect(o.create.count()).To(Equal(4))
		g.Expect(o.commits()).To(HaveLen(1))
		g.Expect(o.commits()[0].Expect).To(HaveKeyWithValue(bstore.HeadPrefix+"b", int64(createdRevision)))
		_, _, drops := o.replicas.counts()
		g.Expect(drops).To(Equal(1))
		g.Expect(o.listed(g, "b")).To(Equal(2))
		g.Expect(o.End(o.ctx, "b")).To(Succeed())
	})
}

// Items still run when the store has become available. Their partial text and their results must
// be written as for any other batch; if the batch stayed in the state of the outage, its trainer
// would wait forever.
func TestStoredWhileItemsRun(t *testing.T) {
	withPending(t, 0, func(g *WithT, o *outage) {
		time.Sleep(500 * time.Millisecond)
		o.create.answer(nil)
		time.Sleep(progressInterval / 2)
		g.Expect(o.commits()).To(HaveLen(1), "partial text")
		time.Sleep(runTime)
		_, appends, _ := o.replicas.counts()
		g.Expect(appends).To(BeZero())
		g.Expect(o.listed(g, "b")).To(Equal(2))
	})
}

// Another instance has acquired the right to accept, so that the create is fenced. The batch must
// be dropped: it would run twice. Its listed results stay on the replicas, where the successor
// reads them, and nothing more is sent to the store.
func TestFencedCreateDropsTheBatch(t *testing.T) {
	withPending(t, 0, func(g *WithT, o *outage) {
		time.Sleep(runTime)
		g.Expect(o.listed(g, "b")).To(Equal(2))
		ended := make(chan error)
		go func() { ended <- o.End(o.ctx, "b") }()
		o.create.answer(&bstore.FencedError{ID: "b"})
		var notFound *NotFoundError
		g.Expect(errors.As(<-ended, &notFound)).To(BeTrue(), "the end must go to the next owner")
		g.Expect(o.Has("b")).To(BeFalse())
		calls := o.create.count()
		time.Sleep(2 * flushTimeout)
		g.Expect(o.create.count()).To(Equal(calls))
		g.Expect(o.commits()).To(BeEmpty())
		_, _, drops := o.replicas.counts()
		g.Expect(drops).To(BeZero())
	})
}

// A successor has sealed the replicas while the store hasn't answered the create. The batch must
// be dropped, and the create not be called forever for a batch that nobody has any more.
func TestSealedReplicasDropThePendingBatch(t *testing.T) {
	withPending(t, 0, func(g *WithT, o *outage) {
		o.replicas.fail(&seal.FencedError{RequestEpoch: 1, ReplicaEpoch: 2})
		time.Sleep(runTime)
		g.Expect(o.Has("b")).To(BeFalse())
		time.Sleep(flushTimeout)
		calls := o.create.count()
		time.Sleep(2 * flushTimeout)
		g.Expect(o.create.count()).To(Equal(calls))
	})
}

// A trainer ends a batch that the store lacks. If the end were acknowledged and this instance
// lost, the successor would run the batch again. The end waits until the store has the batch and
// then its end, in this order; what was listed stays readable.
func TestEndWhilePending(t *testing.T) {
	withPending(t, 0, func(g *WithT, o *outage) {
		time.Sleep(runTime)
		short, cancel := context.WithTimeout(o.ctx, time.Second)
		defer cancel()
		g.Expect(o.End(short, "b")).To(MatchError(context.DeadlineExceeded))
		g.Expect(o.commits()).To(BeEmpty())
		g.Expect(o.listed(g, "b")).To(Equal(2))
		ended := make(chan error)
		go func() { ended <- o.End(o.ctx, "b") }()
		time.Sleep(2 * flushTimeout)
		g.Expect(ended).NotTo(Receive())
		o.create.answer(nil)
		g.Expect(<-ended).To(Succeed())
		g.Expect(o.commits()).To(HaveLen(1))
		g.Expect(o.listed(g, "b")).To(Equal(2))
	})
}

// A pending batch is older than any batch is kept. If it expired, an accepted submission would
// never be stored, and its removal would expect that there is no head and delete the body of the
// batch that a successor has stored. Once stored, it expires like any other.
func TestPendingDoesNotExpire(t *testing.T) {
	withPending(t, 2*maxOpenAge, func(g *WithT, o *outage) {
		time.Sleep(runTime)
		g.Expect(o.Has("b")).To(BeTrue())
		g.Expect(o.listed(g, "b")).To(Equal(2))
		g.Expect(o.commits()).To(BeEmpty())
		o.create.answer(nil)
		time.Sleep(time.Second)
		g.Expect(o.Has("b")).To(BeFalse())
		g.Expect(o.removed()).To(ContainElement(bstore.HeadPrefix + "b"))
	})
}

// The instance stops during the outage. Stop must not wait for the store beyond its limit, and a
// batch whose acceptance overlaps with the stop must stay readable and be stored, but not start:
// dropping it would lose it until a successor reads the replicas.
func TestStopWhilePending(t *testing.T) {
	withPending(t, 0, func(g *WithT, o *outage) {
		time.Sleep(runTime)
		start := time.Now()
		o.Stop(o.ctx)
		g.Expect(time.Since(start)).To(BeNumerically("<=", stopSaveTimeout))
		g.Expect(o.listed(g, "b")).To(Equal(2))
		o.add("late", 0)
		time.Sleep(runTime)
		g.Expect(o.listed(g, "late")).To(BeZero())
		g.Expect(o.QueuedItems()).To(Equal(map[string]int{"lm": 2}))
		o.create.answer(nil)
		time.Sleep(time.Second)
		g.Expect(o.create.count()).To(BeNumerically(">", 1))
		g.Expect(o.End(o.ctx, "late")).To(Succeed())
	})
}

// Peers find a pending batch by what its owner reports, as the store doesn't name it. A batch
// that is missing there would be answered as unknown.
func TestPendingIsReported(t *testing.T) {
	withPending(t, time.Minute, func(g *WithT, o *outage) {
		g.Expect(o.QueuedItems()).To(Equal(map[string]int{"lm": 2}))
		g.Expect(o.Holding()).To(Equal(map[string]int64{"b": 1}))
		g.Expect(o.Ages()).To(HaveKeyWithValue("b", BeNumerically(">=", 60_000)))
		g.Expect(o.Demand()).To(Equal(map[string]float64{"m": 2 * events * stride}))
		body, err := o.Body("b", "b-1")
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(body).To(Equal([]byte("x")))
		o.add("b", 0) // added again, as by a repeated submission
		time.Sleep(time.Second)
		g.Expect(o.create.count()).To(Equal(1))
	})
}

// A page, and the lines about the list of its batch, tell how much of the list only replicas have: a
// result that is missing later was lost with them, and not in the store.
func TestPageTellsWhatTheStoreHas(t *testing.T) {
	withRunner(t, map[string]time.Duration{"a": fastEvents}, func(ctx context.Context, g *WithT, r *Runner, e *fakeEngines, _ *epset.Registry) {
		o := &outage{Runner: r, ctx: ctx, create: &fakeCreate{}, replicas: &fakeReplicas{}}
		r.replicas = o.replicas
		o.add("b", 0)
		time.Sleep(runTime)
		page, err := r.Read(ctx, "b", 0, 1<<20, 0)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(page.Results).To(HaveLen(2))
		page.Results = nil
		g.Expect(page).To(Equal(Page{Total: 2, Next: 2, Epoch: 1, Length: 2, Pending: true, Final: true}))
		o.create.answer(nil)
		time.Sleep(runTime)
		page, err = r.Read(ctx, "b", 2, 1<<20, 0)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(page).To(Equal(Page{Total: 2, Next: 2, Results: []batch.Result{}, Epoch: 1, Revision: page.Revision, Length: 2, Stored: 2, Final: true}))
		g.Expect(page.Revision).NotTo(BeZero())
		r.Drop("b", "taken over")
		e.mu.Lock()
		defer e.mu.Unlock()
		g.Expect(e.log.String()).To(And(
			MatchRegexp(`msg="Batch held." batch=b epoch=1 revision=0 .*results=0 `),
			MatchRegexp(`msg="Results stored on copies." batch=b epoch=1 .*all=2 `),
			MatchRegexp(`msg="Results kept." batch=b epoch=1 results=2 .*all=2 length=2 `),
			MatchRegexp(`msg="Batch dropped." batch=b epoch=1 revision=\d+ length=2 stored=2 `)))
	})
}
