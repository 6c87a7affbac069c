package swaps

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"connectrpc.com/connect"
	"github.com/lavendermux/lavendermux/door"
	"github.com/lavendermux/lavendermux/fault"
	"github.com/lavendermux/lavendermux/pace"
	"github.com/lavendermux/lavendermux/pool"
	"github.com/lavendermux/lavendermux/refuse"
	"github.com/lavendermux/lavendermux/wire"
	"github.com/lavendermux/lavendermux/wire/wireconnect"
	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"
)

type (
	// workers is a pool whose doors carry out orders in a tenth of a second,
	// unless refuse says otherwise.
	workers struct {
		mu     sync.Mutex
		states []*wire.EndpointState
		refuse func(req *wire.OrderRequest) error
		// staged is when each order to stage came.
		staged []time.Time
	}

	oneDoor struct {
		wireconnect.DoorServiceClient
		all *workers
		at  int
	}
)

func newWorkers(n int, models ...string) *workers {
	w := &workers{refuse: func(*wire.OrderRequest) error { return nil }}
	for i := range n {
		st := &wire.EndpointState{
			Instance: fmt.Sprintf("w%d", i), Address: fmt.Sprint(i), Service: "lm", Ready: true, Boot: 1,
		}
		for _, m := range models {
			st.Models = append(st.Models, &wire.ModelState{Model: m, Version: "1"})
		}
		w.states = append(w.states, st)
	}
	return w
}

func (w *workers) Endpoints(string) []*wire.EndpointState {
	w.mu.Lock()
	defer w.mu.Unlock()
	var out []*wire.EndpointState
	for _, st := range w.states {
		out = append(out, proto.CloneOf(st))
	}
	return out
}

func (w *workers) Door(address string) wireconnect.DoorServiceClient {
	at := 0
	_, _ = fmt.Sscan(address, &at)
	return &oneDoor{all: w, at: at}
}

func (d *oneDoor) Order(_ context.Context, r *connect.Request[wire.OrderRequest]) (*connect.Response[wire.OrderResponse], error) {
	stage := r.Msg.GetKind() == wire.OrderKind_ORDER_KIND_STAGE
	d.all.mu.Lock()
	if stage {
		d.all.staged = append(d.all.staged, time.Now())
	}
	d.all.mu.Unlock()
	time.Sleep(100 * time.Millisecond)
	d.all.mu.Lock()
	defer d.all.mu.Unlock()
	err := d.all.refuse(r.Msg)
	st := d.all.states[d.at]
	for _, m := range st.GetModels() {
		switch {
		case err != nil || m.GetModel() != r.Msg.GetModel():
		case stage:
			m.Staged = append(m.Staged, r.Msg.GetVersion())
		case r.Msg.GetKind() == wire.OrderKind_ORDER_KIND_SWITCH:
			m.Version = r.Msg.GetVersion()
		}
	}
	out := &wire.OrderResponse{Done: err == nil, State: proto.CloneOf(st)}
	if err != nil {
		out.Refusal = refuse.Wire(err, nil)
	}
	return connect.NewResponse(out), nil
}

// versions are those of all workers' models, such as "1 2 2".
func (w *workers) versions() string {
	var out []string
	for _, st := range w.Endpoints("") {
		for _, m := range st.GetModels() {
			out = append(out, m.GetVersion())
		}
	}
	return strings.Join(out, " ")
}

// rolls rolls version 2 of the models out for some time.
func rolls(t *testing.T, w *workers, lasts time.Duration, models ...string) *Swaps {
	t.Helper()
	want := map[string]int64{}
	for _, m := range models {
		want[m] = 2
	}
	s := New("drafts", 7, func() (pool.Pool, bool) {
		p := pool.Default()
		p.Service, p.Models, p.StagePerSecond = "lm", models, 2
		return p, true
	}, func() map[string]int64 { return want }, w, w)
	ctx, stop := context.WithTimeout(t.Context(), lasts)
	defer stop()
	s.Run(ctx)
	return s
}

// The weight store refuses each worker more often than a version may fail, since
// another pool takes more than its share. That says nothing against the version:
// a roll-out that halted for it would leave the trainer without fresh samples.
func TestStoreRefusalsDoNotHaltAVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		w := newWorkers(3, "m")
		refused := 0
		w.refuse = func(req *wire.OrderRequest) error {
			if req.GetKind() != wire.OrderKind_ORDER_KIND_STAGE || refused >= 30 {
				return nil
			}
			refused++
			return &fault.NotRunError{Cause: door.CauseStore, Reason: "too many requests"}
		}
		s := rolls(t, w, 10*time.Minute, "m")
		g.Expect(refused).To(Equal(30))
		g.Expect(s.States()).To(HaveKeyWithValue("m", "2 "+pace.Complete))
		g.Expect(w.versions()).To(Equal("2 2 2"))
	})
}

// The weights of a version are damaged, and every engine fails to load them. The
// roll-out halts and the old version stays in use.
func TestDamagedVersionHalts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		w := newWorkers(3, "m")
		w.refuse = func(*wire.OrderRequest) error {
			return &fault.NotRunError{Cause: door.CauseFailed, Reason: "cannot read the weights"}
		}
		s := rolls(t, w, 10*time.Minute, "m")
		g.Expect(s.States()).To(HaveKeyWithValue("m", "2 "+pace.Halted))
		g.Expect(w.versions()).To(Equal("1 1 1"))
	})
}

// A holder is lost when a few workers have switched. Its successor goes on at
// once with those that are staged, also while one cannot be staged at all; the
// pool would otherwise stay on two versions.
func TestSuccessorGoesOnWithTheSwitch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		w := newWorkers(6, "m")
		w.states[0].Models[0].Version = "2"
		for _, st := range w.states[1:5] {
			st.Models[0].Staged = []string{"2"}
		}
		w.refuse = func(req *wire.OrderRequest) error {
			if req.GetKind() == wire.OrderKind_ORDER_KIND_STAGE {
				return &fault.NotRunError{Cause: door.CauseStore}
			}
			return nil
		}
		rolls(t, w, 6*time.Second, "m")
		g.Expect(w.versions()).To(Equal("2 2 2 2 2 1"))
	})
}

// Three trainers publish at once. Their models share what the weight store
// allows the pool; three times as much would be refused, by turns to each.
func TestModelsShareTheStoresRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		w := newWorkers(10, "a", "b", "c")
		rolls(t, w, 3*time.Minute, "a", "b", "c")
		g.Expect(len(w.staged)).To(BeNumerically(">=", 30))
		for i := range w.staged {
			within := 0
			for _, at := range w.staged[i:] {
				if at.Sub(w.staged[i]) < 5*time.Second {
					within++
				}
			}
			// Ten in five seconds, and what was saved up in one second before.
			g.Expect(within).To(BeNumerically("<=", 12))
		}
		g.Expect(w.versions()).NotTo(ContainSubstring("1"))
	})
}

// The lease went to another holder while this one was paused. The first door that
// has heard of it refuses, and this holder knows that it is to stop.
func TestOldHolderLearnsThatItWasOvertaken(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		w := newWorkers(2, "m")
		w.refuse = func(req *wire.OrderRequest) error {
			return &fault.OldFenceError{Fence: req.GetFence(), Current: 8}
		}
		s := rolls(t, w, time.Minute, "m")
		g.Expect(s.Overtaken()).To(HaveOccurred())
		g.Expect(w.versions()).To(Equal("1 1"))
	})
}

// A trainer publishes faster than a roll-out takes. The roll-out under way is
// finished before the newest version gets its turn; if each version replaced the
// last, no worker would ever switch, and the trainer would get nothing within its
// staleness bound.
func TestVersionsFasterThanRollOuts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		w := newWorkers(6, "m")
		begin := time.Now()
		s := New("drafts", 7, func() (pool.Pool, bool) {
			p := pool.Default()
			p.Service, p.Models, p.StagePerSecond = "lm", []string{"m"}, 2
			return p, true
		}, func() map[string]int64 {
			// A new version each second; six workers stage in three.
			return map[string]int64{"m": 2 + int64(time.Since(begin)/time.Second)}
		}, w, w)
		ctx, stop := context.WithTimeout(t.Context(), 12*time.Second)
		defer stop()
		s.Run(ctx)
		g.Expect(s.Loaded("m")).To(BeNumerically(">=", 5))
	})
}

// A worker answers two orders, for two models, one right after the other, and the
// answers are heard in turn about. The earlier answer must not take the place of
// the later one: the worker would be ordered again to stage what it has.
func TestAnswersHeardOutOfTurn(t *testing.T) {
	g := NewWithT(t)
	w := newWorkers(1, "m")
	s := New("drafts", 7, func() (pool.Pool, bool) { return pool.Pool{Service: "lm"}, true },
		func() map[string]int64 { return nil }, w, w)
	ep := w.Endpoints("")[0]
	now := time.Unix(1000, 0)
	later := &wire.EndpointState{Instance: "w0", Boot: 1, Answer: 2, Models: []*wire.ModelState{{Model: "m", Version: "3"}}}
	earlier := &wire.EndpointState{Instance: "w0", Boot: 1, Answer: 1, Models: []*wire.ModelState{{Model: "m", Version: "2"}}}
	s.learn("w0", later, now)
	s.learn("w0", earlier, now)
	g.Expect(s.latest(ep, now).GetModels()[0].GetVersion()).To(Equal("3"))
	restarted := &wire.EndpointState{Instance: "w0", Boot: 2, Answer: 1, Models: []*wire.ModelState{{Model: "m", Version: "1"}}}
	s.learn("w0", restarted, now)
	ep.Boot = 2
	g.Expect(s.latest(ep, now).GetModels()[0].GetVersion()).To(Equal("1"))
}
