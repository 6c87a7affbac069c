// Package dedup runs calls on an endpoint of a plain service, such as a booking
// service, in the endpoint's sidecar. It deduplicates calls that must not be
// repeated by their idempotency key: each runs at most once here, however often
// it is sent.
package dedup

import (
	"context"
	"hash"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/lavendermux/lavendermux/drain"
	"github.com/lavendermux/lavendermux/fault"
	"github.com/lavendermux/lavendermux/idem"
	"github.com/lavendermux/lavendermux/plain"
	"github.com/lavendermux/lavendermux/prober"
	"github.com/lavendermux/lavendermux/wire"
)

const (
	// CauseDraining refuses new calls on an endpoint that is draining.
	CauseDraining = drain.CauseDraining
	// CauseSaturated refuses a call when all slots are in use.
	CauseSaturated = "saturated"
	// CauseDeadline means that the deadline has passed.
	CauseDeadline = "deadline"
	// CauseIncompleteResponse means that the service gave no complete response.
	CauseIncompleteResponse = "cutOff"
	// CauseNotOwner refuses a keyed call whose key another endpoint owns.
	CauseNotOwner = "notHome"
	// CauseShortHistory refuses a keyed call that may have run before the sidecar started.
	CauseShortHistory = "young"
	// CauseKeyCacheFull refuses a keyed call when the cache of keys is full.
	CauseKeyCacheFull = "keyMemory"
	// CauseOutcomeUnknown means that the outcome of an earlier attempt is unknown.
	CauseOutcomeUnknown = "lostCopy"

	// AttemptHeader is the header with the attempt number. A caller sets it to 1
	// when it sends an idempotency key for the first time, so that no earlier
	// attempt can have run.
	AttemptHeader = "Lavendermux-Attempt"
	// firstAttempt is the value of AttemptHeader for a first attempt.
	firstAttempt = "1"

	// saturatedRetry is the delay after which a caller may retry when all slots
	// are in use. A plain service responds in tens of milliseconds, so a slot is
	// free long before.
	saturatedRetry = 100 * time.Millisecond
	// notOwnerRetry is the time in which changes of key owners reach all entries.
	notOwnerRetry = 2 * time.Second
)

type (
	// Executor runs calls on one endpoint of a plain service. See New.
	Executor struct {
		*drain.Drainer
		service caller
		keys    *idem.Cache
		owns    func(key string) (bool, time.Time)
		prober  *prober.Checker

		mu     sync.Mutex
		active int
	}

	// Option configures an Executor in New.
	Option func(*Executor)

	caller interface {
		Call(ctx context.Context, req *wire.CallRequest) (*wire.CallResponse, error)
	}
)

// New returns an Executor for one endpoint.
//
//	d := dedup.New(plain.New(base), idem.New())
//	resp, err := d.Call(ctx, req)
func New(service caller, keys *idem.Cache, opts ...Option) *Executor {
	d := &Executor{
		Drainer: drain.New(),
		service: service,
		keys:    keys,
		owns:    func(string) (bool, time.Time) { return true, time.Time{} },
	}
	for _, opt := range opts {
		opt(d)
	}
	return d
}

// WithOwner sets the function that reports whether this endpoint owns a key, and
// since when. All attempts of a request go to the owner of its key, which
// deduplicates them. By default the endpoint has always owned all keys.
func WithOwner(owns func(key string) (bool, time.Time)) Option {
	return func(d *Executor) { d.owns = owns }
}

// WithProber sets the checker that reports whether the endpoint crashed during a
// call. By default crashes aren't recognized.
func WithProber(checker *prober.Checker) Option {
	return func(d *Executor) { d.prober = checker }
}

// Describe sets the state of the endpoint in st.
func (d *Executor) Describe(st *wire.EndpointState) {
	d.mu.Lock()
	defer d.mu.Unlock()
	st.Draining = d.Draining()
	st.Ready = true
	st.Load = d.load()
}

// Load returns the endpoint's current load, without lag.
func (d *Executor) Load() *wire.DoorLoad {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.load()
}

func (d *Executor) load() *wire.DoorLoad {
	return &wire.DoorLoad{Running: int64(d.active), Draining: d.Draining()}
}

// Call runs req on the endpoint, unless an earlier attempt with the same
// idempotency key has run. Its errors are *fault.NotRunError, *fault.FieldError
// and, once the request has been sent to the service, *fault.UnknownOutcomeError.
func (d *Executor) Call(ctx context.Context, req *wire.CallRequest) (*wire.CallResponse, error) {
	if ms := req.GetTimeoutMs(); ms > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, time.Duration(ms)*time.Millisecond)
		defer cancel()
	}
	if err := d.acquireSlot(req); err != nil {
		return nil, err
	}
	defer d.releaseSlot()
	if req.GetIdempotencyKey() == "" || req.GetIdempotent() {
		return d.invoke(ctx, req)
	}
	return d.callKeyed(ctx, req)
}

// acquireSlot takes a slot. If it returns nil, the caller must call releaseSlot.
func (d *Executor) acquireSlot(req *wire.CallRequest) error {
	if err := d.Enter(); err != nil {
		return err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if limit := req.GetSlotLimit(); limit > 0 && int64(d.active) >= limit {
		d.Exit()
		return &fault.NotRunError{
			Cause:      CauseSaturated,
			Reason:     "every slot of the endpoint is taken",
			RetryAfter: saturatedRetry,
		}
	}
	d.active++
	return nil
}

func (d *Executor) releaseSlot() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.active--
	d.Exit()
}

// callKeyed runs a request that must not be repeated and has an idempotency key.
func (d *Executor) callKeyed(ctx context.Context, req *wire.CallRequest) (*wire.CallResponse, error) {
	key := scopedKey(req)
	isOwner, since := d.owns(req.GetIdempotencyKey())
	if !isOwner {
		return nil, &fault.NotRunError{
			Cause:      CauseNotOwner,
			Reason:     "another endpoint remembers this idempotency key",
			RetryAfter: notOwnerRetry,
		}
	}
	window := time.Duration(req.GetKeyWindowMs()) * time.Millisecond
	for {
		verdict, resp, done, err := d.keys.Begin(key, digest(req), isFirstAttempt(req), since, window, time.Now())
		if err != nil {
			return nil, keyError(err)
		}
		switch verdict {
		case idem.Run:
			return d.runKeyed(ctx, key, req)
		case idem.Replay:
			return replay(req, resp), nil
		case idem.OutcomeUnknown:
			return nil, &fault.UnknownOutcomeError{
				Cause:  CauseOutcomeUnknown,
				Reason: "an earlier copy of this request was handed to the service and its outcome is unknown",
			}
		case idem.ShortHistory:
			return nil, &fault.NotRunError{
				Cause:      CauseShortHistory,
				Reason:     "the door cannot tell yet whether an earlier copy ran before it started",
				RetryAfter: idem.UntilCovered(since, window, time.Now()),
			}
		case idem.Wait:
		}
		select {
		case <-done:
		case <-ctx.Done():
			return nil, &fault.UnknownOutcomeError{Cause: CauseDeadline, Reason: "an earlier copy is still running"}
		}
	}
}

// runKeyed runs req and records its outcome. The call isn't canceled when its
// caller disconnects, only at its deadline, so that a later attempt finds the
// response.
func (d *Executor) runKeyed(ctx context.Context, key string, req *wire.CallRequest) (*wire.CallResponse, error) {
	if deadline, set := ctx.Deadline(); set {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(context.WithoutCancel(ctx), deadline)
		defer cancel()
	}
	resp, err := d.invoke(ctx, req)
	var notRun *fault.NotRunError
	switch {
	case errors.As(err, &notRun):
		d.keys.Forget(key)
	case err != nil:
		d.keys.End(key, nil)
	default:
		d.keys.End(key, resp)
	}
	return resp, err
}

func (d *Executor) invoke(ctx context.Context, req *wire.CallRequest) (*wire.CallResponse, error) {
	if ctx.Err() != nil {
		return nil, &fault.NotRunError{Cause: CauseDeadline, Reason: "the deadline passed before the call was handed over"}
	}
	resp, err := d.service.Call(ctx, req)
	var large *plain.TooLargeError
	switch {
	case err == nil:
		resp.Load = d.Load()
		return resp, nil
	case errors.As(err, &large):
		return nil, &fault.UnknownOutcomeError{Cause: CauseIncompleteResponse, Reason: large.Error()}
	case ctx.Err() != nil:
		return nil, &fault.UnknownOutcomeError{Cause: CauseDeadline, Reason: "the deadline passed while the service was at it"}
	}
	return nil, &fault.UnknownOutcomeError{Cause: CauseIncompleteResponse, Reason: err.Error(), CrashedIncarnation: d.prober.CrashedIncarnation(ctx)}
}

func isFirstAttempt(req *wire.CallRequest) bool {
	for _, h := range req.GetHeaders() {
		if strings.EqualFold(h.GetName(), AttemptHeader) {
			return h.GetValue() == firstAttempt
		}
	}
	return false
}

// scopedKey returns the idempotency key, qualified by service and caller.
func scopedKey(req *wire.CallRequest) string {
	return strings.Join([]string{req.GetService(), req.GetCaller(), req.GetIdempotencyKey()}, "\x00")
}

// digest hashes the content of a request, to detect a key reused for another one.
func digest(req *wire.CallRequest) uint64 {
	h := xxhash.New()
	writeField(h, req.GetMethod())
	writeField(h, req.GetPath())
	writeField(h, string(req.GetBody()))
	return h.Sum64()
}

func writeField(h hash.Hash, s string) {
	_, _ = h.Write([]byte(s))
	_, _ = h.Write([]byte{0})
}

func replay(req *wire.CallRequest, first *wire.CallResponse) *wire.CallResponse {
	return &wire.CallResponse{
		RequestId: req.GetRequestId(),
		Status:    first.GetStatus(),
		Headers:   slices.Clone(first.GetHeaders()),
		Body:      first.GetBody(),
		Replayed:  true,
	}
}

func keyError(err error) error {
	var reused *idem.KeyReusedError
	if errors.As(err, &reused) {
		return &fault.FieldError{Field: "Idempotency-Key", Problem: reused.Error()}
	}
	var full *idem.FullError
	if errors.As(err, &full) {
		return &fault.NotRunError{Cause: CauseKeyCacheFull, Reason: full.Error(), RetryAfter: full.RetryAfter}
	}
	return err
}
