package swaps

import (
	"context"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"
	"github.com/lavendermux/lavendermux/deed"
	"github.com/lavendermux/lavendermux/fault"
	"github.com/lavendermux/lavendermux/object"
	"github.com/lavendermux/lavendermux/order"
	"github.com/lavendermux/lavendermux/pool"
	"github.com/lavendermux/lavendermux/refuse"
	"github.com/lavendermux/lavendermux/task"
	"github.com/lavendermux/lavendermux/wire"
	"github.com/lavendermux/lavendermux/worker"
)

// give sends one order on its way. The caller holds mu.
func (s *Swaps) give(ctx context.Context, p pool.Pool, r *roll, ep *wire.EndpointState, kind string) {
	id := ep.GetInstance()
	if r.busy[id] != "" {
		return
	}
	req := &wire.OrderRequest{
		OrderId: r.model + "/" + r.version + "/" + kind + "/" + id,
		Pool:    s.name,
		Fence:   s.fence,
		Model:   r.model,
		Version: r.version,
	}
	timeout := time.Duration(p.SwitchWithin)
	if kind == order.Stage {
		if s.credit < 1 {
			return
		}
		s.credit--
	}
	switch kind {
	case order.Stage:
		r.busy[id] = worker.Staging
		req.Kind = wire.OrderKind_ORDER_KIND_STAGE
		timeout = stageTimeout
	case order.Switch:
		r.busy[id] = worker.Switching
		req.Kind = wire.OrderKind_ORDER_KIND_SWITCH
	case task.Ask:
		r.busy[id] = worker.Unknown
		req.Kind = wire.OrderKind_ORDER_KIND_ASK
	default:
		return
	}
	req.TimeoutMs = timeout.Milliseconds()
	s.orders.Add(1)
	go func() {
		defer s.orders.Done()
		ctx, cancel := context.WithTimeout(ctx, timeout+askAgain)
		defer cancel()
		resp, err := s.dial.Door(ep.GetAddress()).Order(ctx, connect.NewRequest(req))
		s.heard(r, id, kind, resp, err)
	}()
}

// learn keeps the newest state that a door answered with. Orders for two models
// may be heard in another order than the door answered them; the older state would
// have an order given twice.
func (s *Swaps) learn(id string, st *wire.EndpointState, now time.Time) {
	own := s.known[id]
	if own != nil && own.state.GetBoot() == st.GetBoot() && own.state.GetAnswer() > st.GetAnswer() {
		return
	}
	s.known[id] = &knowledge{state: st, at: now}
}

// heard takes in what came of an order.
func (s *Swaps) heard(r *roll, id, kind string, resp *connect.Response[wire.OrderResponse], err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	delete(r.busy, id)
	delete(r.unknown, id)
	if err != nil {
		r.unknown[id] = true
		r.after[id] = now.Add(askAgain)
		s.log.Warn("an order got no answer", "pool", s.name, "worker", id, "err", err)
		return
	}
	s.learn(id, resp.Msg.GetState(), now)
	if resp.Msg.GetDone() {
		return
	}
	refusal := refuse.Error(resp.Msg.GetRefusal())
	if refusal == nil {
		refusal = &fault.UnknownOutcomeError{Cause: refuse.CauseInternal, Reason: "the door neither confirmed nor refused"}
	}
	s.refused(r, id, kind, refusal, now)
}

func (s *Swaps) refused(r *roll, id, kind string, err error, now time.Time) {
	var (
		old    *fault.OldFenceError
		notRun *fault.NotRunError
	)
	switch {
	case errors.As(err, &old):
		s.lost = old
		r.after[id] = now.Add(failAgain)
	case errors.As(err, &notRun) && notRun.Cause == causeNotReady:
		r.after[id] = now.Add(max(notRun.RetryAfter, askAgain))
	case errors.As(err, &notRun) && notRun.Cause == causeStore:
		// The store's refusal says nothing against the version.
		r.pace.Refused()
		r.after[id] = now.Add(askAgain)
	case errors.As(err, &notRun):
		r.fail(id, kind)
		r.after[id] = now.Add(failAgain)
	default:
		r.fail(id, kind)
		r.unknown[id] = s.unsettled(id)
		r.after[id] = now.Add(askAgain)
	}
	s.why(object.KindPool, s.name, deed.Deed{
		Verb:  deed.VerbRefuse,
		What:  "order for " + r.model + " version " + r.version + " not carried out at " + id,
		Cause: "order",
		Why:   err.Error(),
	})
}

// fail counts a failed order; those of another step do not count with it.
func (r *roll) fail(id, kind string) {
	f := r.failed[id]
	if f.kind != kind {
		f = failures{kind: kind}
	}
	f.count++
	r.failed[id] = f
}

const (
	// causeNotReady is a door's refusal before it knows its engine.
	causeNotReady = "notReady"
	// causeStore is a door's refusal when its engine could not fetch the weights.
	causeStore = "weightStore"
)

// unsettled says whether the engine has not said yet what it runs. One that says
// it runs no version is settled: the switch went wrong, and is ordered again.
func (s *Swaps) unsettled(id string) bool {
	own := s.known[id]
	return own == nil || !own.state.GetReady()
}

func find(endpoints []*wire.EndpointState, id string) *wire.EndpointState {
	for _, ep := range endpoints {
		if ep.GetInstance() == id {
			return ep
		}
	}
	return nil
}
