package relay

import (
	"context"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"
	"github.com/lavendermux/lavendermux/fault"
	"github.com/lavendermux/lavendermux/owners"
	"github.com/lavendermux/lavendermux/reqfp"
	"github.com/lavendermux/lavendermux/rpcerr"
	"github.com/lavendermux/lavendermux/wire"
)

const (
	// CauseKeyOwnerUnreachable reports that the endpoint that owns the request's idempotency key is
	// unreachable.
	CauseKeyOwnerUnreachable = "homeAway"
	// CauseNoKeyOwners reports that the service is so new that no endpoint owns idempotency
	// keys yet.
	CauseNoKeyOwners = "noHomes"
	// maxStatus is the greatest status that HTTP has.
	maxStatus = 599
	// keyOwnerRetryAfter is the time within which a restarted sidecar is back.
	keyOwnerRetryAfter = 2 * time.Second
)

// Call sends req to an endpoint of its service and returns the complete answer. Its
// errors are *fault.NotRunError, *fault.UnknownOutcomeError and *fault.FieldError. A
// request that is not idempotent is submitted at most once; one with an idempotency key
// goes to the endpoint among keyOwners that remembers the key, and to no other.
func (c *Client) Call(ctx context.Context, req *wire.CallRequest, keyOwners []string) (*wire.CallResponse, error) {
	c.recordRequest(req.GetService())
	if req.GetIdempotencyKey() != "" && !req.GetIdempotent() {
		return c.callKeyOwner(ctx, req, keyOwners)
	}
	tried := map[string]bool{}
	mayHaveRun := false
	for attempt := 1; ; attempt++ {
		resp, err := c.callBest(ctx, req, tried)
		if err == nil {
			return resp, nil
		}
		var unknown *fault.UnknownOutcomeError
		mayHaveRun = mayHaveRun || errors.As(err, &unknown)
		wait, retry := c.retryDelay(ctx, req, err, attempt)
		if !retry || pause(ctx, wait) != nil {
			return nil, unknownIfRan(mayHaveRun, err)
		}
	}
}

// unknownIfRan turns a sidecar's "not run" into an unknown outcome if another sidecar may
// have begun the work before.
func unknownIfRan(mayHaveRun bool, err error) error {
	var notRun *fault.NotRunError
	if !mayHaveRun || !errors.As(err, &notRun) {
		return err
	}
	return &fault.UnknownOutcomeError{
		Cause:  notRun.Cause,
		Reason: "the work may have begun, broke off and found no other endpoint: " + notRun.Reason,
	}
}

// retryDelay reports whether a failed call is sent once more, and after which delay.
// Failover to another endpoint after a refusal needs no delay.
func (c *Client) retryDelay(ctx context.Context, req *wire.CallRequest, err error, attempt int) (time.Duration, bool) {
	if isFinal(err) || ctx.Err() != nil {
		return 0, false
	}
	if c.allowFailover(req.GetService(), err, attempt) {
		return 0, true
	}
	wait, allowed := c.allowRetry(req.GetService(), err, req.GetIdempotent(), attempt)
	deadline, ok := ctx.Deadline()
	if ok && time.Until(deadline) <= wait {
		return 0, false
	}
	return wait, allowed
}

// callKeyOwner sends a request with an idempotency key to the one endpoint that remembers
// the key, so that duplicates which arrive through different entries meet there.
func (c *Client) callKeyOwner(ctx context.Context, req *wire.CallRequest, keyOwners []string) (*wire.CallResponse, error) {
	if len(keyOwners) == 0 {
		return nil, &fault.NotRunError{
			Cause:      CauseNoKeyOwners,
			Reason:     "the service's list of endpoints that remember idempotency keys is not written yet",
			RetryAfter: keyOwnerRetryAfter,
		}
	}
	id := owners.Of(req.GetIdempotencyKey(), keyOwners)
	sidecar := c.view.Endpoint(id)
	if sidecar == nil || sidecar.GetGone() {
		return nil, &fault.NotRunError{
			Cause:      CauseKeyOwnerUnreachable,
			Reason:     "the endpoint that remembers this idempotency key cannot be reached",
			RetryAfter: keyOwnerRetryAfter,
		}
	}
	return c.callSidecar(ctx, req, sidecar)
}

// callBest sends the request to the best sidecar that has not been tried.
func (c *Client) callBest(ctx context.Context, req *wire.CallRequest, tried map[string]bool) (*wire.CallResponse, error) {
	sidecars := c.pick(req.GetService(), 0, tried)
	if len(sidecars) == 0 {
		return nil, &fault.NotRunError{
			Cause:      CauseNoEndpoint,
			Reason:     "no endpoint of " + req.GetService() + " takes work",
			RetryAfter: noEndpointRetryAfter,
		}
	}
	tried[sidecars[0].GetInstance()] = true
	return c.callSidecar(ctx, req, sidecars[0])
}

func (c *Client) callSidecar(ctx context.Context, req *wire.CallRequest, sidecar *wire.EndpointState) (*wire.CallResponse, error) {
	req.TimeoutMs = remainingMs(ctx)
	id := sidecar.GetInstance()
	fp := reqfp.Of(req.GetCaller(), req.GetService(), req.GetPath(), req.GetBody())
	if err := c.begin(fp, false, sidecar); err != nil {
		return nil, err
	}
	c.recordSent(req.GetService(), id)
	resp, err := c.dial.Door(sidecar.GetAddress()).Call(ctx, connect.NewRequest(req))
	var load *wire.DoorLoad
	var out *wire.CallResponse
	switch {
	case err != nil:
		err = transportError(err)
	case resp.Msg.GetRequestId() != req.GetRequestId():
		err = &fault.UnknownOutcomeError{Cause: CauseWrongRequestID, Reason: "an answer to another request arrived"}
	default:
		out = resp.Msg
		load = out.GetLoad()
		err = rpcerr.Decode(out.GetRefusal())
		if out.GetRefusal() != nil {
			load = out.GetRefusal().GetLoad()
			out = nil
		}
		if err == nil && !isFinalStatus(out.GetStatus()) {
			out, err = nil, &fault.UnknownOutcomeError{Cause: CauseInvalidStatus, Reason: "an answer without a valid status arrived"}
		}
	}
	c.recordOutcome(ctx, req.GetService(), id, load, err)
	c.end(ctx, req.GetRequestId(), fp, false, sidecar, err, out.GetStatus() >= http.StatusInternalServerError)
	return out, err
}

// isFinalStatus reports whether an answer can have the status. A sidecar of an earlier release passes on
// what its service sends.
func isFinalStatus(status int32) bool { return status >= http.StatusOK && status <= maxStatus }
