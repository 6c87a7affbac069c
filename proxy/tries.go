package proxy

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lavendermux/lavendermux/endpt"
	"github.com/lavendermux/lavendermux/upstr"
)

// attempts is the state of one request across its attempts.
type attempts struct {
	f       *Forwarder
	r       Request
	ctx     context.Context
	results chan attemptResult
	// usageCounter counts the request for its customer.
	usageCounter *usageCounter
	admission    *admission
	// used has the IDs of the endpoints that were asked, in order.
	used []string
	// lastEndpoint is the endpoint of the latest attempt, and hedge what is known about a
	// second copy.
	lastEndpoint endpt.Endpoint
	hedge        hedge
	// sent counts attempts that may have run, inFlight those without a result, notRun
	// those that certainly have not run.
	sent, inFlight, notRun int
	// serverErrors counts answers with status 500.
	serverErrors int
	// lastErr is the error of the last attempt that may have run; errorResponse is a 5xx
	// answer of an endpoint, which is passed on if no better one arrives.
	lastErr       error
	errorResponse *Response
	// quarantineErr is why the request is not sent to another endpoint; nil if it is not
	// quarantined.
	quarantineErr error
}

func (a *attempts) run() (*Response, error) {
	if !a.sendNext() {
		return nil, a.admission.refusal(a.quarantineErr, "no endpoint accepts requests")
	}
	for {
		hedge := time.NewTimer(a.hedgeDelay())
		select {
		case res := <-a.results:
			hedge.Stop()
			if d := a.handleResult(res); d.done {
				return d.response, d.err
			}
		case <-hedge.C:
			if a.canHedge() {
				a.sendHedge()
			}
		case <-a.ctx.Done():
			hedge.Stop()
			return a.contextDone()
		}
	}
}

func (a *attempts) hedgeDelay() time.Duration {
	if !a.canHedge() {
		return time.Hour
	}
	if a.r.Route.Target <= 0 {
		return defaultHedgeDelay
	}
	return time.Until(a.hedgeAt())
}

func (a *attempts) canHedge() bool {
	// If the request has crashed an endpoint, a hedge might crash another one.
	return a.r.mayRepeat() && a.inFlight == 1 && a.sent < a.r.Route.MaxAttempts && !a.f.isSuspect(a.r)
}

// sendNext sends the request to one more endpoint, after a wait for capacity unless a send
// is in flight. It returns false if the request is quarantined or no endpoint takes it.
func (a *attempts) sendNext() bool {
	if a.quarantineErr = a.f.checkQuarantine(a.r); a.quarantineErr != nil {
		return false
	}
	e, room, ok := a.admission.choose(a.ctx, a.used, a.inFlight > 0)
	if !ok {
		return false
	}
	if a.quarantineErr = a.f.beginGuarded(a.r, e); a.quarantineErr != nil {
		room.cancel()
		return false
	}
	a.used = a.admission.addUsed(a.used, e.ID)
	a.lastEndpoint, a.hedge.after = e, time.Now()
	a.sent++
	a.inFlight++
	go func() {
		start := time.Now()
		res := a.f.send(a.ctx, a.r, e, a.usageCounter.send())
		room.end(a.ctx, res.err, res.err == nil && res.response.Status < http.StatusInternalServerError)
		if res.err != nil && a.ctx.Err() != nil {
			a.f.observeCancelled(a.r, e, time.Since(start))
		}
		a.results <- res
	}()
	return true
}

// decision is what a result means for the request; done is set once the outcome is final.
type decision struct {
	response *Response
	err      error
	done     bool
}

// handleResult processes the result of an attempt.
func (a *attempts) handleResult(res attemptResult) decision {
	a.inFlight--
	var notRun *upstr.NotRunError
	switch {
	case res.err == nil && (res.response.Status < http.StatusInternalServerError || !a.r.mayRepeat()):
		return decision{response: res.response, done: true}
	case res.err == nil:
		if res.response.Status == http.StatusInternalServerError {
			a.serverErrors++
		}
		a.errorResponse = res.response
		a.errorResponse.ServerErrors = a.serverErrors
	case errors.As(res.err, &notRun):
		a.sent--
		if a.admission.countsRefusal(notRun) {
			a.notRun++
		}
	default:
		a.lastErr = res.err
	}
	if a.inFlight > 0 {
		return decision{}
	}
	return a.retryOrFinish()
}

// retryOrFinish sends the request once more if that is allowed, or returns the final
// outcome.
func (a *attempts) retryOrFinish() decision {
	mayHaveRun := a.lastErr != nil || a.errorResponse != nil
	canRetry := a.sent < a.r.Route.MaxAttempts && (!mayHaveRun || a.r.mayRepeat())
	if canRetry && a.notRun < maxNotRun {
		if a.admission.queue == nil && a.notRun > 0 && a.notRun%2 == 0 && !a.pause(allFullPause) {
			response, err := a.contextDone()
			return decision{response: response, err: err, done: true}
		}
		if a.sendNext() {
			return decision{}
		}
	}
	switch {
	case a.errorResponse != nil:
		return decision{response: a.errorResponse, done: true}
	case a.lastErr != nil:
		return decision{err: &UnknownOutcomeError{Cause: a.lastErr}, done: true}
	}
	return decision{err: a.admission.refusal(a.quarantineErr, "all endpoints are full"), done: true}
}

func (a *attempts) contextDone() (*Response, error) {
	if a.errorResponse != nil {
		return a.errorResponse, nil
	}
	if a.inFlight == 0 && a.lastErr == nil {
		return nil, &RefusedError{Cause: "no endpoint became available in time", RetryAfter: refusedRetryAfter}
	}
	return nil, &UnknownOutcomeError{TimedOut: errors.Is(a.ctx.Err(), context.DeadlineExceeded), Cause: a.ctx.Err()}
}

func (a *attempts) pause(d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-a.ctx.Done():
		return false
	}
}
