package loader

import (
	"context"
	"io"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/gomega"

	"github.com/lavendermux/lavendermux/logs"
)

// fakeEngine counts orders; it can lose responses and delay orders.
type fakeEngine struct {
	mu            sync.Mutex
	versions      map[string]int64
	running       int
	orders        int64
	loading       string
	received      []Order
	answersToLose int
	// id is the engine's identity; "" accepts any endpoint.
	id            string
	ordersToDelay int
}

func (e *fakeEngine) Report(context.Context) (Report, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := make(map[string]int64)
	for m, v := range e.versions {
		out[m] = v
	}
	return Report{Versions: out, Busy: e.loading != "", Orders: e.orders, Running: e.running}, nil
}

func (e *fakeEngine) Load(_ context.Context, o Order) (bool, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.received = append(e.received, o)
	if e.id != "" && o.Endpoint != e.id {
		return false, &GoneError{Endpoint: o.Endpoint}
	}
	if e.ordersToDelay > 0 {
		e.ordersToDelay--
		time.AfterFunc(3*time.Second, func() { e.accept(o) })
		return false, errors.New("no answer")
	}
	if !e.acceptLocked(o) {
		return false, errors.New("status 409")
	}
	if e.answersToLose > 0 {
		e.answersToLose--
		return false, errors.New("no answer")
	}
	return true, nil
}

func (e *fakeEngine) accept(o Order) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.acceptLocked(o)
}

func (e *fakeEngine) acceptLocked(o Order) bool {
	if o.Expected != e.orders || e.loading != "" {
		return false
	}
	e.orders++
	e.loading = o.Model
	time.AfterFunc(time.Second, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.loading = ""
		e.versions[o.Model] = o.Version
	})
	return true
}

func runLoader(t *testing.T, f func(g *WithT, e *fakeEngine, ld *Loader)) {
	synctest.Test(t, func(t *testing.T) {
		e := &fakeEngine{versions: map[string]int64{"a": 1, "b": 1}}
		ld := New("side-1", e, logs.New(io.Discard))
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		go ld.Run(ctx)
		f(NewWithT(t), e, ld)
		cancel()
		time.Sleep(time.Minute)
	})
}

// Two models are requested at once. The orders are sent one after the other, each
// after the previous load is done.
func TestOneAtATime(t *testing.T) {
	runLoader(t, func(g *WithT, e *fakeEngine, ld *Loader) {
		ld.Want(Want{Model: "a", Version: 3, Endpoint: "e", Incarnation: "e/1"})
		ld.Want(Want{Model: "b", Version: 2, Endpoint: "e", Incarnation: "e/1"})
		time.Sleep(4 * time.Second)
		g.Expect(e.versions).To(Equal(map[string]int64{"a": 3, "b": 2}))
		g.Expect(e.received).To(HaveLen(2))
	})
}

// The response to an order is lost though the engine accepted it. The order must not be
// repeated: the engine would load twice, and the second load would cut off requests
// started in between.
func TestAnswerLost(t *testing.T) {
	runLoader(t, func(g *WithT, e *fakeEngine, ld *Loader) {
		e.answersToLose = 1
		ld.Want(Want{Model: "a", Version: 2, Endpoint: "e", Incarnation: "e/1"})
		time.Sleep(4 * time.Second)
		g.Expect(e.received).To(HaveLen(1))
		g.Expect(e.versions["a"]).To(BeEquivalentTo(2))
	})
}

// An order reaches the engine three seconds late, after newer ones. It carries the
// number of orders before it, so the engine rejects it and keeps the newer version.
func TestLateOrder(t *testing.T) {
	runLoader(t, func(g *WithT, e *fakeEngine, ld *Loader) {
		e.ordersToDelay = 1
		ld.Want(Want{Model: "a", Version: 2, Endpoint: "e", Incarnation: "e/1"})
		time.Sleep(100 * time.Millisecond)
		ld.Want(Want{Model: "a", Version: 3, Endpoint: "e", Incarnation: "e/1"})
		time.Sleep(10 * time.Second)
		g.Expect(e.versions["a"]).To(BeEquivalentTo(3))
	})
}

// The process is killed, restarts without state, and receives an older request first.
// No order may carry a smaller fencing token than one before: an engine that checks
// tokens would reject it, and for one that doesn't, nothing would tell the two
// processes' orders apart.
func TestFenceAfterRestart(t *testing.T) {
	runLoader(t, func(g *WithT, e *fakeEngine, ld *Loader) {
		ld.Want(Want{Model: "b", Version: 9, Endpoint: "e", Incarnation: "e/1"})
		time.Sleep(3 * time.Second)
		restarted := New("side-1", e, logs.New(io.Discard))
		ctx, cancel := context.WithCancel(context.Background())
		go restarted.Run(ctx)
		restarted.Want(Want{Model: "a", Version: 2, Endpoint: "e", Incarnation: "e/1"})
		time.Sleep(3 * time.Second)
		cancel()
		for i := 1; i < len(e.received); i++ {
			g.Expect(e.received[i].Fence).To(BeNumerically(">=", e.received[i-1].Fence))
		}
		g.Expect(e.versions).To(Equal(map[string]int64{"a": 2, "b": 9}))
	})
}

// A waiter learns that a model is being loaded before the order is sent, and that the
// version is there as soon as it is.
func TestState(t *testing.T) {
	runLoader(t, func(g *WithT, _ *fakeEngine, ld *Loader) {
		time.Sleep(time.Second)
		st := ld.State(context.Background(), 0)
		ld.Want(Want{Model: "a", Version: 2, Endpoint: "e", Incarnation: "e/1"})
		st = ld.State(context.Background(), st.Serial)
		g.Expect(st.Loading).To(Equal(map[string]bool{"a": true}))
		st = ld.State(context.Background(), st.Serial)
		g.Expect(st.Versions["a"]).To(BeEquivalentTo(2))
		g.Expect(st.Loading).To(BeEmpty())
	})
}

// After a power loss a new engine runs at the address of the old one. Loads requested
// of the old one are rejected. They must not be retried in alternation with those for
// the new engine, which would wait for its weights for seconds, and the planner learns
// at once that the old engine is gone.
func TestWantsOfAnEngineThatIsGone(t *testing.T) {
	runLoader(t, func(g *WithT, e *fakeEngine, ld *Loader) {
		e.id = "new"
		ld.Want(Want{Model: "a", Version: 2, Endpoint: "old", Incarnation: "old/1"})
		time.Sleep(time.Second)
		g.Expect(ld.Snapshot().Gone).To(Equal("old/1"))
		g.Expect(ld.Snapshot().Loading).To(BeEmpty())
		ld.Want(Want{Model: "b", Version: 5, Endpoint: "new", Incarnation: "new/1"})
		time.Sleep(2 * time.Second)
		g.Expect(e.versions).To(Equal(map[string]int64{"a": 1, "b": 5}))
		g.Expect(e.received).To(HaveLen(2))
	})
}

// A planner has to know which engines are idle, whoever sent their requests. It must learn that
// within a poll of the engine, and callers that don't ask for it must not be woken by it.
func TestActivity(t *testing.T) {
	runLoader(t, func(g *WithT, e *fakeEngine, ld *Loader) {
		time.Sleep(time.Second)
		st := ld.Snapshot()
		for _, running := range []int{3, 0, 1} {
			e.mu.Lock()
			e.running = running
			e.mu.Unlock()
			start := time.Now()
			next := ld.StateOrActivity(context.Background(), st.Serial, st.Activity)
			g.Expect(time.Since(start)).To(BeNumerically("<=", idlePollInterval))
			g.Expect(next.Running).To(Equal(running))
			g.Expect(next.Serial).To(Equal(st.Serial))
			st = next
		}
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		time.AfterFunc(time.Second, func() {
			e.mu.Lock()
			defer e.mu.Unlock()
			e.running = 0
		})
		ld.State(ctx, st.Serial)
		g.Expect(ctx.Err()).To(HaveOccurred())
	})
}
