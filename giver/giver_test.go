package giver

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

// engine is an engine that counts orders; answers can be lost and orders be late.
type engine struct {
	mu       sync.Mutex
	versions map[string]int64
	orders   int64
	busy     string
	seen     []Order
	lose     int
	// id is the engine's identity; "" is any that is meant.
	id   string
	late int
}

func (e *engine) Report(context.Context) (Report, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := make(map[string]int64)
	for m, v := range e.versions {
		out[m] = v
	}
	return Report{Versions: out, Busy: e.busy != "", Orders: e.orders}, nil
}

func (e *engine) Load(_ context.Context, o Order) (bool, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.seen = append(e.seen, o)
	if e.id != "" && o.Endpoint != e.id {
		return false, &GoneError{Endpoint: o.Endpoint}
	}
	if e.late > 0 {
		e.late--
		time.AfterFunc(3*time.Second, func() { e.accept(o) })
		return false, errors.New("no answer")
	}
	if !e.take(o) {
		return false, errors.New("status 409")
	}
	if e.lose > 0 {
		e.lose--
		return false, errors.New("no answer")
	}
	return true, nil
}

func (e *engine) accept(o Order) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.take(o)
}

func (e *engine) take(o Order) bool {
	if o.Expected != e.orders || e.busy != "" {
		return false
	}
	e.orders++
	e.busy = o.Model
	time.AfterFunc(time.Second, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.busy = ""
		e.versions[o.Model] = o.Version
	})
	return true
}

func play(t *testing.T, f func(g *WithT, e *engine, gv *Giver)) {
	synctest.Test(t, func(t *testing.T) {
		e := &engine{versions: map[string]int64{"a": 1, "b": 1}}
		gv := New("side-1", e, logs.New(io.Discard))
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		go gv.Run(ctx)
		f(NewWithT(t), e, gv)
		cancel()
		time.Sleep(time.Minute)
	})
}

// Two models are wanted at once. The orders come one after the other, each when
// the one before is done.
func TestOneAtATime(t *testing.T) {
	play(t, func(g *WithT, e *engine, gv *Giver) {
		gv.Want(Want{Model: "a", Version: 3, Endpoint: "e"})
		gv.Want(Want{Model: "b", Version: 2, Endpoint: "e"})
		time.Sleep(4 * time.Second)
		g.Expect(e.versions).To(Equal(map[string]int64{"a": 3, "b": 2}))
		g.Expect(e.seen).To(HaveLen(2))
	})
}

// The answer to an order is lost though the engine took it. It must not be given
// again: the engine would load twice, and the second load would cut off what began
// in between.
func TestAnswerLost(t *testing.T) {
	play(t, func(g *WithT, e *engine, gv *Giver) {
		e.lose = 1
		gv.Want(Want{Model: "a", Version: 2, Endpoint: "e"})
		time.Sleep(4 * time.Second)
		g.Expect(e.seen).To(HaveLen(1))
		g.Expect(e.versions["a"]).To(BeEquivalentTo(2))
	})
}

// An order is carried out three seconds late, after newer ones. It names the count
// of orders before it, so that the engine refuses it and keeps the newer version.
func TestLateOrder(t *testing.T) {
	play(t, func(g *WithT, e *engine, gv *Giver) {
		e.late = 1
		gv.Want(Want{Model: "a", Version: 2, Endpoint: "e"})
		time.Sleep(100 * time.Millisecond)
		gv.Want(Want{Model: "a", Version: 3, Endpoint: "e"})
		time.Sleep(10 * time.Second)
		g.Expect(e.versions["a"]).To(BeEquivalentTo(3))
	})
}

// The process is killed and started again, remembers nothing, and is told an older
// want first. No order may carry a smaller fencing number than one before: an
// engine that checks it would refuse, and one that doesn't would have two givers
// for all that anyone can tell.
func TestFenceAfterRestart(t *testing.T) {
	play(t, func(g *WithT, e *engine, gv *Giver) {
		gv.Want(Want{Model: "b", Version: 9, Endpoint: "e"})
		time.Sleep(3 * time.Second)
		again := New("side-1", e, logs.New(io.Discard))
		ctx, cancel := context.WithCancel(context.Background())
		go again.Run(ctx)
		again.Want(Want{Model: "a", Version: 2, Endpoint: "e"})
		time.Sleep(3 * time.Second)
		cancel()
		for i := 1; i < len(e.seen); i++ {
			g.Expect(e.seen[i].Fence).To(BeNumerically(">=", e.seen[i-1].Fence))
		}
		g.Expect(e.versions).To(Equal(map[string]int64{"a": 2, "b": 9}))
	})
}

// Who waits for a change hears that a model is being loaded before its order is
// out, and that it is there as soon as it is.
func TestState(t *testing.T) {
	play(t, func(g *WithT, _ *engine, gv *Giver) {
		time.Sleep(time.Second)
		st := gv.State(context.Background(), 0)
		gv.Want(Want{Model: "a", Version: 2, Endpoint: "e"})
		st = gv.State(context.Background(), st.Serial)
		g.Expect(st.Loading).To(Equal(map[string]bool{"a": true}))
		st = gv.State(context.Background(), st.Serial)
		g.Expect(st.Versions["a"]).To(BeEquivalentTo(2))
		g.Expect(st.Loading).To(BeEmpty())
	})
}

// All machines lose power, and the engine is another one when they are back, at the same
// address. Loads that were wanted of the one before are refused. They must not be asked
// for again and again in turn with those for the new one, which would wait for seconds
// without its weights, and whoever plans hears at once that the old one is gone.
func TestWantsOfAnEngineThatIsGone(t *testing.T) {
	play(t, func(g *WithT, e *engine, gv *Giver) {
		e.id = "new"
		gv.Want(Want{Model: "a", Version: 2, Endpoint: "old"})
		time.Sleep(time.Second)
		g.Expect(gv.Now().Gone).To(Equal("old"))
		g.Expect(gv.Now().Loading).To(BeEmpty())
		gv.Want(Want{Model: "b", Version: 5, Endpoint: "new"})
		time.Sleep(2 * time.Second)
		g.Expect(e.versions).To(Equal(map[string]int64{"a": 1, "b": 5}))
		g.Expect(e.seen).To(HaveLen(2))
	})
}
