package proxy

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lavendermux/lavendermux/conns"
	"github.com/lavendermux/lavendermux/endpt"
	"github.com/lavendermux/lavendermux/guard"
	"github.com/lavendermux/lavendermux/h1resp"
	"github.com/lavendermux/lavendermux/sleep"
	"github.com/lavendermux/lavendermux/stream"
	"github.com/lavendermux/lavendermux/upstr"
)

const (
	// streamIdleTimeout is how long a resumable stream waits for its next event before it
	// resumes at another endpoint. Callers hang up after two seconds or more.
	streamIdleTimeout = 1200 * time.Millisecond
	// resumeDelay is the wait before a stream resumes at another endpoint: the previous
	// endpoint drops the request when its connection closes, which takes a round trip.
	resumeDelay = 10 * time.Millisecond
)

var errStreamIdle = errors.New("the stream went silent")

type (
	// Sink receives the parts of a streamed answer.
	Sink interface {
		// WriteHeader passes on the status and the header. It is called once, before the first
		// Write.
		WriteHeader(status int, header http.Header)
		// Write passes bytes on to the caller without buffering.
		Write(p []byte) error
	}

	// streamRequest is one streamed answer, assembled from one or more attempts.
	streamRequest struct {
		f           *Forwarder
		r           Request
		sink        Sink
		versionLine string
		// lastEvent is the ID of the last event that was passed on, or upstr.FromStart.
		lastEvent int64
		// headSent is set once the caller has the header.
		headSent bool
		attempts int
		used     []string
		// usage counts the request for its customer, from its first event on.
		usage     *sendUsage
		admission *admission
	}
)

// Stream passes an endpoint's events on as they arrive. A broken stream is resumed at
// another endpoint if its route allows that. versionLine names the line that holds the
// weight version, and lastEvent is the event after which the caller asks to resume. On an
// error with headSent, the caller's connection must be closed without a regular end of
// the answer.
func (f *Forwarder) Stream(ctx context.Context, r Request, versionLine string, lastEvent int64, sink Sink) (headSent bool, err error) {
	start := time.Now()
	deadline := ResponseDeadline(start, r.Route, r.Deadline)
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	r.fp = r.fingerprint()
	s := &streamRequest{f: f, r: r, sink: sink, versionLine: versionLine, lastEvent: lastEvent, usage: f.usageCounter(r).send()}
	s.admission = f.newAdmission(&s.r, deadline)
	err = s.run(ctx)
	outcome := outcomeOf(err)
	f.meter.Count("streams_total", 1, "route", r.Route.Name, "outcome", outcome)
	f.logger.Info("Stream done.", append([]any{"request", r.ID, "print", r.fp, "route", r.Route.Name, "outcome", outcome, "error", err, "runs", s.attempts,
		"endpoints", s.used, "last", s.lastEvent, "customer", r.Customer, "dataCentre", f.dataCentre, "objective", r.objective().Milliseconds(),
		"took", time.Since(start).Round(time.Millisecond)}, s.admission.finish()...)...)
	return s.headSent, err
}

func (s *streamRequest) run(ctx context.Context) error {
	var lastErr, quarantineErr error
	for notRun := 0; s.attempts < s.r.Route.MaxAttempts && notRun < maxNotRun; {
		e, room, ok := s.admission.choose(ctx, s.used, false)
		if !ok {
			break
		}
		if quarantineErr = s.f.guard.Begin(s.r.fp, e); quarantineErr != nil {
			room.cancel()
			break
		}
		s.used = s.admission.addUsed(s.used, e.ID)
		err := s.attemptWith(ctx, e, room)
		var refusal *upstr.NotRunError
		switch {
		case err == nil:
			return nil
		case errors.As(err, &refusal):
			if s.admission.countsRefusal(refusal) {
				notRun++
			}
			continue
		}
		s.attempts++
		lastErr = err
		if ctx.Err() != nil || !s.r.Route.IsRepeatable() {
			break
		}
		if !sleep.For(ctx, resumeDelay) {
			break
		}
	}
	if lastErr != nil || s.headSent {
		return &UnknownOutcomeError{TimedOut: ctx.Err() != nil, Cause: lastErr}
	}
	return s.admission.refusal(quarantineErr, "no endpoint accepts the stream")
}

// attemptWith is attempt with granted capacity, which it returns, also if the sink panics.
func (s *streamRequest) attemptWith(ctx context.Context, e endpt.Endpoint, room *grant) error {
	isDone := false
	defer func() {
		if !isDone {
			room.cancel()
		}
	}()
	err := s.attempt(ctx, e)
	isDone = true
	room.end(ctx, err, true)
	return err
}

// attempt passes on what one endpoint sends.
func (s *streamRequest) attempt(ctx context.Context, e endpt.Endpoint) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	idleTimer := time.AfterFunc(time.Hour, func() { cancel(errStreamIdle) })
	defer idleTimer.Stop()
	if s.r.Route.Resumable {
		idleTimer.Reset(streamIdleTimeout)
	}
	defer s.f.begin(e)()
	defer s.f.guard.End(s.r.fp, e)
	call := upstr.Call{
		Endpoint:    e,
		ID:          s.r.ID,
		Method:      s.r.Method,
		Target:      s.r.Target,
		Host:        s.r.Host,
		Header:      s.r.Header,
		Body:        s.r.Body,
		Customer:    s.r.Customer,
		LastEventID: s.lastEvent,
	}
	if deadline, ok := ctx.Deadline(); ok {
		call.Timeout = time.Until(deadline)
	}
	a, err := s.f.sender.Send(ctx, call)
	if err != nil {
		s.f.recordFailure(ctx, s.r, e, err)
		return err
	}
	defer a.Body.Close()
	if a.Status != http.StatusOK {
		return s.forwardResponse(ctx, e, a)
	}
	if !s.headSent {
		s.headSent = true
		s.sink.WriteHeader(a.Status, a.Header)
	}
	err = s.forwardEvents(e, a, idleTimer)
	if err != nil {
		s.f.recordFailure(ctx, s.r, e, err)
		return err
	}
	s.f.guard.ReportAnswer(s.r.fp)
	return nil
}

// forwardResponse passes on an answer that is not a stream.
func (s *streamRequest) forwardResponse(ctx context.Context, e endpt.Endpoint, a *upstr.Response) error {
	body, err := s.f.readBody(s.r, a)
	var invalid *h1resp.Error
	var cut *conns.CutShortError
	if errors.As(err, &invalid) || errors.As(err, &cut) {
		s.f.recordFailure(ctx, s.r, e, err)
	}
	if err != nil || s.headSent {
		return &upstr.UnknownOutcomeError{Cause: errors.CombineErrors(err, errors.Newf("status %d", a.Status))}
	}
	s.headSent = true
	s.sink.WriteHeader(a.Status, a.Header)
	return s.sink.Write(body)
}

// forwardEvents passes on the events that follow the last one. The first that isn't valid ends
// the answer of this endpoint: neither it nor anything behind it is part of the stream.
func (s *streamRequest) forwardEvents(e endpt.Endpoint, a *upstr.Response, idleTimer *time.Timer) error {
	events := stream.New(a.Body, s.versionLine, stream.After(s.lastEvent), stream.WithBases(s.f.endpoints.EventBases(e)))
	start, isProven := time.Now(), false
	for {
		ev, err := events.Next()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return &upstr.UnknownOutcomeError{Cause: err}
		}
		if err := s.sink.Write(ev.Raw); err != nil {
			return &UnknownOutcomeError{Cause: err}
		}
		s.usage.sent()
		s.lastEvent = ev.ID
		if !isProven && time.Since(start) >= guard.MinStreamDuration {
			isProven = true
			s.f.guard.ReportAnswer(s.r.fp)
		}
		if s.r.Route.Resumable {
			idleTimer.Reset(streamIdleTimeout)
		}
	}
}
