package guard

import (
	"context"
	"io"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	. "github.com/onsi/gomega"

	"github.com/lavendermux/lavendermux/endpt"
	"github.com/lavendermux/lavendermux/finger"
	"github.com/lavendermux/lavendermux/meter"
)

var (
	request = finger.Of("", "h", "/p", []byte("deadly"))
	worker  = endpt.Endpoint{ID: "w", Addr: "10.0.0.1:1", Service: "s", Born: 1}
)

// one sends a request to an endpoint that breaks off.
func (g *Guard) one(e endpt.Endpoint) <-chan struct{} {
	_ = g.Begin(request, e) // nothing is held back here
	defer g.End(request, e)
	return g.Broke("id", request, e, io.EOF)
}

func inGuard(t *testing.T, f func(g *WithT, listens, known, leaves *atomic.Bool, guard *Guard)) {
	synctest.Test(t, func(t *testing.T) {
		var listens, known, leaves atomic.Bool
		listens.Store(true)
		known.Store(true)
		guard := New(log.New(io.Discard), meter.New(),
			WithProbe(func(context.Context, endpt.Endpoint) bool { return !listens.Load() }),
			WithListed(func(endpt.Endpoint) (ok, leaving bool) { return known.Load(), leaves.Load() }))
		ctx, cancel := context.WithCancel(t.Context())
		go guard.Run(ctx)
		f(NewWithT(t), &listens, &known, &leaves, guard)
		cancel()
		synctest.Wait()
	})
}

// Guards against a send that goes on to the next endpoint before the crash counts.
func TestCountsOnceLookedAt(t *testing.T) {
	inGuard(t, func(g *WithT, listens, _, _ *atomic.Bool, guard *Guard) {
		listens.Store(false)
		<-guard.one(worker)
		g.Expect(guard.IsSuspect(request)).To(BeTrue())
	})
}

// Guards against a process that still listens for a moment after it has ended its
// connections.
func TestEndsSlowly(t *testing.T) {
	inGuard(t, func(g *WithT, listens, _, _ *atomic.Bool, guard *Guard) {
		<-guard.one(worker)
		g.Expect(guard.IsSuspect(request)).To(BeFalse())
		listens.Store(false)
		time.Sleep(time.Second)
		g.Expect(guard.IsSuspect(request)).To(BeTrue())
	})
}

// Guards against a worker that is back so soon that its address always listens: then its
// entry tells, which is another one or gone.
func TestBackAtOnce(t *testing.T) {
	inGuard(t, func(g *WithT, _, known, _ *atomic.Bool, guard *Guard) {
		<-guard.one(worker)
		time.Sleep(3 * time.Second)
		g.Expect(guard.IsSuspect(request)).To(BeFalse())
		known.Store(false)
		time.Sleep(time.Second)
		g.Expect(guard.IsSuspect(request)).To(BeTrue())
	})
}

// Guards against a planned leave that passes for a crash: a worker that said that it leaves
// closes its connections and is gone.
func TestLeaves(t *testing.T) {
	inGuard(t, func(g *WithT, listens, known, _ *atomic.Bool, guard *Guard) {
		known.Store(false)
		listens.Store(false)
		<-guard.one(worker)
		time.Sleep(10 * time.Second)
		g.Expect(guard.IsSuspect(request)).To(BeFalse())
	})
}

// Guards against a worker that is replaced long after it broke off a request.
func TestReplacedLater(t *testing.T) {
	inGuard(t, func(g *WithT, _, known, _ *atomic.Bool, guard *Guard) {
		<-guard.one(worker)
		time.Sleep(20 * time.Second)
		known.Store(false)
		time.Sleep(time.Second)
		g.Expect(guard.IsSuspect(request)).To(BeFalse())
	})
}

// Guards against a release in which each worker that lost an answer, and leaves as planned a
// moment later, counts as a crash.
func TestLeavesAfterALostAnswer(t *testing.T) {
	inGuard(t, func(g *WithT, listens, known, leaves *atomic.Bool, guard *Guard) {
		<-guard.one(worker)
		time.Sleep(time.Second)
		leaves.Store(true)
		time.Sleep(2 * time.Second)
		known.Store(false)
		listens.Store(false)
		time.Sleep(time.Second)
		guard.Gone(worker)
		g.Expect(guard.IsSuspect(request)).To(BeFalse())
	})
}
