package roles

import (
	"context"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"
	"github.com/lavendermux/lavendermux/order"
	"github.com/lavendermux/lavendermux/pool"
	"github.com/lavendermux/lavendermux/wire"
	"github.com/lavendermux/lavendermux/wire/wireconnect"
	. "github.com/onsi/gomega"
)

type (
	// workers are four with four slots each, whose membership says "rollout" for
	// ever. They note the orders to change role.
	workers struct {
		mu     sync.Mutex
		live   int64
		lost   bool
		orders map[string][]*wire.OrderRequest
	}

	oneDoor struct {
		wireconnect.DoorServiceClient
		all *workers
		id  string
	}
)

func (w *workers) Endpoints(string) []*wire.EndpointState {
	var out []*wire.EndpointState
	for i := range 4 {
		out = append(out, &wire.EndpointState{
			Instance: strconv.Itoa(i), Address: strconv.Itoa(i), Ready: true, Role: order.RoleRollout,
			Load: &wire.DoorLoad{Slots: 4, Running: int64(i)},
		})
	}
	return out
}

func (w *workers) Door(address string) wireconnect.DoorServiceClient {
	return &oneDoor{all: w, id: address}
}

func (d *oneDoor) Order(_ context.Context, r *connect.Request[wire.OrderRequest]) (*connect.Response[wire.OrderResponse], error) {
	d.all.mu.Lock()
	defer d.all.mu.Unlock()
	if r.Msg.GetKind() == wire.OrderKind_ORDER_KIND_ROLE {
		d.all.orders[d.id] = append(d.all.orders[d.id], r.Msg)
		if d.all.lost {
			return nil, connect.NewError(connect.CodeUnavailable, errors.New("reset"))
		}
	}
	load := &wire.DoorLoad{LiveWork: d.all.live, Running: d.all.live}
	return connect.NewResponse(&wire.OrderResponse{Done: true, State: &wire.EndpointState{Load: load}}), nil
}

func run(t *testing.T, w *workers, lasts time.Duration) {
	t.Helper()
	w.orders = map[string][]*wire.OrderRequest{}
	r := New("drafts", 7, func() (pool.Pool, bool) {
		p := pool.Default()
		p.Service, p.MinimumSlots = "lm", 4
		return p, true
	}, func() int { return 100 }, w, w)
	ctx, stop := context.WithTimeout(t.Context(), lasts)
	defer stop()
	r.Run(ctx)
	synctest.Wait()
}

// Creditors ask before a meeting, and live work fills every slot. The least
// loaded workers are moved to it, each once although the membership lags, and
// the trainers' minimum stays: a step without rollouts would be wasted.
func TestBurstMovesWorkersOnceAndLeavesTheMinimum(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		w := &workers{live: 16}
		run(t, w, settle)
		g.Expect(w.orders).To(HaveLen(3))
		g.Expect(w.orders).NotTo(HaveKey("3"))
		for _, orders := range w.orders {
			g.Expect(orders).To(HaveLen(1))
			g.Expect(orders[0].GetRole()).To(Equal(order.RoleLive))
			g.Expect(orders[0].GetFence()).To(Equal(int64(7)))
		}
	})
}

// Orders to move are lost on the way. The workers still show their old role once
// they should have settled, and are ordered again; live requests would otherwise
// wait for as long as the burst lasts.
func TestLostMoveIsOrderedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		w := &workers{live: 16, lost: true}
		run(t, w, 3*settle)
		g.Expect(len(w.orders["0"])).To(BeNumerically(">", 1))
	})
}

// Without live work nobody is moved: a shift costs a worker ten seconds.
func TestQuietPoolMovesNobody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := &workers{}
		run(t, w, 3*settle)
		NewWithT(t).Expect(w.orders).To(BeEmpty())
	})
}
