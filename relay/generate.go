package relay

import (
	"context"
	"fmt"
	"time"

	"connectrpc.com/connect"
	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/lavendermux/lavendermux/fault"
	"github.com/lavendermux/lavendermux/guard"
	"github.com/lavendermux/lavendermux/reqfp"
	"github.com/lavendermux/lavendermux/rpcerr"
	"github.com/lavendermux/lavendermux/wire"
	"google.golang.org/protobuf/proto"
)

// prefixBytes is the length of the prompt prefix that selects the endpoint for its prefix
// cache. The system prompt of an application is longer than that, and the samples of one
// group share the whole prompt.
const prefixBytes = 256

type (
	// generation is one generation on its way through one or more sidecars.
	generation struct {
		client     *Client
		service    string
		req        *wire.RunRequest
		onSegment  func(*wire.Segment) error
		onAccepted func(sidecar string)
		prefixHash uint64
		// fp is the fingerprint, which identifies identical requests.
		fp reqfp.Fingerprint
		// segments are those passed on so far, from all sidecars together.
		segments []*wire.Segment
		// accepted is set once a sidecar has accepted the request: from then on a refusal
		// by another one does not mean that nothing ran.
		accepted bool
		// memory is the memory of segments, of which reserved bytes are counted in the pool of the
		// client.
		memory, reserved int64
		tried            map[string]bool
		attempt          int
	}
)

// Generate runs req on an endpoint of service and passes each segment to onSegment, in
// order, without gaps or duplicates even when the work moves to another endpoint. It
// returns the end event of the stream, which confirms the token count. Its errors are
// *fault.NotRunError, *fault.UnknownOutcomeError and *fault.FieldError; an error of
// onSegment ends the work and is returned as it is. If onAccepted is not nil, it is
// called with each sidecar that accepts the work. The sidecars named by avoid do not get
// the request.
func (c *Client) Generate(
	ctx context.Context, service string, req *wire.RunRequest,
	onSegment func(*wire.Segment) error, onAccepted func(sidecar string), avoid ...string,
) (*wire.End, error) {
	g := &generation{
		client:     c,
		service:    service,
		req:        req,
		onSegment:  onSegment,
		onAccepted: onAccepted,
		prefixHash: hashPrefix(req),
		fp:         reqfp.Of(req.GetCaller(), service, req.GetModel(), []byte(req.GetPrompt())),
		segments:   req.GetPrior(),
		tried:      map[string]bool{},
	}
	for _, id := range avoid {
		g.tried[id] = true
	}
	c.recordRequest(service)
	defer func() { c.texts.Release(g.reserved) }()
	return g.run(ctx)
}

func hashPrefix(req *wire.RunRequest) uint64 {
	prompt := req.GetPrompt()
	return xxhash.Sum64String(req.GetModel() + "\x00" + prompt[:min(len(prompt), prefixBytes)])
}

func (g *generation) run(ctx context.Context) (*wire.End, error) {
	for {
		end, err := g.tryCandidates(ctx)
		if err == nil {
			return end, nil
		}
		wait, retry := g.retryDelay(ctx, err)
		if !retry {
			return nil, unknownIfRan(g.accepted, err)
		}
		if err := pause(ctx, wait); err != nil {
			return nil, unknownIfRan(g.accepted, err)
		}
	}
}

// tryCandidates tries the sidecars that routing proposes now, best first.
func (g *generation) tryCandidates(ctx context.Context) (*wire.End, error) {
	sidecars := g.client.pick(g.service, g.prefixHash, g.tried)
	if len(sidecars) == 0 {
		return nil, &fault.NotRunError{
			Cause:      CauseNoEndpoint,
			Reason:     "no endpoint of " + g.service + " takes work",
			RetryAfter: noEndpointRetryAfter,
		}
	}
	var err error
	for i, sidecar := range sidecars {
		if i > 0 && !g.client.allowFailover(g.service, err, g.attempt) {
			return nil, err
		}
		g.attempt++
		var end *wire.End
		end, err = g.runGuarded(ctx, sidecar)
		if err == nil {
			return end, nil
		}
		var notRun *fault.NotRunError
		if !errors.As(err, &notRun) || isFinal(err) {
			return nil, err
		}
	}
	return nil, err
}

// retryDelay reports whether the generation is resumed after a failed attempt, and after
// which delay. A generation has no side effects, so it may run again; the segments
// received so far are kept.
func (g *generation) retryDelay(ctx context.Context, err error) (time.Duration, bool) {
	var (
		notRun  *fault.NotRunError
		unknown *fault.UnknownOutcomeError
	)
	if ctx.Err() != nil || (!errors.As(err, &notRun) && !errors.As(err, &unknown)) {
		return 0, false
	}
	if isFinal(err) {
		return 0, false
	}
	wait, allowed := g.client.allowRetry(g.service, err, true, g.attempt)
	if !allowed {
		return 0, false
	}
	if deadline, ok := ctx.Deadline(); ok && time.Until(deadline) <= wait {
		return 0, false
	}
	return wait, true
}

// runGuarded runs the rest of the work at one sidecar, unless the request is quarantined.
func (g *generation) runGuarded(ctx context.Context, sidecar *wire.EndpointState) (*wire.End, error) {
	deferred := g.req.GetKind() == wire.WorkKind_WORK_KIND_ROLLOUT
	if err := g.client.begin(g.fp, deferred, sidecar); err != nil {
		return nil, err
	}
	end, err := g.stream(ctx, sidecar)
	g.client.end(ctx, g.req.GetRequestId(), g.fp, deferred, sidecar, err, false)
	return end, err
}

// stream sends the request to one sidecar and reads its stream.
func (g *generation) stream(ctx context.Context, sidecar *wire.EndpointState) (*wire.End, error) {
	id := sidecar.GetInstance()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	req := g.newAttemptRequest(ctx)
	g.client.recordSent(g.service, id)
	stream, err := g.client.dial.Door(sidecar.GetAddress()).Run(ctx, connect.NewRequest(req))
	if err != nil {
		err = g.streamError(ctx, err)
		g.client.recordOutcome(ctx, g.service, id, nil, err)
		return nil, err
	}
	defer func() { _ = stream.Close() }()
	end, load, err := g.readEvents(ctx, id, req.GetRequestId(), stream)
	var recvErr *receiverError
	if errors.As(err, &recvErr) {
		g.client.updateLoad(g.service, id, load)
		return nil, recvErr.cause
	}
	g.client.recordOutcome(ctx, g.service, id, load, err)
	if err != nil {
		g.tried[id] = true
	}
	return end, err
}

// newAttemptRequest returns the request for the next attempt, with the remaining time and
// the segments received so far. Each attempt has its own ID, so that a late answer to an
// earlier attempt is not taken for this one's.
func (g *generation) newAttemptRequest(ctx context.Context) *wire.RunRequest {
	req := proto.CloneOf(g.req)
	req.Prior = g.segments
	req.RequestId = fmt.Sprintf("%s#%d", g.req.GetRequestId(), g.attempt)
	req.TimeoutMs = remainingMs(ctx)
	if len(g.segments) > 0 {
		// Work that resumes at another endpoint may continue on other weights; its
		// segments say which.
		req.WantVersion = ""
	}
	return req
}

// receiverError marks an error of the receiver, which says nothing against the sidecar.
type receiverError struct{ cause error }

func (e *receiverError) Error() string { return e.cause.Error() }

func (g *generation) readEvents(
	ctx context.Context, id, requestID string, stream *connect.ServerStreamForClient[wire.RunEvent],
) (*wire.End, *wire.DoorLoad, error) {
	var load *wire.DoorLoad
	start, isProven := time.Now(), false
	for stream.Receive() {
		ev := stream.Msg()
		if ev.GetRequestId() != requestID {
			return nil, load, &fault.UnknownOutcomeError{Cause: CauseWrongRequestID, Reason: "an event of another request arrived"}
		}
		switch what := ev.GetWhat().(type) {
		case *wire.RunEvent_Accepted:
			g.accepted = true
			load = what.Accepted.GetLoad()
			g.client.updateLoad(g.service, id, load)
			if g.onAccepted != nil {
				g.onAccepted(id)
			}
		case *wire.RunEvent_Segment:
			if err := g.reserve(what.Segment); err != nil {
				return nil, load, &receiverError{cause: err}
			}
			g.segments = append(g.segments, what.Segment)
			if !isProven && time.Since(start) >= guard.MinStreamDuration {
				isProven = true
				g.client.guard.ReportAnswer(g.fp)
			}
			if err := g.onSegment(what.Segment); err != nil {
				return nil, load, &receiverError{cause: err}
			}
		case *wire.RunEvent_Refusal:
			return nil, what.Refusal.GetLoad(), rpcerr.Decode(what.Refusal)
		case *wire.RunEvent_End:
			return g.checkEnd(what.End)
		}
	}
	return nil, load, g.streamError(ctx, stream.Err())
}

// reserve counts the memory of a segment and returns an error if there is none for it.
func (g *generation) reserve(seg *wire.Segment) error {
	g.memory += int64(len(seg.GetText())) + segmentMemory
	more := max(0, g.memory-freeTextBytes) - g.reserved
	if more <= 0 {
		return nil
	}
	if !g.client.texts.Reserve(more) {
		return &fault.UnknownOutcomeError{Cause: CauseOutputLimit, Reason: "outputs take the memory for them"}
	}
	g.reserved += more
	return nil
}

// checkEnd compares the token counts, so that a truncated answer is never taken for a
// complete one.
func (g *generation) checkEnd(end *wire.End) (*wire.End, *wire.DoorLoad, error) {
	if got := countTokens(g.segments); got != end.GetTokens() {
		return nil, end.GetLoad(), &fault.UnknownOutcomeError{
			Cause:  CauseTokenCount,
			Reason: fmt.Sprintf("the answer has %d tokens, %d arrived", end.GetTokens(), got),
		}
	}
	return end, end.GetLoad(), nil
}

func (g *generation) streamError(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return &fault.UnknownOutcomeError{Cause: CauseDeadline, Reason: "the deadline passed or the caller hung up"}
	}
	if err == nil {
		err = errors.New("the stream ended without an end")
	}
	return transportError(err)
}

func countTokens(segs []*wire.Segment) int64 {
	n := int64(0)
	for _, s := range segs {
		n += s.GetTokens()
	}
	return n
}

// remainingMs returns the time until the deadline in milliseconds, less a margin for the
// answer's way back; 0 if there is no deadline.
func remainingMs(ctx context.Context) int64 {
	deadline, ok := ctx.Deadline()
	if !ok {
		return 0
	}
	return max(1, (time.Until(deadline) - deadlineMargin).Milliseconds())
}

func pause(ctx context.Context, wait time.Duration) error {
	if wait <= 0 {
		return nil
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}
