package swaps

import (
	"context"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"
	"github.com/lavendermux/lavendermux/acts"
	"github.com/lavendermux/lavendermux/fault"
	"github.com/lavendermux/lavendermux/object"
	"github.com/lavendermux/lavendermux/order"
	"github.com/lavendermux/lavendermux/pool"
	"github.com/lavendermux/lavendermux/rpcerr"
	"github.com/lavendermux/lavendermux/task"
	"github.com/lavendermux/lavendermux/wire"
	"github.com/lavendermux/lavendermux/worker"
)

// sendOrder sends one order in a goroutine. The caller holds mu.
func (s *Controller) sendOrder(ctx context.Context, p pool.Pool, r *rollout, ep *wire.EndpointState, kind string) {
	id := ep.GetInstance()
	if r.pending[id] != "" {
		return
	}
	req := &wire.OrderRequest{
		OrderId: r.model + "/" + r.version + "/" + kind + "/" + id,
		Pool:    s.name,
		Fence:   s.fencingToken,
		Model:   r.model,
		Version: r.version,
	}
	timeout := time.Duration(p.SwitchTimeout)
	if kind == order.Stage {
		if s.stageTokens < 1 {
			return
		}
		s.stageTokens--
	}
	switch kind {
	case order.Stage:
		r.pending[id] = worker.Staging
		req.Kind = wire.OrderKind_ORDER_KIND_STAGE
		timeout = stageTimeout
	case order.Switch:
		r.pending[id] = worker.Switching
		req.Kind = wire.OrderKind_ORDER_KIND_SWITCH
	case task.Ask:
		r.pending[id] = worker.Unknown
		req.Kind = wire.OrderKind_ORDER_KIND_ASK
	default:
		return
	}
	req.TimeoutMs = timeout.Milliseconds()
	s.inFlight.Add(1)
	go func() {
		defer s.inFlight.Done()
		ctx, cancel := context.WithTimeout(ctx, timeout+queryDelay)
		defer cancel()
		resp, err := s.dial.Door(ep.GetAddress()).Order(ctx, connect.NewRequest(req))
		s.handleResponse(r, id, kind, resp, err)
	}()
}

// updateState keeps the newest state from a worker's responses. Responses to orders for
// two models may arrive out of order; an older state would cause a repeated order.
func (s *Controller) updateState(id string, st *wire.EndpointState, now time.Time) {
	last := s.reported[id]
	if last != nil && last.state.GetBoot() == st.GetBoot() && last.state.GetAnswer() > st.GetAnswer() {
		return
	}
	s.reported[id] = &reportedState{state: st, at: now}
}

// handleResponse records the outcome of an order.
func (s *Controller) handleResponse(r *rollout, id, kind string, resp *connect.Response[wire.OrderResponse], err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	delete(r.pending, id)
	delete(r.unknown, id)
	if err != nil {
		r.unknown[id] = true
		r.notBefore[id] = now.Add(queryDelay)
		s.log.Warn("order got no answer, outcome unknown", "pool", s.name, "worker", id, "err", err)
		return
	}
	s.updateState(id, resp.Msg.GetState(), now)
	if resp.Msg.GetDone() {
		return
	}
	refusal := rpcerr.Decode(resp.Msg.GetRefusal())
	if refusal == nil {
		refusal = &fault.UnknownOutcomeError{Cause: rpcerr.CauseInternal, Reason: "the door neither confirmed nor refused"}
	}
	s.handleRefusal(r, id, kind, refusal, now)
}

func (s *Controller) handleRefusal(r *rollout, id, kind string, err error, now time.Time) {
	var (
		old    *fault.FencedError
		notRun *fault.NotRunError
	)
	switch {
	case errors.As(err, &old):
		s.fencedErr = old
		r.notBefore[id] = now.Add(failureDelay)
	case errors.As(err, &notRun) && notRun.Cause == causeNotReady:
		r.notBefore[id] = now.Add(max(notRun.RetryAfter, queryDelay))
	case errors.As(err, &notRun) && notRun.Cause == causeStore:
		// A refusal by the store is no evidence against the version.
		r.pace.Refused()
		r.notBefore[id] = now.Add(queryDelay)
	case errors.As(err, &notRun):
		r.recordFailure(id, kind)
		r.notBefore[id] = now.Add(failureDelay)
	default:
		r.recordFailure(id, kind)
		r.unknown[id] = s.outcomeUnknown(id)
		r.notBefore[id] = now.Add(queryDelay)
	}
	s.record(object.KindPool, s.name, acts.Action{
		Verb:    acts.VerbReject,
		Summary: "order for " + r.model + " version " + r.version + " not carried out at " + id,
		Cause:   "order",
		Reason:  err.Error(),
	})
}

// recordFailure counts a failed order. The count starts anew when the kind of order
// changes.
func (r *rollout) recordFailure(id, kind string) {
	f := r.failed[id]
	if f.kind != kind {
		f = failureCount{kind: kind}
	}
	f.count++
	r.failed[id] = f
}

const (
	// causeNotReady is a sidecar's refusal before it knows its engine.
	causeNotReady = "notReady"
	// causeStore is a sidecar's refusal when its engine couldn't fetch the weights.
	causeStore = "weightStore"
)

// outcomeUnknown reports whether the engine hasn't reported yet what it runs. If it
// reports that it runs no version, the switch failed and is ordered again.
func (s *Controller) outcomeUnknown(id string) bool {
	last := s.reported[id]
	return last == nil || !last.state.GetReady()
}

func findEndpoint(endpoints []*wire.EndpointState, id string) *wire.EndpointState {
	for _, ep := range endpoints {
		if ep.GetInstance() == id {
			return ep
		}
	}
	return nil
}
