package entry

import (
	"context"

	"connectrpc.com/connect"
	"github.com/lavendermux/lavendermux/hub"
	"github.com/lavendermux/lavendermux/wire"
)

// peerHandler serves the protocol between entries: heartbeats by the hub, and
// what is passed to the holder of a job.
type peerHandler struct {
	*hub.Hub
	entry *Entry
}

// Relay implements wireconnect.PeerServiceHandler.
func (h *peerHandler) Relay(
	ctx context.Context, req *connect.Request[wire.RelayRequest],
) (*connect.Response[wire.RelayResponse], error) {
	status, answer, held := h.entry.Answer(ctx, req.Msg.GetJob(), req.Msg.GetAction(), req.Msg.GetBody())
	return connect.NewResponse(&wire.RelayResponse{
		Status:    int32(status),
		Body:      answer,
		NotHolder: !held,
	}), nil
}

// Keep implements wireconnect.PeerServiceHandler.
func (h *peerHandler) Keep(
	context.Context, *connect.Request[wire.KeepRequest],
) (*connect.Response[wire.KeepResponse], error) {
	return nil, connect.NewError(connect.CodeFailedPrecondition, errNoDisk)
}

// Kept implements wireconnect.PeerServiceHandler.
func (h *peerHandler) Kept(
	context.Context, *connect.Request[wire.KeptRequest],
) (*connect.Response[wire.KeptResponse], error) {
	return nil, connect.NewError(connect.CodeFailedPrecondition, errNoDisk)
}
