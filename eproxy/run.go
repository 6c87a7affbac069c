package eproxy

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/lavendermux/lavendermux/engine"
	"github.com/lavendermux/lavendermux/fault"
	"github.com/lavendermux/lavendermux/genev"
	"github.com/lavendermux/lavendermux/genreq"
	"github.com/lavendermux/lavendermux/wire"
)

const (
	// liveFlushInterval is how long tokens of a live stream are batched into one
	// event. A reader does not notice a twentieth of a second, and at 50 tokens
	// a second it more than halves the number of events.
	liveFlushInterval = 50 * time.Millisecond
	// rolloutFlushInterval is the same for rollouts, whose output is not read
	// incrementally: it only affects how much work is repeated after a crash.
	rolloutFlushInterval = time.Second
	// cancelTimeout bounds the cancel call that frees the engine's slot.
	cancelTimeout = 2 * time.Second
	// maxTokenBytes is the mean length of tokens that an output has at most, maxOutputBytes its length
	// if the number of tokens isn't limited.
	maxTokenBytes  = 1 << 10
	maxOutputBytes = 16 << 20
	// The first freeTextBytes of a request's pending tokens aren't counted. tokenMemory is the
	// memory of a token event besides its text.
	freeTextBytes = 16 << 10
	tokenMemory   = 64
)

type (
	// stream is one request running on the engine.
	stream struct {
		proxy *Proxy
		req   *wire.RunRequest
		send  func(*wire.RunEvent) error
		// startInterval is the version interval in which the stream started.
		startInterval int64
		// pending has the tokens that were received and not sent yet.
		pending   []chunk
		lastFlush time.Time
		// pendingMemory is the memory of pending, of which reserved bytes are counted in the pool of
		// the proxy.
		pendingMemory, reserved int64
		// tokens counts the complete output, including prior segments.
		tokens int64
		// bytes is the length of the text of this run.
		bytes int64
		// unversioned is true once the engine has sent a token without a version.
		unversioned bool
		epoch       int64
		end         genev.Event
	}

	// limitError ends a run whose output is too long.
	limitError struct {
		Problem string
	}

	// chunk is a token event with the version interval in which it was received.
	chunk struct {
		interval int64
		tok      genev.Event
	}
)

// Error names the limit.
func (e *limitError) Error() string { return e.Problem }

// Run runs req on the engine and passes each event to send. An error is a
// *fault.NotRunError as long as the engine has not started the request, and a
// *fault.UnknownOutcomeError after that. The caller converts it into the last
// event of the stream.
func (p *Proxy) Run(ctx context.Context, req *wire.RunRequest, send func(*wire.RunEvent) error) error {
	if err := p.admit(req.GetKind()); err != nil {
		return err
	}
	defer p.Exit()
	if ms := req.GetTimeoutMs(); ms > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, time.Duration(ms)*time.Millisecond)
		defer cancel()
	}
	leave, err := p.limiter.Enter(ctx, req)
	if err != nil {
		return err
	}
	s := p.stream(req, send)
	defer func() { leave(s.tokens) }()
	defer s.release(0)
	if err := p.checkVersion(req); err != nil {
		return err
	}
	if err := s.sendAccepted(); err != nil {
		return err
	}
	return s.run(ctx)
}

// checkVersion rejects work that requires a version other than the engine's. It
// must run after the wait for a slot, since weights may be switched meanwhile.
func (p *Proxy) checkVersion(req *wire.RunRequest) error {
	have := p.versions.Version(req.GetModel())
	if want := req.GetWantVersion(); want != "" && want != have {
		return &fault.NotRunError{
			Cause:  CauseVersionMismatch,
			Reason: "the engine runs version \"" + have + "\" of " + req.GetModel() + ", not " + want,
		}
	}
	return nil
}

func (p *Proxy) stream(req *wire.RunRequest, send func(*wire.RunEvent) error) *stream {
	s := &stream{proxy: p, req: req, send: send, startInterval: p.versions.Interval(req.GetModel())}
	for _, seg := range req.GetPrior() {
		s.tokens += seg.GetTokens()
	}
	p.mu.Lock()
	s.epoch = p.state.Epoch
	p.mu.Unlock()
	return s
}

func (s *stream) sendAccepted() error {
	return s.emit(&wire.RunEvent{What: &wire.RunEvent_Accepted{
		Accepted: &wire.Accepted{Load: s.proxy.Load()},
	}})
}

func (s *stream) run(ctx context.Context) error {
	s.lastFlush = time.Now()
	err := s.proxy.engine.Generate(ctx, s.request(), func(t genev.Event) error {
		return s.addToken(ctx, t)
	})
	if err != nil {
		return s.fail(ctx, err)
	}
	return s.finish(ctx)
}

func (s *stream) request() genreq.Request {
	var prior strings.Builder
	for _, seg := range s.req.GetPrior() {
		prior.WriteString(seg.GetText())
	}
	return genreq.Request{
		ID:          s.req.GetRequestId(),
		Model:       s.req.GetModel(),
		Prompt:      s.req.GetPrompt(),
		Prior:       prior.String(),
		PriorTokens: s.tokens,
		MaxTokens:   s.req.GetMaxTokens(),
		Priority:    s.req.GetPriority(),
	}
}

// addToken buffers a token with the version interval in which it was received, and
// flushes the buffer if it is due.
func (s *stream) addToken(ctx context.Context, t genev.Event) error {
	if t.Done {
		s.end = t
		return nil
	}
	if err := s.reserve(t); err != nil {
		return err
	}
	s.unversioned = s.unversioned || t.Version == ""
	s.tokens += t.Tokens
	s.pending = append(s.pending, chunk{interval: s.proxy.versions.Interval(s.req.GetModel()), tok: t})
	if s.isWithheld() || time.Since(s.lastFlush) < s.flushInterval() {
		return nil
	}
	return s.flush(ctx, false)
}

// reserve returns a *limitError if a token event may not be added to the output: it is longer than the
// request allows, or the tokens that wait take the memory for them.
func (s *stream) reserve(t genev.Event) error {
	maxBytes := int64(maxOutputBytes)
	if limit := s.req.GetMaxTokens(); limit > 0 {
		if t.Tokens > limit-s.tokens {
			return &limitError{Problem: fmt.Sprintf("the engine's output has more than %d tokens", limit)}
		}
		maxBytes = min(maxBytes, limit*maxTokenBytes)
	}
	if s.bytes += int64(len(t.Text)); s.bytes > maxBytes {
		return &limitError{Problem: fmt.Sprintf("the engine's output has more than %d bytes", maxBytes)}
	}
	memory := s.pendingMemory + int64(len(t.Text)) + tokenMemory
	if more := max(0, memory-freeTextBytes) - s.reserved; more > 0 {
		if !s.proxy.texts.Reserve(more) {
			return &limitError{Problem: "tokens that wait take the memory for them"}
		}
		s.reserved += more
	}
	s.pendingMemory = memory
	return nil
}

// release gives back the memory of the pending tokens but for the last n.
func (s *stream) release(n int) {
	s.pendingMemory = 0
	for _, c := range s.pending[len(s.pending)-n:] {
		s.pendingMemory += int64(len(c.tok.Text)) + tokenMemory
	}
	if less := s.reserved - max(0, s.pendingMemory-freeTextBytes); less > 0 {
		s.proxy.texts.Release(less)
		s.reserved -= less
	}
}

// isWithheld reports whether the tokens are buffered until verifyEpoch has run at
// the end: that is the case for a rollout on an engine that reports no versions.
func (s *stream) isWithheld() bool {
	return s.unversioned && s.req.GetKind() == wire.WorkKind_WORK_KIND_ROLLOUT
}

func (s *stream) flushInterval() time.Duration {
	if s.req.GetKind() == wire.WorkKind_WORK_KIND_LIVE {
		return liveFlushInterval
	}
	return rolloutFlushInterval
}

// flush sends the pending chunks whose version is decided; if all is set it waits
// for the others. A live stream does not wait for the end of a switch: latency
// matters more to its reader, so the text is sent without a version.
func (s *stream) flush(ctx context.Context, all bool) error {
	live := s.req.GetKind() == wire.WorkKind_WORK_KIND_LIVE
	for len(s.pending) > 0 {
		seg, n := s.nextSegment(live)
		if n == 0 && !all {
			return nil
		}
		if n == 0 {
			if err := s.waitStateChange(ctx); err != nil {
				return err
			}
			continue
		}
		s.pending = s.pending[n:]
		s.release(len(s.pending))
		if err := s.emit(&wire.RunEvent{What: &wire.RunEvent_Segment{Segment: seg}}); err != nil {
			return err
		}
	}
	s.lastFlush = time.Now()
	return nil
}

// nextSegment merges the leading chunks that share a decided version, and returns
// their number.
func (s *stream) nextSegment(live bool) (*wire.Segment, int) {
	seg := &wire.Segment{}
	var text strings.Builder
	n := 0
	for _, c := range s.pending {
		version, settled := s.proxy.versions.Resolve(s.req.GetModel(), s.startInterval, c.interval, c.tok.Version)
		if !settled && !live {
			break
		}
		if n > 0 && version != seg.GetVersion() {
			break
		}
		seg.Version = version
		seg.Tokens += c.tok.Tokens
		text.WriteString(c.tok.Text)
		n++
	}
	seg.Text = text.String()
	return seg, n
}

// waitStateChange returns when a switch may have ended, or with an error when ctx is
// done.
func (s *stream) waitStateChange(ctx context.Context) error {
	s.proxy.mu.Lock()
	stateChanged := s.proxy.stateChanged
	s.proxy.mu.Unlock()
	if _, done := s.proxy.versions.Resolve(s.req.GetModel(), s.startInterval, s.pending[0].interval, s.pending[0].tok.Version); done {
		return nil
	}
	select {
	case <-stateChanged:
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

// finish checks that the output is complete before it sends the end event, which
// guarantees that to the reader.
func (s *stream) finish(ctx context.Context) error {
	if s.end.TotalTokens != s.tokens {
		return &fault.UnknownOutcomeError{Cause: CauseTokenCount, Reason: "the engine's count and the tokens seen differ"}
	}
	if s.isWithheld() {
		s.verifyEpoch(ctx)
	}
	if err := s.flush(ctx, true); err != nil {
		return s.fail(ctx, err)
	}
	return s.emit(&wire.RunEvent{What: &wire.RunEvent_End{End: &wire.End{
		Tokens: s.tokens,
		Finish: s.end.Finish,
		Load:   s.proxy.Load(),
	}}})
}

// verifyEpoch queries the state of an engine that reports no versions once more.
// Unless the epoch is unchanged, the pending tokens lose their version: the engine
// may have restarted on other weights between two polls, and the sample would name
// the wrong version.
func (s *stream) verifyEpoch(ctx context.Context) {
	s.proxy.Refresh(ctx)
	s.proxy.mu.Lock()
	same := s.proxy.stateKnown && s.proxy.state.Epoch == s.epoch
	s.proxy.mu.Unlock()
	if same {
		return
	}
	for i := range s.pending {
		s.pending[i].interval = unknownInterval
	}
}

// unknownInterval is an interval that no tracker uses, so that its tokens have no
// version.
const unknownInterval = -1

func (s *stream) emit(ev *wire.RunEvent) error {
	ev.RequestId = s.req.GetRequestId()
	return s.send(ev)
}

// fail frees the engine's slot and returns the error that describes the outcome.
func (s *stream) fail(ctx context.Context, err error) error {
	var rejected *engine.RejectedError
	if errors.As(err, &rejected) {
		return &fault.NotRunError{Cause: CauseRejected, Reason: rejected.Reason, RetryAfter: defaultRetryAfter}
	}
	// Checked before the cancel, which may wait for an engine that is gone.
	ended := s.proxy.prober.CrashedIncarnation(ctx)
	s.cancel(ctx)
	if !s.isWithheld() {
		if flushErr := s.flush(ctx, false); flushErr != nil {
			s.proxy.log.Debug("pending tokens not sent: the reader has gone too", "request", s.req.GetRequestId(), "err", flushErr)
		}
	}
	var limit *limitError
	if errors.As(err, &limit) {
		return &fault.UnknownOutcomeError{Cause: CauseOutputLimit, Reason: limit.Error()}
	}
	if errors.Is(err, context.DeadlineExceeded) || errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return &fault.UnknownOutcomeError{Cause: CauseDeadline, Reason: "the deadline passed while the engine was at it"}
	}
	return &fault.UnknownOutcomeError{Cause: CauseConnectionLost, Reason: "the engine's stream broke off: " + err.Error(), CrashedIncarnation: ended}
}

// cancel uses a context that outlives the request's own, whose end is often the
// reason for the cancel.
func (s *stream) cancel(ctx context.Context) {
	ctx, stop := context.WithTimeout(context.WithoutCancel(ctx), cancelTimeout)
	defer stop()
	if err := s.proxy.engine.Cancel(ctx, s.req.GetRequestId()); err != nil {
		s.proxy.log.Warn("cancel request to the engine failed", "request", s.req.GetRequestId(), "err", err)
	}
}
