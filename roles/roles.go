// Package roles moves workers of one pool between live work and rollouts.
//
// When and how many is decided by package shift; this package counts the load,
// picks the workers, and gives the orders under the pool job's fencing number.
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
	"github.com/lavendermux/lavendermux/claim"
	"github.com/lavendermux/lavendermux/deed"
	"github.com/lavendermux/lavendermux/move"
	"github.com/lavendermux/lavendermux/object"
	"github.com/lavendermux/lavendermux/order"
	"github.com/lavendermux/lavendermux/pool"
	"github.com/lavendermux/lavendermux/refuse"
	"github.com/lavendermux/lavendermux/shift"
	"github.com/lavendermux/lavendermux/wire"
	"github.com/lavendermux/lavendermux/wire/wireconnect"
)

const (
	// defaultTick is how often the load is looked at. A shift costs about ten
	// seconds of a worker, so looking more often decides nothing.
	defaultTick = 2 * time.Second
	// sampled is how many workers of each role are asked for their load at each
	// look. Their own reports to the membership lag, and the replies to rollouts
	// stop where there are none. At 700 workers 16 of each role make 16 questions
	// a second, and the mean of 16 is known to a quarter of its spread.
	sampled = 16
	// askTimeout bounds one question.
	askTimeout = time.Second
	// orderTimeout bounds one order.
	orderTimeout = 5 * time.Second
	// settle is how long a move counts as made before the door reports the new
	// role: its heartbeat, and the membership's wait for minor changes.
	settle = 25 * time.Second

	livePriority    = 1
	rolloutPriority = 0
)

type (
	// Roles moves one pool's workers. See New and Run.
	Roles struct {
		name    string
		fence   int64
		pool    func() (pool.Pool, bool)
		waiting func() int
		fleet   fleet
		dial    dialer
		planner *shift.Planner
		log     *log.Logger
		why     func(kind, name string, d deed.Deed)
		// ordered are the roles that were ordered and may not show yet.
		ordered map[string]ordered
	}

	// Option changes Roles as New makes them.
	Option func(*Roles)

	fleet interface {
		Endpoints(service string) []*wire.EndpointState
	}

	dialer interface {
		Door(address string) wireconnect.DoorServiceClient
	}

	ordered struct {
		role string
		at   time.Time
	}

	// census is the pool's workers as one look finds them.
	census struct {
		byRole map[string][]*wire.EndpointState
		slots  float64
		live   float64
		busy   float64
		total  int
	}
)

// New returns the roles of the named pool's workers under a fencing number.
// Waiting returns how many rollouts could begin now.
//
//	r := roles.New("tutor", fence, pool, waiting, view, dialer)
//	r.Run(ctx)
func New(
	name string, fence int64, p func() (pool.Pool, bool), waiting func() int, f fleet, d dialer, opts ...Option,
) *Roles {
	r := &Roles{
		name:    name,
		fence:   fence,
		pool:    p,
		waiting: waiting,
		fleet:   f,
		dial:    d,
		planner: shift.New(),
		log:     log.New(io.Discard),
		why:     func(string, string, deed.Deed) {},
		ordered: map[string]ordered{},
	}
	for _, opt := range opts {
		opt(r)
	}
	return r
}

// WithLog sets where moves are logged. The default is nowhere.
func WithLog(l *log.Logger) Option {
	return func(r *Roles) { r.log = l }
}

// WithReasons sets who is told, for operators, what was moved and why. By
// default nobody is.
func WithReasons(why func(kind, name string, d deed.Deed)) Option {
	return func(r *Roles) { r.why = why }
}

// Run moves workers until ctx ends.
func (r *Roles) Run(ctx context.Context) {
	tick := time.NewTicker(defaultTick)
	defer tick.Stop()
	for {
		r.step(ctx, time.Now())
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

func (r *Roles) step(ctx context.Context, now time.Time) {
	p, found := r.pool()
	if !found {
		return
	}
	c := r.count(ctx, p, now)
	if c.total == 0 || c.slots == 0 {
		return
	}
	claims := r.claims(p, c)
	for _, m := range r.planner.Plan(claims, now) {
		r.move(ctx, c, m, claims, now)
	}
}

// count looks at the workers that take work.
func (r *Roles) count(ctx context.Context, p pool.Pool, now time.Time) census {
	c := census{byRole: map[string][]*wire.EndpointState{}}
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

// sample asks some of the workers and returns the mean of their live work and of
// their running rollouts.
func (r *Roles) sample(ctx context.Context, workers []*wire.EndpointState) (live, busy float64) {
	asked := slices.Clone(workers)
	rand.Shuffle(len(asked), func(i, j int) { asked[i], asked[j] = asked[j], asked[i] })
	asked = asked[:min(len(asked), sampled)]
	loads := make(chan *wire.DoorLoad, len(asked))
	for _, ep := range asked {
		go func() { loads <- r.ask(ctx, ep) }()
	}
	answered := 0.0
	for range asked {
		load := <-loads
		if load == nil {
			continue
		}
		answered++
		live += float64(load.GetLiveWork())
		busy += float64(max(0, load.GetRunning()-load.GetLiveWork()))
	}
	if answered == 0 {
		return 0, 0
	}
	return live / answered, busy / answered
}

func (r *Roles) ask(ctx context.Context, ep *wire.EndpointState) *wire.DoorLoad {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	resp, err := r.dial.Door(ep.GetAddress()).Order(ctx, connect.NewRequest(&wire.OrderRequest{
		OrderId: "load/" + ep.GetInstance(),
		Pool:    r.name,
		Fence:   r.fence,
		Kind:    wire.OrderKind_ORDER_KIND_ASK,
	}))
	if err != nil {
		return nil
	}
	return resp.Msg.GetState().GetLoad()
}

// roleOf is the worker's role, or the one that it was just ordered to take.
func (r *Roles) roleOf(ep *wire.EndpointState, now time.Time) string {
	o, found := r.ordered[ep.GetInstance()]
	if found && now.Sub(o.at) < settle {
		return o.role
	}
	delete(r.ordered, ep.GetInstance())
	if ep.GetRole() == order.RoleLive {
		return order.RoleLive
	}
	return order.RoleRollout
}

// claims puts the load in workers. Live work that fits the slots which rollout
// workers keep for it needs no worker of its own.
func (r *Roles) claims(p pool.Pool, c census) []claim.Claim {
	slots := c.slots / float64(c.total)
	live, rollout := len(c.byRole[order.RoleLive]), len(c.byRole[order.RoleRollout])
	reserved := p.LiveReserve * slots * float64(rollout)
	minimum := min(c.total, int(math.Ceil(float64(p.MinimumSlots)/slots)))
	guarantee := max(minimum, min(c.total, int(math.Ceil(float64(p.GuaranteeSlots)/slots))))
	return []claim.Claim{
		{
			Name:      order.RoleLive,
			Priority:  livePriority,
			Guarantee: c.total - minimum,
			Workers:   live,
			Need:      max(0, c.live-reserved) / slots,
		},
		{
			Name:      order.RoleRollout,
			Priority:  rolloutPriority,
			Minimum:   minimum,
			Guarantee: guarantee,
			Workers:   rollout,
			Need:      (c.busy + float64(r.waiting())) / slots,
		},
	}
}

// move orders the least loaded workers to take the other role.
func (r *Roles) move(ctx context.Context, c census, m move.Move, claims []claim.Claim, now time.Time) {
	from := c.byRole[m.From]
	slices.SortFunc(from, func(a, b *wire.EndpointState) int {
		return cmp.Or(
			cmp.Compare(a.GetLoad().GetRunning(), b.GetLoad().GetRunning()),
			cmp.Compare(a.GetInstance(), b.GetInstance()),
		)
	})
	for _, ep := range from[:min(m.Count, len(from))] {
		r.ordered[ep.GetInstance()] = ordered{role: m.To, at: now}
		r.give(ctx, ep, m.To)
		r.why(object.KindPool, r.name, deed.Deed{
			Verb:  deed.VerbShift,
			What:  ep.GetInstance() + " from " + m.From + " to " + m.To,
			Cause: "load",
			Why: fmt.Sprintf("live work needs %.1f workers beside the slots kept for it and has %d, rollouts need %.1f and have %d",
				claims[0].Need, claims[0].Workers, claims[1].Need, claims[1].Workers),
		})
	}
}

// give sends one order and does not wait: an order that is lost shows as the old
// role once it should have settled, and the worker is moved again.
func (r *Roles) give(ctx context.Context, ep *wire.EndpointState, role string) {
	go func() {
		ctx, cancel := context.WithTimeout(ctx, orderTimeout)
		defer cancel()
		resp, err := r.dial.Door(ep.GetAddress()).Order(ctx, connect.NewRequest(&wire.OrderRequest{
			OrderId:   "role/" + role + "/" + ep.GetInstance(),
			Pool:      r.name,
			Fence:     r.fence,
			Kind:      wire.OrderKind_ORDER_KIND_ROLE,
			Role:      role,
			TimeoutMs: orderTimeout.Milliseconds(),
		}))
		if err == nil {
			err = refuse.Error(resp.Msg.GetRefusal())
		}
		if err != nil {
			r.log.Warn("a worker was not moved", "pool", r.name, "endpoint", ep.GetInstance(), "role", role, "err", err)
		}
	}()
}
