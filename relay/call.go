package relay

import (
	"context"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"
	"github.com/lavendermux/lavendermux/fault"
	"github.com/lavendermux/lavendermux/refuse"
	"github.com/lavendermux/lavendermux/tenure"
	"github.com/lavendermux/lavendermux/wire"
	"google.golang.org/protobuf/proto"
)

const (
	// CauseHomeAway says that the endpoint which remembers a request's
	// idempotency key cannot be reached now.
	CauseHomeAway = "homeAway"
	// homeAwayRetry is the time in which a restarted door is back.
	homeAwayRetry = 2 * time.Second
)

type (
	// reply is what one door answered.
	reply struct {
		resp *wire.CallResponse
		err  error
	}
)

// Call passes req to an endpoint of its service and returns the whole answer.
// Its errors are *fault.NotRunError, *fault.UnknownOutcomeError and
// *fault.FieldError. A request that is not idempotent is handed over at most
// once; one with an idempotency key goes to the endpoint among homes that
// remembers the key, and to no other.
func (r *Relay) Call(ctx context.Context, req *wire.CallRequest, homes []string) (*wire.CallResponse, error) {
	r.first(req.GetService())
	if req.GetIdempotencyKey() != "" && !req.GetIdempotent() {
		return r.callHome(ctx, req, homes)
	}
	tried := map[string]bool{}
	for attempt := 1; ; attempt++ {
		resp, err := r.callOnce(ctx, req, tried)
		if err == nil {
			return resp, nil
		}
		wait, more := r.callAgain(ctx, req, err, attempt)
		if !more {
			return nil, err
		}
		if pause(ctx, wait) != nil {
			return nil, err
		}
	}
}

// callAgain decides whether a failed call is sent once more. A refusal with
// another endpoint to ask needs no wait.
func (r *Relay) callAgain(ctx context.Context, req *wire.CallRequest, err error, attempt int) (time.Duration, bool) {
	var notRun *fault.NotRunError
	if errors.As(err, &notRun) && notRun.Cause == CauseNoEndpoint {
		return 0, false
	}
	if ctx.Err() != nil {
		return 0, false
	}
	if r.second(req.GetService(), err, attempt) {
		return 0, true
	}
	wait, more := r.again(req.GetService(), err, req.GetIdempotent(), attempt)
	deadline, set := ctx.Deadline()
	if set && time.Until(deadline) <= wait {
		return 0, false
	}
	return wait, more
}

// callHome sends a keyed request to the one endpoint that remembers its key.
// Two copies that came through different entries meet there.
func (r *Relay) callHome(ctx context.Context, req *wire.CallRequest, homes []string) (*wire.CallResponse, error) {
	id := tenure.HomeOf(req.GetIdempotencyKey(), homes)
	door := r.view.Endpoint(id)
	if door == nil || door.GetGone() {
		return nil, &fault.NotRunError{
			Cause:      CauseHomeAway,
			Reason:     "the endpoint that remembers this idempotency key cannot be reached",
			RetryAfter: homeAwayRetry,
		}
	}
	got := r.callDoor(ctx, req, door)
	return got.resp, got.err
}

// callOnce asks the best door, and when the request may be repeated and the
// answer takes unusually long, a second one beside it.
func (r *Relay) callOnce(ctx context.Context, req *wire.CallRequest, tried map[string]bool) (*wire.CallResponse, error) {
	doors := r.pick(req.GetService(), 0, tried)
	if len(doors) == 0 {
		return nil, &fault.NotRunError{
			Cause:      CauseNoEndpoint,
			Reason:     "no endpoint of " + req.GetService() + " takes work",
			RetryAfter: noEndpointRetry,
		}
	}
	tried[doors[0].GetInstance()] = true
	after, hedged := r.hedge(req.GetService(), req.GetIdempotent())
	if !hedged || len(doors) < 2 {
		got := r.callDoor(ctx, req, doors[0])
		return got.resp, got.err
	}
	return r.callHedged(ctx, req, doors, after)
}

func (r *Relay) callHedged(
	ctx context.Context, req *wire.CallRequest, doors []*wire.EndpointState, after time.Duration,
) (*wire.CallResponse, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	replies := make(chan reply, len(doors))
	ask := func(door *wire.EndpointState) {
		replies <- r.callDoor(ctx, proto.CloneOf(req), door)
	}
	go ask(doors[0])
	running := 1
	timer := time.NewTimer(after)
	defer timer.Stop()
	for {
		select {
		case <-timer.C:
			if r.spend(req.GetService()) {
				running++
				go ask(doors[1])
			}
		case got := <-replies:
			running--
			if got.err == nil || running == 0 {
				return got.resp, got.err
			}
		}
	}
}

func (r *Relay) callDoor(ctx context.Context, req *wire.CallRequest, door *wire.EndpointState) reply {
	req.TimeoutMs = timeLeft(ctx)
	id := door.GetInstance()
	begin := time.Now()
	r.sent(req.GetService(), id)
	resp, err := r.dial.Door(door.GetAddress()).Call(ctx, connect.NewRequest(req))
	var load *wire.DoorLoad
	var out *wire.CallResponse
	switch {
	case err != nil:
		err = transport(err)
	case resp.Msg.GetRequestId() != req.GetRequestId():
		err = &fault.UnknownOutcomeError{Cause: CauseMixedUp, Reason: "an answer to another request arrived"}
	default:
		out = resp.Msg
		load = out.GetLoad()
		err = refuse.Error(out.GetRefusal())
		if out.GetRefusal() != nil {
			load = out.GetRefusal().GetLoad()
			out = nil
		}
	}
	r.outcome(ctx, req.GetService(), id, load, time.Since(begin), 1, err)
	return reply{resp: out, err: err}
}
