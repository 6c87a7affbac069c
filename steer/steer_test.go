package steer

import (
	"context"
	"io"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/lavendermux/lavendermux/endpt"
	"github.com/lavendermux/lavendermux/giver"
	"github.com/lavendermux/lavendermux/kvst"
	"github.com/lavendermux/lavendermux/logs"
	"github.com/lavendermux/lavendermux/memnet"
	"github.com/lavendermux/lavendermux/mesh"
	"github.com/lavendermux/lavendermux/wset"
)

const sideAddr = "10.2.0.1:7720"

type (
	// idleEngine has both models at their first version.
	idleEngine struct{}

	// emptyStore lets each instance be announced, and lists none.
	emptyStore struct{ kvst.Store }
)

func (idleEngine) Report(context.Context) (giver.Report, error) {
	return giver.Report{Versions: map[string]int64{"a": 1, "b": 1}}, nil
}

func (idleEngine) Load(context.Context, giver.Order) (bool, error) { return true, nil }

func (emptyStore) Commit(context.Context, kvst.Txn) (int64, error) { return 1, nil }

func (emptyStore) List(context.Context, string) ([]kvst.Item, int64, error) { return nil, 1, nil }

// planner is an instance that knows of no other, and of work for one model only.
func planner(ctx context.Context, net *memnet.Network, name, ip, model string) *wset.Set {
	logger := logs.New(io.Discard)
	client := &http.Client{Transport: net.Transport(ip)}
	m := mesh.New(mesh.Node{Name: name, Addr: ip + ":1", Boot: "1", Plans: true}, client, logger,
		mesh.WithStatus(func() mesh.Status { return mesh.Status{Demand: map[string]float64{model: 1}, Reaches: true} }))
	set := wset.New(func() {})
	set.Put(endpt.Endpoint{ID: "e", Service: "lm", Addr: "10.2.0.1:8165", Slots: 8, Versions: map[string]int64{"a": 1, "b": 1}})
	go m.Run(ctx, emptyStore{})
	go New(set, m, client, 7720, logger, func(string) bool { return false }, func() bool { return true }).Run(ctx)
	return set
}

// For a moment two instances take themselves for the one that plans, as after a cut, and
// have different models in mind for an engine. Each must say so once. If each answered the
// other's change, they would spend their processors on it as fast as the network goes, and
// the steps that they hold would wait.
func TestTwoPlanners(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		ctx, end := context.WithCancel(context.Background())
		net := memnet.New(memnet.WithDelay(time.Millisecond))
		side := giver.New("side", idleEngine{}, logs.New(io.Discard))
		go side.Run(ctx)
		var asked atomic.Int64
		mux := http.NewServeMux()
		path, h := Handler(side)
		mux.Handle(path, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			asked.Add(1)
			h.ServeHTTP(w, r)
		}))
		srv, err := net.Serve(sideAddr, mux)
		g.Expect(err).NotTo(HaveOccurred())
		first := planner(ctx, net, "entry-1", "10.1.0.1", "a")
		second := planner(ctx, net, "entry-2", "10.1.0.2", "b")
		const during = 10 * time.Second
		time.Sleep(during)
		g.Expect(asked.Load()).To(BeNumerically("<", 4*2*int64(during/waitMost)), "questions to the engine's process")
		g.Expect(first.All()[0].Home).To(Equal(second.All()[0].Home), "both know what the engine's process was told last")
		g.Expect(first.All()[0].Home).NotTo(BeEmpty())
		end()
		_ = srv.Close()
		net.Close()
		time.Sleep(time.Minute)
	})
}
