package brun

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/lavendermux/lavendermux/batch"
	"github.com/lavendermux/lavendermux/bstore"
	"github.com/lavendermux/lavendermux/endpt"
	"github.com/lavendermux/lavendermux/epset"
	"github.com/lavendermux/lavendermux/manif"
)

// All engines load newer weights and reset their runs while a step runs whose samples must come
// from one version. The items with a partial text must begin anew, and must not keep those behind
// them from beginning.
func TestSingleVersionStepOutlivesItsWeights(t *testing.T) {
	interval := 20 * time.Millisecond
	withRunner(t, map[string]time.Duration{"a": interval, "b": interval}, func(ctx context.Context, g *WithT, r *Runner, e *fakeEngines, set *epset.Registry) {
		const items = 2*slots + 4
		r.manifest().Routes[0].SingleVersion = true
		e.resetAll = make(chan struct{})
		addBatch(ctx, r, "b", items)
		time.Sleep(500 * time.Millisecond)
		e.mu.Lock()
		e.version = 2
		close(e.resetAll)
		e.resetAll = nil
		e.mu.Unlock()
		for _, v := range set.All() {
			set.ObserveVersion(v.Endpoint, "m", 2)
		}
		time.Sleep(15 * time.Second)
		r.mu.Lock()
		defer r.mu.Unlock()
		g.Expect(r.tracked["b"].results).To(HaveLen(items))
		for _, res := range r.tracked["b"].results {
			g.Expect(res.Versions).To(Equal([]int64{2}))
		}
	})
}

// A route is split between two services and one of them has no free slot. The items of the other
// one must start, whatever their place in the order.
func TestFullServiceDoesNotHoldUpAnother(t *testing.T) {
	withRunner(t, map[string]time.Duration{"a": 20 * time.Millisecond}, func(ctx context.Context, g *WithT, r *Runner, _ *fakeEngines, _ *epset.Registry) {
		const items = 2 * slots
		route := &r.manifest().Routes[0]
		route.Split = []manif.WeightedService{{Service: "lm", Weight: 1}, {Service: "full", Weight: 1}}
		addBatch(ctx, r, "b", items)
		time.Sleep(10 * time.Second)
		r.mu.Lock()
		defer r.mu.Unlock()
		for _, it := range r.tracked["b"].items {
			g.Expect(it.done).To(Equal(route.PickService(it.ID) == "lm"), it.ID)
		}
	})
}

// The only engine with the weights of a partial text has no free slot, or has just failed. The
// item must wait for it, but for no longer than its text takes to be generated again.
func TestWaitForWeightsIsBounded(t *testing.T) {
	withRunner(t, map[string]time.Duration{"old": time.Second, "new": time.Second}, func(_ context.Context, g *WithT, r *Runner, _ *fakeEngines, set *epset.Registry) {
		old := endpt.Endpoint{ID: "old", Service: "lm", Slots: slots, Versions: map[string]int64{"m": 1}}
		set.ObserveVersion(endpt.Endpoint{ID: "new"}, "m", 2)
		sub, route := &batch.Submission{Model: "m"}, &manif.Route{SingleVersion: true}
		const texts = 10
		maxWait := texts * defaultEventInterval
		pinned := func() *item {
			return &item{Item: &batch.Item{}, texts: slices.Repeat([]string{"x"}, texts), versions: []int64{1}, lastEvent: texts - 1}
		}
		take := func(it *item, now time.Time) (string, waitCause) {
			c := r.newChoices("lm", sub, now, func(epset.View) bool { return true }, nil, newRunInterval)
			v, wait := r.take(c, sub, it, route, now)
			return v.ID, wait
		}
		now := time.Now()
		id, _ := take(pinned(), now)
		g.Expect(id).To(Equal("old"))
		for name, block := range map[string]func(){
			"full":   func() { set.Remove("old", now); set.Put(old); beginAll(set, old) },
			"failed": func() { set.Remove("old", now); set.Put(old); set.MarkFailed(old, now) },
		} {
			block()
			it := pinned()
			_, wait := take(it, now)
			g.Expect(wait).To(Equal(waitVersion), name)
			_, wait = take(it, now.Add(maxWait-time.Millisecond))
			g.Expect(wait).To(Equal(waitVersion), name)
			id, _ = take(it, now.Add(maxWait))
			g.Expect(id).To(Equal("new"), name)
		}
		set.Remove("old", now)
		id, _ = take(pinned(), now)
		g.Expect(id).To(Equal("new"), "no engine has the weights")
	})
}

// beginAll takes all slots of an endpoint.
func beginAll(set *epset.Registry, e endpt.Endpoint) {
	for range e.Slots {
		set.Begin(e)
	}
}

// A manifest asks for single versions while an item has text of two. No engine can continue that
// text, so the item must begin anew.
func TestTextOfSeveralVersionsBeginsAnew(t *testing.T) {
	withRunner(t, map[string]time.Duration{"a": 20 * time.Millisecond}, func(ctx context.Context, g *WithT, r *Runner, _ *fakeEngines, _ *epset.Registry) {
		r.manifest().Routes[0].SingleVersion = true
		sub := &batch.Submission{ID: "b", Host: "h", Target: "/b/", Model: "m"}
		for n := range 2 {
			sub.Items = append(sub.Items, batch.Item{ID: fmt.Sprint("b-", n), ExpectedTokens: events * stride})
		}
		b := newTracked(bstore.Record{ID: "b", Head: batch.Head{Owner: "me", Epoch: 1}, AcceptedAt: time.Now()}, sub, nil)
		b.resume(batch.Progress{ID: "b-0", Texts: []string{"x", "x"}, LastEvent: 1, Versions: []int64{1, 2}})
		r.add(ctx, b, 1)
		time.Sleep(10 * time.Second)
		r.mu.Lock()
		defer r.mu.Unlock()
		g.Expect(b.results).To(HaveLen(2))
		for _, res := range b.results {
			g.Expect(res.Versions).To(Equal([]int64{1}))
		}
	})
}
