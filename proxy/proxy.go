// Package proxy forwards single requests and streams to endpoints, with retries, hedging
// and resumption, and decides what the caller is told when they fail.
package proxy

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"

	"github.com/lavendermux/lavendermux/bound"
	"github.com/lavendermux/lavendermux/conns"
	"github.com/lavendermux/lavendermux/endpt"
	"github.com/lavendermux/lavendermux/epset"
	"github.com/lavendermux/lavendermux/guard"
	"github.com/lavendermux/lavendermux/h1resp"
	"github.com/lavendermux/lavendermux/inbuf"
	"github.com/lavendermux/lavendermux/manif"
	"github.com/lavendermux/lavendermux/meter"
	"github.com/lavendermux/lavendermux/place"
	"github.com/lavendermux/lavendermux/poison"
	"github.com/lavendermux/lavendermux/rendez"
	"github.com/lavendermux/lavendermux/reqbuf"
	"github.com/lavendermux/lavendermux/reqfp"
	"github.com/lavendermux/lavendermux/upstr"
)

const (
	// maxBodyBytes limits an answer that is buffered before it is passed on.
	maxBodyBytes = 16 << 20
	// hedgeTargetFactor is the latest time at which a repeatable request is hedged to a
	// second endpoint, as a multiple of its latency objective. Nearly all requests are done
	// by then; most of the others are at an endpoint that has stopped responding.
	hedgeTargetFactor = 1.3
	// defaultHedgeDelay is the hedge delay of a route without a latency objective.
	defaultHedgeDelay = 200 * time.Millisecond
	// allFullPause is the wait before endpoints that were all full are asked again.
	allFullPause = 20 * time.Millisecond
	// requestsPerSlot limits the requests at an endpoint, running and queued: as many may
	// queue there as it has slots.
	requestsPerSlot = 2
	// deadlineMargin is subtracted from the caller's deadline, so that the answer still
	// reaches the caller in time.
	deadlineMargin = 15 * time.Millisecond
	// refusedRetryAfter is the Retry-After of a refused request: a few times the duration
	// of one request.
	refusedRetryAfter = 100 * time.Millisecond
	// maxNotRun limits the attempts that endpoints refuse or that never reach one.
	maxNotRun = 6
)

type (
	// Forwarder forwards requests to endpoints. See New.
	Forwarder struct {
		endpoints  *epset.Registry
		sender     upstr.Sender
		picker     *place.Picker
		logger     *log.Logger
		dataCentre string
		instance   string
		meter      *meter.Meter
		countUsage func(customer string) (undo func())
		guard      *guard.Tracker
		// queues is nil if requests don't wait for capacity.
		queues *queues
		hedges hedges
		// bodies bounds the memory of answers that are being read.
		bodies *inbuf.Pool
	}

	// Option configures a Forwarder in New.
	Option func(*Forwarder)

	// Request is a caller's request.
	Request struct {
		ID     string
		Method string
		Target string
		Host   string
		Header http.Header
		Body   *reqbuf.Body
		Route  *manif.Route
		// Customer is charged for the request; "" where customers have no API keys.
		Customer string
		// Priority orders requests that wait for capacity; 0 is the highest priority.
		Priority int
		// Deadline is when the caller stops waiting; zero means never.
		Deadline time.Time
		// Internal marks a call that the system itself makes for an item of a batch. It
		// may be repeated whatever its route says, and Deadline alone limits it.
		Internal bool

		// fp is the fingerprint, which identifies identical requests. Forward and
		// Stream set it.
		fp reqfp.Fingerprint
	}

	// Response is the endpoint's answer that the caller gets.
	Response struct {
		Status int
		Header http.Header
		Body   []byte
		// Receipt is the endpoint's signature; "" if it gave none.
		Receipt string
		// ServerErrors is the number of endpoints that answered with status 500.
		ServerErrors int
		// Endpoint is the ID of the endpoint that gave the answer.
		Endpoint string
	}

	// RefusedError reports that the request has not run and never will.
	RefusedError struct {
		Cause string
		// RetryAfter is how long to wait before a retry; 0 means unknown.
		RetryAfter time.Duration
		// Quarantine is set if the request is quarantined because endpoints crashed while they
		// ran it; nil for other causes.
		Quarantine *poison.QuarantineError
		// callerGone is set if the caller disconnected while its request waited.
		callerGone bool
	}

	// UnknownOutcomeError reports that the request may have run.
	UnknownOutcomeError struct {
		// TimedOut reports whether the deadline passed.
		TimedOut bool
		Cause    error
	}

	// attemptResult is the result of one attempt.
	attemptResult struct {
		endpoint endpt.Endpoint
		response *Response
		err      error
	}
)

// Error names the cause.
func (e *RefusedError) Error() string { return "refused: " + e.Cause }

// refusal returns a RefusedError for the quarantine that quarantineErr reports, or for
// cause if it reports none.
func refusal(quarantineErr error, cause string) *RefusedError {
	var quarantine *poison.QuarantineError
	if errors.As(quarantineErr, &quarantine) {
		return &RefusedError{Cause: quarantine.Error(), RetryAfter: quarantine.RetryAfter, Quarantine: quarantine}
	}
	return &RefusedError{Cause: cause, RetryAfter: refusedRetryAfter}
}

// Error names the cause.
func (e *UnknownOutcomeError) Error() string { return fmt.Sprintf("failed: %v", e.Cause) }

// Unwrap returns the cause.
func (e *UnknownOutcomeError) Unwrap() error { return e.Cause }

// New returns a forwarder that prefers endpoints of the given data centre.
//
//	f := proxy.New(set, sender, "dc-a", logger, meter)
//	answer, err := f.Forward(ctx, request)
func New(endpoints *epset.Registry, sender upstr.Sender, dataCentre string, logger *log.Logger, m *meter.Meter, opts ...Option) *Forwarder {
	f := &Forwarder{endpoints: endpoints, sender: sender, picker: place.New(), dataCentre: dataCentre, logger: logger, meter: m,
		guard: guard.New(logger, m), hedges: hedges{services: make(map[string]*hedgedService)}, bodies: inbuf.New(inbuf.WithMaxMessage(maxBodyBytes))}
	for _, opt := range opts {
		opt(f)
	}
	return f
}

// WithUsage sets f, which is called at the moment at which a customer's request is sent to
// an endpoint, and whose undo is called if no endpoint ran the request after all. A request
// counts once, however often it is sent. By default nothing is counted.
func WithUsage(f func(customer string) (undo func())) Option {
	return func(fw *Forwarder) { fw.countUsage = f }
}

// WithInstance sets the name of this instance, which orders endpoints that are equal otherwise.
// By default it is empty.
func WithInstance(name string) Option {
	return func(fw *Forwarder) { fw.instance = name }
}

// WithGuard sets the detector of poison requests. By default the forwarder has one of its
// own.
func WithGuard(g *guard.Tracker) Option {
	return func(fw *Forwarder) { fw.guard = g }
}

// WithAnswerMemory sets the memory for answers that are being read, in bytes, which is a part of parent
// unless that is nil. The default is 64 MiB. Beyond it, answers are given up.
func WithAnswerMemory(n int64, parent *bound.Pool) Option {
	return func(fw *Forwarder) {
		fw.bodies = inbuf.New(inbuf.WithTotal(n), inbuf.WithMaxMessage(maxBodyBytes), inbuf.WithParent(parent))
	}
}

// usageCounter returns the counter of a request, or nil if nobody is charged for it.
func (f *Forwarder) usageCounter(r Request) *usageCounter {
	if f.countUsage == nil || r.Customer == "" || r.Internal {
		return nil
	}
	return &usageCounter{countUsage: func() func() { return f.countUsage(r.Customer) }}
}

func (r *Request) fingerprint() reqfp.Fingerprint {
	return reqfp.Of(r.Customer, r.Host, r.Target, r.Body.Segments()...)
}

// mayRepeat reports whether the request may run more than once.
func (r *Request) mayRepeat() bool { return r.Internal || r.Route.IsRepeatable() }

// objective returns the latency objective; 0 if there is none. It is one of callers only: the
// system's own calls have a deadline.
func (r *Request) objective() time.Duration {
	if r.Internal {
		return 0
	}
	return r.Route.Target
}

// ResponseDeadline returns the time by which a request must have its answer: the earlier of the
// route's timeout (an hour if it has none) and the caller's deadline, less a margin.
func ResponseDeadline(start time.Time, route *manif.Route, deadline time.Time) time.Time {
	until := start.Add(time.Hour)
	if route.Timeout > 0 {
		until = start.Add(route.Timeout)
	}
	if !deadline.IsZero() && deadline.Before(until) {
		until = deadline
	}
	return until.Add(-deadlineMargin)
}

// Forward sends a request and returns the complete answer of an endpoint. Its errors are
// *RefusedError and *UnknownOutcomeError.
func (f *Forwarder) Forward(ctx context.Context, r Request) (*Response, error) {
	start := time.Now()
	deadline := ResponseDeadline(start, r.Route, r.Deadline)
	if r.Internal {
		deadline = r.Deadline
	}
	r.Deadline = deadline
	r.fp = r.fingerprint()
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	a := &attempts{f: f, r: r, ctx: ctx, results: make(chan attemptResult, r.Route.MaxAttempts+maxNotRun), usageCounter: f.usageCounter(r),
		admission: f.newAdmission(&r, deadline)}
	a.startHedging(start)
	response, err := a.run()
	a.reportHedge(response)
	outcome := outcomeOf(err)
	f.meter.Count("requests_total", 1, "route", r.Route.Name, "outcome", outcome)
	f.meter.Observe("request_seconds", time.Since(start), "route", r.Route.Name)
	status := 0
	if response != nil {
		status = response.Status
	}
	f.logger.Info("Request done.", append([]any{"request", r.ID, "print", r.fp, "route", r.Route.Name, "outcome", outcome, "error", err, "status", status,
		"sent", a.sent, "notRun", a.notRun, "endpoints", a.used, "left", time.Until(deadline).Round(time.Millisecond),
		"customer", r.Customer, "dataCentre", f.dataCentre, "objective", r.objective().Milliseconds(), "internal", r.Internal,
		"took", time.Since(start).Round(time.Millisecond)}, a.admission.finish()...)...)
	return response, err
}

// outcomeOf returns the outcome label of a request for logs and metrics.
func outcomeOf(err error) string {
	var refused *RefusedError
	var failed *UnknownOutcomeError
	switch {
	case err == nil:
		return "answered"
	case errors.As(err, &refused) && refused.Quarantine != nil:
		return "held"
	case errors.As(err, &refused) && refused.callerGone:
		return "callerGone"
	case errors.As(err, &refused):
		return "refused"
	case errors.Is(err, context.Canceled):
		return "callerGone"
	case errors.As(err, &failed) && failed.TimedOut:
		return "late"
	}
	return "failed"
}

// send sends the request to one endpoint and reads the complete answer.
func (f *Forwarder) send(ctx context.Context, r Request, e endpt.Endpoint, usage *sendUsage) attemptResult {
	defer f.begin(e)()
	defer f.endGuarded(r, e)
	call := upstr.Call{
		Endpoint:    e,
		ID:          r.ID,
		Method:      r.Method,
		Target:      r.Target,
		Host:        r.Host,
		Header:      r.Header,
		Body:        r.Body,
		Customer:    r.Customer,
		LastEventID: upstr.FromStart,
		OnSent:      usage.sent,
	}
	// The budget always ends at the deadline of the request, even where this attempt is
	// cancelled sooner, so that a later attempt never gets a longer budget than the
	// first.
	call.Timeout = time.Until(r.Deadline)
	start := time.Now()
	a, err := f.sender.Send(ctx, call)
	if err != nil {
		var notRun *upstr.NotRunError
		if errors.As(err, &notRun) {
			usage.notRun()
		}
		f.recordFailure(ctx, r, e, err)
		return attemptResult{endpoint: e, err: err}
	}
	defer a.Body.Close()
	body, err := f.readBody(r, a)
	if err != nil {
		err = &upstr.UnknownOutcomeError{Endpoint: e.ID, Cause: err}
		f.recordFailure(ctx, r, e, err)
		return attemptResult{endpoint: e, err: err}
	}
	f.observe(r, e, a.Status, time.Since(start))
	if a.Status < http.StatusInternalServerError {
		f.guard.ReportAnswer(r.fp)
	}
	return attemptResult{endpoint: e, response: &Response{Status: a.Status, Header: a.Header, Body: body, Receipt: a.Receipt, Endpoint: e.ID}}
}

// readBody reads the body of an answer, of which each endpoint may send more than there is memory for.
func (f *Forwarder) readBody(r Request, a *upstr.Response) ([]byte, error) {
	length := a.Length
	if length <= 0 || r.Method == http.MethodHead {
		length = -1 // unknown, or that of the body of another request
	}
	return f.bodies.ReadAll(a.Body, length)
}

// recordFailure updates the state of the endpoint after a failed attempt. An attempt that
// was cancelled on this side says nothing about the endpoint.
func (f *Forwarder) recordFailure(ctx context.Context, r Request, e endpt.Endpoint, err error) {
	var notRun *upstr.NotRunError
	var invalid *h1resp.Error
	var cut *conns.CutShortError
	switch {
	case errors.As(err, &invalid):
		f.meter.Count("invalid_responses_total", 1, "service", e.Service)
		f.logger.Warn("Invalid response.", "request", r.ID, "endpoint", e.ID, "service", e.Service, "error", invalid)
	case errors.As(err, &cut):
		f.meter.Count("cut_responses_total", 1, "service", e.Service)
		f.logger.Warn("Response cut short.", "request", r.ID, "endpoint", e.ID, "service", e.Service, "error", cut)
	}
	switch {
	case errors.As(err, &notRun) && notRun.Gone:
		f.endpoints.Forget(e)
		f.guard.ReportEndpointExit(e)
	case errors.As(err, &notRun) && notRun.Status != 0:
		// The endpoint is temporarily full.
	case ctx.Err() == nil:
		f.endpoints.MarkFailed(e, time.Now())
		if upstr.IsDisconnect(err) && !errors.As(err, &notRun) {
			if r.Internal {
				f.guard.ReportDeferredDisconnect(r.ID, r.fp, e, err)
				return
			}
			f.guard.ReportDisconnectAndWait(ctx, r.ID, r.fp, e, err)
			if r.mayRepeat() {
				f.guard.Sync(ctx, r.fp)
			}
		}
	}
}

// pick returns the endpoint for the next attempt, preferably one that was not used
// before.
func (f *Forwarder) pick(service string, used []string) (endpt.Endpoint, bool) {
	now := time.Now()
	var untried, all []epset.View
	// Each entry has an order of its own. Otherwise all entries, each of which sees its own few
	// requests only, would send them to the same endpoint.
	views := rendez.Order(f.instance, f.endpoints.Available(service), func(v epset.View) string { return v.ID })
	for _, v := range views {
		all = append(all, v)
		if !contains(used, v.ID) {
			untried = append(untried, v)
		}
	}
	for _, views := range [][]epset.View{untried, all} {
		candidates := make([]place.Candidate, len(views))
		for i, v := range views {
			candidates[i] = place.Candidate{
				Slots:    f.limitAt(v, now),
				Running:  v.Running,
				UnitTime: max(v.Factor, 1) * f.loadFactor(v),
				Remote:   v.DataCentre != f.dataCentre,
				Avoid:    now.Before(v.AvoidUntil) || now.Before(v.SuspectUntil) || v.InSpell,
			}
		}
		if i, ok := f.picker.Pick(candidates); ok {
			return views[i].Endpoint, true
		}
	}
	return endpt.Endpoint{}, false
}

func contains(list []string, s string) bool {
	for _, x := range list {
		if x == s {
			return true
		}
	}
	return false
}
