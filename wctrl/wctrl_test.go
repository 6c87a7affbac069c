package wctrl

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/gomega"

	"github.com/lavendermux/lavendermux/endpt"
	"github.com/lavendermux/lavendermux/epset"
	"github.com/lavendermux/lavendermux/loader"
	"github.com/lavendermux/lavendermux/logs"
	"github.com/lavendermux/lavendermux/mesh"
)

type (
	// idleEngine has one version of one model.
	idleEngine struct{ version int64 }

	// busyEngine is an engine with requests of some instance; it loads at once.
	busyEngine struct{ version, running atomic.Int64 }

	// sidecars serves the sidecars of all engines without a network, by host, and counts
	// their polls.
	sidecars struct {
		handlers map[string]http.Handler
		polls    atomic.Int64
		// cut has the hosts that can't be reached.
		cut sync.Map
	}
)

// Report implements loader.Engine.
func (e idleEngine) Report(context.Context) (loader.Report, error) {
	return loader.Report{Versions: map[string]int64{"m": e.version}}, nil
}

// Load implements loader.Engine.
func (idleEngine) Load(context.Context, loader.Order) (bool, error) { return false, nil }

// Report implements loader.Engine.
func (e *busyEngine) Report(context.Context) (loader.Report, error) {
	return loader.Report{Versions: map[string]int64{"m": e.version.Load()}, Running: int(e.running.Load())}, nil
}

// Load implements loader.Engine.
func (e *busyEngine) Load(_ context.Context, o loader.Order) (bool, error) {
	e.version.Store(o.Version)
	return true, nil
}

// RoundTrip implements http.RoundTripper.
func (s *sidecars) RoundTrip(r *http.Request) (*http.Response, error) {
	s.polls.Add(1)
	if _, ok := s.cut.Load(r.URL.Hostname()); ok {
		return nil, errors.New("no route to host")
	}
	w := httptest.NewRecorder()
	s.handlers[r.URL.Hostname()].ServeHTTP(w, r)
	return w.Result(), nil
}

// withController runs f with a controller of n engines, which the list of endpoints has with
// version 1 and which have version 7. It sends work while needed is set.
func withController(t *testing.T, n int, f func(g *WithT, s *sidecars, set *epset.Registry, needed *atomic.Bool)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		var wg sync.WaitGroup
		set, logger := epset.New(func() {}), logs.New(io.Discard)
		s := &sidecars{handlers: make(map[string]http.Handler)}
		for i := range n {
			host := fmt.Sprintf("10.1.%d.%d", i/200, i%200)
			ld := loader.New(host, idleEngine{version: 7}, logger)
			_, s.handlers[host] = Handler(ld)
			wg.Go(func() { ld.Run(ctx) })
			set.Put(endpt.Endpoint{ID: fmt.Sprint("e", i), Addr: host + ":80", Service: "lm", Slots: 6, Versions: map[string]int64{"m": 1}})
		}
		var needed atomic.Bool
		needed.Store(true)
		client := &http.Client{Transport: s}
		m := mesh.New(mesh.Node{Name: "entry"}, client, logger)
		c := New(set, m, client, 7720, logger, func(string) bool { return false }, needed.Load)
		wg.Go(func() { c.Run(ctx) })
		f(NewWithT(t), s, set, &needed)
		cancel()
		wg.Wait()
	})
}

// An owner of a step keeps a poll open at each engine of the fleet. The polls that it makes in
// a second must not grow with the engines.
func TestPollsDoNotGrowWithEngines(t *testing.T) {
	const seconds, maxPerSecond = 30, 60
	for _, n := range []int{50, 400, 800} {
		withController(t, n, func(g *WithT, s *sidecars, set *epset.Registry, _ *atomic.Bool) {
			time.Sleep(20 * time.Second)
			for _, v := range set.All() {
				g.Expect(v.Versions["m"]).To(BeEquivalentTo(7))
			}
			s.polls.Store(0)
			time.Sleep(seconds * time.Second)
			g.Expect(s.polls.Load()).To(BeNumerically("<", maxPerSecond*seconds), "%d engines", n)
		})
	}
}

// A trainer's steps follow each other with short pauses, in which the owner has none. It must
// not drop its links to all engines in each pause and set them up again, but in the end it must.
func TestLinksLinger(t *testing.T) {
	withController(t, 50, func(g *WithT, s *sidecars, _ *epset.Registry, needed *atomic.Bool) {
		time.Sleep(10 * time.Second)
		for range 5 {
			s.polls.Store(0)
			needed.Store(false)
			time.Sleep(time.Second)
			needed.Store(true)
			time.Sleep(200 * time.Millisecond)
			g.Expect(s.polls.Load()).To(BeNumerically("<", 80))
		}
		needed.Store(false)
		time.Sleep(linkLinger + minPollWait + time.Second)
		s.polls.Store(0)
		time.Sleep(time.Minute)
		g.Expect(s.polls.Load()).To(BeZero())
	})
}

// The list of endpoints doesn't follow which weights an engine has. A new planner must not order
// loads by it, which would move engines to models that others are loaded for.
func TestPlannerWaitsForReports(t *testing.T) {
	g := NewWithT(t)
	logger := logs.New(io.Discard)
	client := &http.Client{Transport: &sidecars{}}
	c := New(epset.New(func() {}), mesh.New(mesh.Node{Name: "entry"}, client, logger), client, 7720, logger, func(string) bool { return false }, nil)
	c.Announce("m", 7, 1)
	newLink := func(openedAt time.Time, reported bool) *link {
		e := endpt.Endpoint{ID: "e", Versions: map[string]int64{"m": 1}}
		return &link{view: epset.View{Endpoint: e}, openedAt: openedAt, reported: reported, wants: make(map[string]loader.Want), wantsChanged: make(chan struct{}, 1)}
	}
	for _, tc := range []struct {
		link *link
		want int
	}{
		{newLink(time.Now(), false), 0},
		{newLink(time.Now(), true), 1},
		{newLink(time.Now().Add(-2*reportTimeout), false), 1},
	} {
		c.links["e"] = tc.link
		c.plan()
		g.Expect(tc.link.wants).To(HaveLen(tc.want))
	}
}

// A worker starts again under the ID that it had, and its sidecar still names the earlier start as
// gone. The new one must stay in use: its heartbeats don't bring it back.
func TestGoneIsOneStartOfAnEngine(t *testing.T) {
	g := NewWithT(t)
	set, logger, client := epset.New(func() {}), logs.New(io.Discard), &http.Client{Transport: &sidecars{}}
	c := New(set, mesh.New(mesh.Node{Name: "entry"}, client, logger), client, 7720, logger, func(string) bool { return false }, nil)
	e := endpt.Endpoint{ID: "e", Service: "lm", Slots: 6, StartedMs: 2, Versions: map[string]int64{"m": 1}}
	set.Put(e)
	for _, tc := range []struct {
		gone string
		want int
	}{
		{"e/1", 1},
		{"e/2", 0},
	} {
		c.apply(&link{}, epset.View{Endpoint: e}, &loader.State{Known: true, Gone: tc.gone})
		g.Expect(set.All()).To(HaveLen(tc.want), tc.gone)
	}
}

// withPlanner runs f with a planner of n engines, which have version 1. plan plans loads for some
// time.
func withPlanner(t *testing.T, n int, singleVersion bool, f func(g *WithT, c *Controller, s *sidecars, engines []*busyEngine, plan func(time.Duration))) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		set, logger := epset.New(func() {}), logs.New(io.Discard)
		s := &sidecars{handlers: make(map[string]http.Handler)}
		var wg sync.WaitGroup
		ctx, cancel := context.WithCancel(t.Context())
		engines := make([]*busyEngine, n)
		for i := range engines {
			host := hostOf(i)
			engines[i] = &busyEngine{}
			engines[i].version.Store(1)
			ld := loader.New(host, engines[i], logger)
			_, s.handlers[host] = Handler(ld)
			wg.Go(func() { ld.Run(ctx) })
			set.Put(endpt.Endpoint{ID: fmt.Sprint("e", i), Addr: host + ":80", Service: "lm", Slots: 6, Versions: map[string]int64{"m": 1}})
		}
		client := &http.Client{Transport: s}
		c := New(set, mesh.New(mesh.Node{Name: "entry"}, client, logger), client, 7720, logger, func(string) bool { return singleVersion }, nil)
		f(NewWithT(t), c, s, engines, func(d time.Duration) {
			for range d / planInterval {
				c.connect(ctx, true)
				c.plan()
				time.Sleep(planInterval)
			}
		})
		cancel()
		wg.Wait()
		time.Sleep(time.Minute) // polls in flight end
	})
}

func hostOf(engine int) string { return fmt.Sprintf("10.1.%d.%d", engine/200, engine%200) }

// The items of a step run for another instance than the planner, which sees none of them in its own
// registry. Engines that finish their requests before they load must not be taken out of service
// while they are busy, if others are idle.
func TestPlannerLeavesBusyEnginesOfOthers(t *testing.T) {
	const engines, busy = 6, 3
	withPlanner(t, engines, true, func(g *WithT, c *Controller, _ *sidecars, all []*busyEngine, plan func(time.Duration)) {
		for _, e := range all[:busy] {
			e.running.Store(4)
		}
		plan(3 * time.Second)
		c.Announce("m", 2, 1)
		plan(10 * time.Second)
		for i, e := range all {
			g.Expect(e.version.Load() == 2).To(Equal(i >= busy), "engine %d", i)
		}
		all[0].running.Store(0)
		plan(2 * time.Second)
		g.Expect(all[0].version.Load()).To(BeEquivalentTo(2), "idle by now")
	})
}

// The planner has ordered loads of engines whose sidecars it can't reach. They must not use up the
// loads that may be under way at once: no other engine would ever load, and no step begin.
func TestUnreachableSidecarsDoNotBlockLoads(t *testing.T) {
	const engines, cut = 6, 2
	withPlanner(t, engines, false, func(g *WithT, c *Controller, s *sidecars, all []*busyEngine, plan func(time.Duration)) {
		plan(3 * time.Second)
		for i := range cut {
			s.cut.Store(hostOf(i), true)
		}
		c.Announce("m", 2, 1)
		plan(10 * time.Second)
		for i, e := range all {
			g.Expect(e.version.Load() == 2).To(Equal(i >= cut), "engine %d", i)
		}
		s.cut.Clear()
		plan(5 * time.Second)
		for i, e := range all {
			g.Expect(e.version.Load()).To(BeEquivalentTo(2), "engine %d", i)
		}
	})
}

// Engines become idle and busy many times in a step. A planner that has to know which are idle must
// not make more polls for that the more engines there are.
func TestWatchedActivityDoesNotGrowPolls(t *testing.T) {
	const seconds, maxPerSecond = 30, 160
	for _, n := range []int{50, 400, 800} {
		withPlanner(t, n, true, func(g *WithT, c *Controller, s *sidecars, all []*busyEngine, plan func(time.Duration)) {
			c.Announce("m", 1, 1)
			plan(20 * time.Second)
			s.polls.Store(0)
			for range seconds {
				for _, e := range all {
					e.running.Store(1 - e.running.Load())
				}
				plan(time.Second)
			}
			g.Expect(s.polls.Load()).To(BeNumerically("<", maxPerSecond*seconds), "%d engines", n)
		})
	}
}
