package entry

import (
	"context"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"
	"github.com/lavendermux/lavendermux/blobdb"
	"github.com/lavendermux/lavendermux/fault"
	"github.com/lavendermux/lavendermux/hubs"
	"github.com/lavendermux/lavendermux/wire"
)

var errNotLoaded = errors.New("this instance has no configuration yet")

// peerHandler serves the RPCs between entry instances: heartbeats through the hub,
// requests for the leader of a job, and replicas on disk.
type peerHandler struct {
	*hubs.Hub
	entry *Entry
}

// Relay implements wireconnect.PeerServiceHandler.
func (h *peerHandler) Relay(
	ctx context.Context, req *connect.Request[wire.RelayRequest],
) (*connect.Response[wire.RelayResponse], error) {
	status, answer, held := h.entry.Handle(ctx, req.Msg.GetJob(), req.Msg.GetAction(), req.Msg.GetBody())
	return connect.NewResponse(&wire.RelayResponse{
		Status:    int32(status),
		Body:      answer,
		NotHolder: !held,
	}), nil
}

// Fence implements wireconnect.PeerServiceHandler. It returns an error while the instance
// has no configuration: it has just started and has seen no holder of any job.
func (h *peerHandler) Fence(
	_ context.Context, req *connect.Request[wire.FenceRequest],
) (*connect.Response[wire.FenceResponse], error) {
	if !h.entry.conf.Loaded() {
		return nil, connect.NewError(connect.CodeUnavailable, errNotLoaded)
	}
	job := req.Msg.GetJob()
	fence := h.entry.view.Fence(job)
	for _, j := range h.entry.jobs.Held() {
		if j.GetJob() == job {
			fence = max(fence, j.GetFence())
		}
	}
	return connect.NewResponse(&wire.FenceResponse{Fence: fence}), nil
}

// Keep implements wireconnect.PeerServiceHandler.
func (h *peerHandler) Keep(
	_ context.Context, req *connect.Request[wire.KeepRequest],
) (*connect.Response[wire.KeepResponse], error) {
	disk := h.entry.disk
	if disk == nil {
		return nil, connect.NewError(connect.CodeFailedPrecondition, errNoDisk)
	}
	var err error
	if req.Msg.GetDrop() {
		err = disk.Delete(req.Msg.GetKey(), req.Msg.GetFence())
	} else {
		err = disk.Put(req.Msg.GetKey(), req.Msg.GetValue(), req.Msg.GetFence())
	}
	var (
		old  *fault.FencedError
		full *blobdb.FullError
	)
	switch {
	case errors.As(err, &old):
		return connect.NewResponse(&wire.KeepResponse{OldFence: true}), nil
	case errors.As(err, &full):
		return nil, connect.NewError(connect.CodeResourceExhausted, full)
	case err != nil:
		return nil, connect.NewError(connect.CodeInternal, err)
	}
	return connect.NewResponse(&wire.KeepResponse{}), nil
}

// Kept implements wireconnect.PeerServiceHandler.
func (h *peerHandler) Kept(
	_ context.Context, req *connect.Request[wire.KeptRequest],
) (*connect.Response[wire.KeptResponse], error) {
	disk := h.entry.disk
	if disk == nil {
		return nil, connect.NewError(connect.CodeFailedPrecondition, errNoDisk)
	}
	blobs, more, err := disk.List(req.Msg.GetPrefix(), req.Msg.GetAfterKey())
	if err != nil {
		return nil, connect.NewError(connect.CodeInternal, err)
	}
	return connect.NewResponse(&wire.KeptResponse{Blobs: blobs, More: more}), nil
}
