package brun

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/lavendermux/lavendermux/batch"
	"github.com/lavendermux/lavendermux/bstore"
	"github.com/lavendermux/lavendermux/endpt"
	"github.com/lavendermux/lavendermux/epset"
	"github.com/lavendermux/lavendermux/logs"
	"github.com/lavendermux/lavendermux/manif"
	"github.com/lavendermux/lavendermux/upstr"
)

// A holder looks ten times a second whether one of its runs would end sooner elsewhere. If each
// run reads all engines of the fleet for itself, the looks of one step on 400 engines take half
// a processor, and the holder reads events so late that it takes healthy engines for slow ones.
func TestSweepReadsEnginesOnce(t *testing.T) {
	for _, engines := range []int{50, 400, 800} {
		t.Run(fmt.Sprintf("engines=%d", engines), func(t *testing.T) {
			few, many := allocsOfSweep(t, engines, 14), allocsOfSweep(t, engines, 8*14)
			NewWithT(t).Expect(many).To(BeNumerically("<", 2*few), "allocations of a sweep over 8 times as many runs")
		})
	}
}

// addDistinct adds batch b with items of different bodies: equal ones run at three engines only
// until one of them is answered.
func addDistinct(ctx context.Context, r *Runner, items int) {
	sub := &batch.Submission{ID: "b", Host: "h", Target: "/b/", Model: "m"}
	for i := range items {
		sub.Items = append(sub.Items, batch.Item{ID: fmt.Sprint("item-", i), Body: fmt.Append(nil, i), ExpectedTokens: events * stride})
	}
	r.Add(ctx, bstore.Record{ID: "b", Head: batch.Head{Owner: "me", Epoch: 1}, AcceptedAt: time.Now(), ConfirmedAt: time.Now()}, sub, nil, nil)
}

// allocsOfSweep returns the number of allocations of one sweep over a step that runs.
func allocsOfSweep(t *testing.T, engines, items int) (allocs float64) {
	t.Helper()
	interval := make(map[string]time.Duration)
	for i := range engines {
		interval[fmt.Sprint("engine-", i)] = 20 * time.Millisecond
	}
	withRunner(t, interval, func(ctx context.Context, g *WithT, r *Runner, _ *fakeEngines, set *epset.Registry) {
		for _, v := range set.All() {
			for range 3 {
				set.ObserveUnitTime(v.Endpoint, 20*time.Millisecond)
			}
		}
		addDistinct(ctx, r, items)
		time.Sleep(minRunTimeBeforeMove + sweepInterval)
		g.Expect(attempts(r)).To(Equal(items))
		const sweeps = 5
		allocs = testing.AllocsPerRun(sweeps, func() { r.sweep(ctx, time.Now()) })
	})
	return allocs
}

// All engines are equally fast, but their measurements err. The more engines there are, the lower
// is the lowest of them; a run must not leave its engine for that, with a new connection and a
// repeated prompt, unless its own engine measures slow beside the typical one.
func TestNoMovesForMeasurementErrors(t *testing.T) {
	const (
		items = 100
		pace  = 75 * time.Millisecond
		// minSlowdown is the least ratio for which package migr moves a run.
		minSlowdown = 1.25
	)
	for _, engines := range []int{50, 400, 800} {
		for _, spread := range []float64{0.15, 0.2, 0.4} {
			interval := make(map[string]time.Duration)
			for i := range engines {
				interval[fmt.Sprint("engine-", i)] = pace
			}
			withRunner(t, interval, func(ctx context.Context, g *WithT, r *Runner, _ *fakeEngines, set *epset.Registry) {
				addDistinct(ctx, r, items)
				time.Sleep(minRunTimeBeforeMove + sweepInterval/2)
				random := rand.New(rand.NewPCG(uint64(engines), 1))
				for _, v := range set.All() {
					measured := time.Duration((1 - spread + 2*spread*random.Float64()) * float64(pace))
					for range 60 {
						set.ObserveUnitTime(v.Endpoint, measured)
					}
				}
				typical, before := medianUnitTime(set.All()), make(map[string]endpt.Endpoint)
				r.mu.Lock()
				for _, it := range r.tracked["b"].items {
					before[it.ID] = it.endpoint // a run that moves has another one soon
				}
				r.mu.Unlock()
				r.sweep(ctx, time.Now())
				r.mu.Lock()
				defer r.mu.Unlock()
				for _, it := range r.tracked["b"].items {
					here, _ := set.Lookup(before[it.ID])
					if it.migrations > 0 {
						g.Expect(here.UnitTime.Seconds()).To(BeNumerically(">=", minSlowdown*typical.Seconds()), "%d engines, spread %.2f", engines, spread)
					}
				}
			})
		}
	}
}

// A run is cancelled to go on elsewhere, and the holder looks again before the run has ended.
// The run must not count as moved once more, as later moves need a greater gain.
func TestMoveCountsOnce(t *testing.T) {
	withRunner(t, map[string]time.Duration{"a": 20 * time.Millisecond, "b": 20 * time.Millisecond}, func(ctx context.Context, g *WithT, r *Runner, _ *fakeEngines, set *epset.Registry) {
		addBatch(ctx, r, "b", 1)
		time.Sleep(minRunTimeBeforeMove + sweepInterval/2)
		it := r.tracked["b"].items[0]
		for _, v := range set.All() {
			interval := 10 * time.Millisecond
			if v.ID == it.endpoint.ID {
				interval = time.Second
			}
			for range 20 {
				set.ObserveUnitTime(v.Endpoint, interval)
			}
		}
		r.sweep(ctx, time.Now())
		r.sweep(ctx, time.Now())
		g.Expect(it.migrations).To(Equal(1))
	})
}

// The owners of several models start a step each on the same idle engines, and none knows of the
// others' runs. They must not begin with the same engines, or these get a run of each.
func TestModelsBeginWithDifferentEngines(t *testing.T) {
	const models, items = 6, 30
	for _, engines := range []int{50, 400, 800} {
		g, runs := NewWithT(t), make(map[string]int)
		for m := range models {
			set := epset.New(func() {})
			model := fmt.Sprint("m", m)
			for i := range engines {
				set.Put(endpt.Endpoint{ID: fmt.Sprint("engine-", i), Service: "lm", Slots: 6, Versions: map[string]int64{model: 1}})
			}
			r := New(bstore.New(&fakeStore{}), set, blockedSender{}, nil, func() *manif.Manifest { return nil }, logs.New(io.Discard))
			c := r.newChoices("lm", &batch.Submission{Model: model}, time.Now(), func(epset.View) bool { return true }, nil, newRunInterval)
			for range items {
				v, wait := r.take(c, &batch.Submission{Model: model}, &item{Item: &batch.Item{}}, &manif.Route{}, time.Now())
				g.Expect(wait).To(BeEmpty())
				runs[v.ID]++
			}
		}
		g.Expect(len(runs)).To(BeNumerically(">", min(engines*3/4, models*items*3/5)), "engines in use of %d", engines)
	}
}

// blockedSender never answers.
type blockedSender struct{}

// Send implements upstr.Sender.
func (blockedSender) Send(ctx context.Context, _ upstr.Call) (*upstr.Response, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

// BenchmarkSweep is one look of a holder at a step of 224 runs, ten of which it makes a second.
func BenchmarkSweep(b *testing.B) {
	for _, engines := range []int{50, 400, 800} {
		b.Run(fmt.Sprintf("engines=%d", engines), func(b *testing.B) {
			set := epset.New(func() {})
			for i := range engines {
				e := endpt.Endpoint{ID: fmt.Sprint("engine-", i), Service: "lm", Slots: 6, Versions: map[string]int64{"m": 1}}
				set.Put(e)
				for range 3 {
					set.ObserveUnitTime(e, 20*time.Millisecond)
				}
			}
			m := &manif.Manifest{
				Routes:   []manif.Route{{Host: "h", Prefix: "/b/", Kind: manif.Batch, MaxAttempts: 3, Split: []manif.WeightedService{{Service: "lm", Weight: 1}}}},
				Services: map[string]manif.Service{"lm": {Name: "lm", Stride: stride}},
			}
			r := New(bstore.New(&fakeStore{}), set, blockedSender{}, nil, func() *manif.Manifest { return m }, logs.New(io.Discard))
			addDistinct(b.Context(), r, 224)
			r.schedule(b.Context(), time.Now())
			now := time.Now().Add(minRunTimeBeforeMove) // fixed, so that no run ever counts as silent
			for b.Loop() {
				r.sweep(b.Context(), now)
			}
		})
	}
}
