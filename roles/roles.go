// Package roles moves the workers of one pool between live work and rollouts.
//
// Package shift decides when to move and how many. This package measures the load,
// selects the workers and sends them the orders with the pool job's fencing token.
package roles

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"connectrpc.com/connect"
	"github.com/charmbracelet/log"
	"github.com/lavendermux/lavendermux/acts"
	"github.com/lavendermux/lavendermux/claim"
	"github.com/lavendermux/lavendermux/move"
	"github.com/lavendermux/lavendermux/object"
	"github.com/lavendermux/lavendermux/order"
	"github.com/lavendermux/lavendermux/pool"
	"github.com/lavendermux/lavendermux/rpcerr"
	"github.com/lavendermux/lavendermux/shift"
	"github.com/lavendermux/lavendermux/wire"
	"github.com/lavendermux/lavendermux/wire/wireconnect"
)

const (
	// planInterval is the time between two measurements of the load. A move costs a
	// worker about ten seconds, so a shorter interval does not change the decisions.
	planInterval = 2 * time.Second
	// sampleSize is how many workers of each role are queried for their load in each
	// interval. The load in the membership lags, and rollout replies, which also carry
	// it, cease when there are no rollouts. Even at 700 workers, 16 of each role cost 16
	// queries per second, and the mean of 16 has a standard error of a quarter of the
	// standard deviation.
	sampleSize = 16
	// loadTimeout bounds one load query.
	loadTimeout = time.Second
	// orderTimeout bounds one role order.
	orderTimeout = 5 * time.Second
	// settleTime is how long an ordered role is assumed before the sidecar must report it.
	// It covers the sidecar's heartbeat and the membership's delay for minor changes.
	settleTime = 25 * time.Second

	livePriority    = 1
	rolloutPriority = 0
)

type (
	// Rebalancer moves the workers of one pool between roles. See New and Run.
	Rebalancer struct {
		name         string
		fencingToken int64
		pool         func() (pool.Pool, bool)
		waiting      func() int
		fleet        fleet
		dial         dialer
		planner      *shift.Planner
		log          *log.Logger
		record       func(kind, name string, d acts.Action)
		// assigned holds, by worker, ordered roles that the membership may not show yet.
		assigned map[string]assigned
	}

	// Option is an optional setting of New.
	Option func(*Rebalancer)

	fleet interface {
		Endpoints(service string) []*wire.EndpointState
	}

	dialer interface {
		Door(address string) wireconnect.DoorServiceClient
	}

	assigned struct {
		role string
		at   time.Time
	}

	// poolLoad is the load of a pool's ready workers at one measurement.
	poolLoad struct {
		byRole map[string][]*wire.EndpointState
		// slots is the number of slots of all workers.
		slots float64
		// live is the estimated number of live requests, busy that of running rollouts.
		live float64
		busy float64
		// total is the number of workers.
		total int
	}
)

// New prepares moving the workers of the named pool with orders that carry the fencing token
// fencingToken. The function waiting returns how many rollouts could start now.
//
//	r := roles.New("tutor", fencingToken, pool, waiting, view, dialer)
//	r.Run(ctx)
func New(
	name string, fencingToken int64, p func() (pool.Pool, bool), waiting func() int, f fleet, d dialer, opts ...Option,
) *Rebalancer {
	r := &Rebalancer{
		name:         name,
		fencingToken: fencingToken,
		pool:         p,
		waiting:      waiting,
		fleet:        f,
		dial:         d,
		planner:      shift.New(),
		log:          log.New(io.Discard),
		record:       func(string, string, acts.Action) {},
		assigned:     map[string]assigned{},
	}
	for _, opt := range opts {
		opt(r)
	}
	return r
}

// WithLog sets the logger for failed moves. By default nothing is logged.
func WithLog(l *log.Logger) Option {
	return func(r *Rebalancer) { r.log = l }
}

// WithReasons sets the function that records each move and its reason for operators. By
// default moves are not recorded.
func WithReasons(record func(kind, name string, d acts.Action)) Option {
	return func(r *Rebalancer) { r.record = record }
}

// Run measures the load and moves workers until ctx ends.
func (r *Rebalancer) Run(ctx context.Context) {
	ticker := time.NewTicker(planInterval)
	defer ticker.Stop()
	for {
		r.rebalance(ctx, time.Now())
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (r *Rebalancer) rebalance(ctx context.Context, now time.Time) {
	p, found := r.pool()
	if !found {
		return
	}
	c := r.measure(ctx, p, now)
	if c.total == 0 || c.slots == 0 {
		return
	}
	claims := r.claims(p, c)
	for _, m := range r.planner.Plan(claims, now) {
		r.move(ctx, c, m, claims, now)
	}
}

// measure returns the load of the workers that accept work.
func (r *Rebalancer) measure(ctx context.Context, p pool.Pool, now time.Time) poolLoad {
	c := poolLoad{byRole: map[string][]*wire.EndpointState{}}
	for _, ep := range r.fleet.Endpoints(p.Service) {
		if !ep.GetReady() || ep.GetDraining() || ep.GetGone() {
			continue
		}
		role := r.roleOf(ep, now)
		c.byRole[role] = append(c.byRole[role], ep)
		c.total++
		c.slots += float64(ep.GetLoad().GetSlots())
	}
	for _, workers := range c.byRole {
		live, busy := r.sample(ctx, workers)
		c.live += live * float64(len(workers))
		c.busy += busy * float64(len(workers))
	}
	return c
}

// sample queries a random sample of the workers and returns their mean number of live
// requests and of running rollouts, or zeros if none answers.
func (r *Rebalancer) sample(ctx context.Context, workers []*wire.EndpointState) (live, busy float64) {
	chosen := slices.Clone(workers)
	rand.Shuffle(len(chosen), func(i, j int) { chosen[i], chosen[j] = chosen[j], chosen[i] })
	chosen = chosen[:min(len(chosen), sampleSize)]
	loads := make(chan *wire.DoorLoad, len(chosen))
	for _, ep := range chosen {
		go func() { loads <- r.queryLoad(ctx, ep) }()
	}
	answers := 0.0
	for range chosen {
		load := <-loads
		if load == nil {
			continue
		}
		answers++
		live += float64(load.GetLiveWork())
		busy += float64(max(0, load.GetRunning()-load.GetLiveWork()))
	}
	if answers == 0 {
		return 0, 0
	}
	return live / answers, busy / answers
}

// queryLoad returns the load that the worker's sidecar reports, or nil on an error.
func (r *Rebalancer) queryLoad(ctx context.Context, ep *wire.EndpointState) *wire.DoorLoad {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	resp, err := r.dial.Door(ep.GetAddress()).Order(ctx, connect.NewRequest(&wire.OrderRequest{
		OrderId: "load/" + ep.GetInstance(),
		Pool:    r.name,
		Fence:   r.fencingToken,
		Kind:    wire.OrderKind_ORDER_KIND_ASK,
	}))
	if err != nil {
		return nil
	}
	return resp.Msg.GetState().GetLoad()
}

// roleOf returns the role that the worker was recently ordered to take, or else the one
// that it reports.
func (r *Rebalancer) roleOf(ep *wire.EndpointState, now time.Time) string {
	a, found := r.assigned[ep.GetInstance()]
	if found && now.Sub(a.at) < settleTime {
		return a.role
	}
	delete(r.assigned, ep.GetInstance())
	if ep.GetRole() == order.RoleLive {
		return order.RoleLive
	}
	return order.RoleRollout
}

// claims converts the load into numbers of workers. Live work that fits the slots
// reserved for it on rollout workers needs no live worker.
func (r *Rebalancer) claims(p pool.Pool, c poolLoad) []claim.Claim {
	slots := c.slots / float64(c.total)
	live, rollout := len(c.byRole[order.RoleLive]), len(c.byRole[order.RoleRollout])
	reserved := p.LiveReserve * slots * float64(rollout)
	minimum := min(c.total, int(math.Ceil(float64(p.MinimumSlots)/slots)))
	guarantee := max(minimum, min(c.total, int(math.Ceil(float64(p.GuaranteeSlots)/slots))))
	return []claim.Claim{
		{
			Name:              order.RoleLive,
			Priority:          livePriority,
			GuaranteedWorkers: c.total - minimum,
			Workers:           live,
			NeededWorkers:     max(0, c.live-reserved) / slots,
		},
		{
			Name:              order.RoleRollout,
			Priority:          rolloutPriority,
			MinWorkers:        minimum,
			GuaranteedWorkers: guarantee,
			Workers:           rollout,
			NeededWorkers:     (c.busy + float64(r.waiting())) / slots,
		},
	}
}

// move orders the least loaded workers of one role to take the other.
func (r *Rebalancer) move(ctx context.Context, c poolLoad, m move.Move, claims []claim.Claim, now time.Time) {
	from := c.byRole[m.From]
	slices.SortFunc(from, func(a, b *wire.EndpointState) int {
		return cmp.Or(
			cmp.Compare(a.GetLoad().GetRunning(), b.GetLoad().GetRunning()),
			cmp.Compare(a.GetInstance(), b.GetInstance()),
		)
	})
	for _, ep := range from[:min(m.Count, len(from))] {
		r.assigned[ep.GetInstance()] = assigned{role: m.To, at: now}
		r.sendOrder(ctx, ep, m.To)
		r.record(object.KindPool, r.name, acts.Action{
			Verb:    acts.VerbReassign,
			Summary: ep.GetInstance() + " from " + m.From + " to " + m.To,
			Cause:   "load",
			Reason: fmt.Sprintf("live work needs %.1f workers beside the slots kept for it and has %d, rollouts need %.1f and have %d",
				claims[0].NeededWorkers, claims[0].Workers, claims[1].NeededWorkers, claims[1].Workers),
		})
	}
}

// sendOrder sends one role order without waiting for the result. After a lost order the
// worker still reports its old role once settleTime has passed, and is moved again.
func (r *Rebalancer) sendOrder(ctx context.Context, ep *wire.EndpointState, role string) {
	go func() {
		ctx, cancel := context.WithTimeout(ctx, orderTimeout)
		defer cancel()
		resp, err := r.dial.Door(ep.GetAddress()).Order(ctx, connect.NewRequest(&wire.OrderRequest{
			OrderId:   "role/" + role + "/" + ep.GetInstance(),
			Pool:      r.name,
			Fence:     r.fencingToken,
			Kind:      wire.OrderKind_ORDER_KIND_ROLE,
			Role:      role,
			TimeoutMs: orderTimeout.Milliseconds(),
		}))
		if err == nil {
			err = rpcerr.Decode(resp.Msg.GetRefusal())
		}
		if err != nil {
			r.log.Warn("role order failed; worker not moved", "pool", r.name, "endpoint", ep.GetInstance(), "role", role, "err", err)
		}
	}()
}
