package side

import (
	"context"

	"connectrpc.com/connect"
	"github.com/lavendermux/lavendermux/fault"
	"github.com/lavendermux/lavendermux/rpcerr"
	"github.com/lavendermux/lavendermux/wire"
)

// handler serves the RPCs from entry instances to the sidecar. A refusal is a regular
// response; an RPC error never means "not run".
type handler struct {
	sidecar *Sidecar
}

var errWrongKind = &fault.FieldError{Field: "service", Problem: "this endpoint serves another kind of request"}

// Run implements wireconnect.DoorServiceHandler.
func (h *handler) Run(
	ctx context.Context, req *connect.Request[wire.RunRequest], stream *connect.ServerStream[wire.RunEvent],
) error {
	s := h.sidecar
	var err error = errWrongKind
	if s.engine != nil {
		err = s.engine.Run(ctx, req.Msg, stream.Send)
	}
	if err == nil {
		return nil
	}
	return stream.Send(&wire.RunEvent{
		RequestId: req.Msg.GetRequestId(),
		What:      &wire.RunEvent_Refusal{Refusal: s.refusal(req.Msg.GetRequestId(), err)},
	})
}

// Call implements wireconnect.DoorServiceHandler.
func (h *handler) Call(
	ctx context.Context, req *connect.Request[wire.CallRequest],
) (*connect.Response[wire.CallResponse], error) {
	s := h.sidecar
	var resp *wire.CallResponse
	var err error = errWrongKind
	if s.executor != nil {
		resp, err = s.executor.Call(ctx, req.Msg)
	}
	if err != nil {
		resp = &wire.CallResponse{
			RequestId: req.Msg.GetRequestId(),
			Refusal:   s.refusal(req.Msg.GetRequestId(), err),
		}
	}
	return connect.NewResponse(resp), nil
}

// Order implements wireconnect.DoorServiceHandler.
func (h *handler) Order(
	ctx context.Context, req *connect.Request[wire.OrderRequest],
) (*connect.Response[wire.OrderResponse], error) {
	s := h.sidecar
	var err error = errWrongKind
	if s.engine != nil {
		err = s.engine.Order(ctx, req.Msg)
	}
	out := &wire.OrderResponse{Done: err == nil, State: s.orderState()}
	if err != nil {
		s.log.Warn("order not carried out", "kind", req.Msg.GetKind(), "model", req.Msg.GetModel(),
			"version", req.Msg.GetVersion(), "fence", req.Msg.GetFence(), "err", err)
		out.Refusal = rpcerr.Encode(err, nil)
	}
	return connect.NewResponse(out), nil
}

// refusal converts an error to a wire message, and logs and counts it.
func (s *Sidecar) refusal(request string, err error) *wire.Refusal {
	r := rpcerr.Encode(err, s.endpointServer().Load())
	s.log.Debug("refused", "request", request, "cause", r.GetCause(), "err", err)
	s.meter.Count("refusals_total", 1, "outcome", r.GetOutcome().String(), "cause", r.GetCause())
	return r
}

// orderState returns the endpoint's state for the response to an order. Sequence
// number and state are read under one lock, so that a greater number never comes
// with an older state.
func (s *Sidecar) orderState() *wire.EndpointState {
	s.answerMu.Lock()
	defer s.answerMu.Unlock()
	s.answerSeq++
	st := s.heartbeat().GetEndpoint()
	st.Answer = s.answerSeq
	return st
}
