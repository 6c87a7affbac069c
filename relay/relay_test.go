package relay

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"
	"github.com/lavendermux/lavendermux/fault"
	"github.com/lavendermux/lavendermux/fleet"
	"github.com/lavendermux/lavendermux/owners"
	"github.com/lavendermux/lavendermux/rpcerr"
	"github.com/lavendermux/lavendermux/wire"
	"github.com/lavendermux/lavendermux/wire/wireconnect"
	. "github.com/onsi/gomega"
)

const service = "booking-api"

type (
	runFunc  func(ctx context.Context, req *wire.RunRequest, s *connect.ServerStream[wire.RunEvent]) error
	callFunc func(ctx context.Context, req *wire.CallRequest) (*wire.CallResponse, error)

	// fakeSidecars answers the nth request with the nth function, whichever sidecar it is
	// sent to, and records the sidecar.
	fakeSidecars struct {
		runs      []runFunc
		calls     []callFunc
		contacted []string
		requests  []*wire.RunRequest
	}

	// fakeSidecar is the sidecar at one address.
	fakeSidecar struct {
		wireconnect.UnimplementedDoorServiceHandler
		all     *fakeSidecars
		address string
	}
)

func (d *fakeSidecars) Door(address string) wireconnect.DoorServiceClient {
	return wireconnect.NewDoorServiceClient(&fakeSidecar{all: d, address: address}, "http://"+address)
}

func (d *fakeSidecar) Do(r *http.Request) (*http.Response, error) {
	if len(d.all.contacted) < len(d.all.calls) && d.all.calls[len(d.all.contacted)] == nil {
		d.all.contacted = append(d.all.contacted, d.address)
		return nil, &net.OpError{Op: opDial, Err: errors.New("connection refused")}
	}
	_, h := wireconnect.NewDoorServiceHandler(d)
	rec := httptest.NewRecorder()
	h.ServeHTTP(rec, r)
	return rec.Result(), r.Context().Err()
}

func (d *fakeSidecar) Run(
	ctx context.Context, req *connect.Request[wire.RunRequest], s *connect.ServerStream[wire.RunEvent],
) error {
	n := len(d.all.contacted)
	d.all.contacted = append(d.all.contacted, d.address)
	d.all.requests = append(d.all.requests, req.Msg)
	if n >= len(d.all.runs) {
		return errors.New("one request too many")
	}
	return d.all.runs[n](ctx, req.Msg, s)
}

func (d *fakeSidecar) Call(ctx context.Context, req *connect.Request[wire.CallRequest]) (*connect.Response[wire.CallResponse], error) {
	n := len(d.all.contacted)
	d.all.contacted = append(d.all.contacted, d.address)
	if n >= len(d.all.calls) {
		return nil, errors.New("one request too many")
	}
	resp, err := d.all.calls[n](ctx, req.Msg)
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(resp), nil
}

func newClient(d *fakeSidecars) *Client {
	view := fleet.New()
	resp := &wire.MembersResponse{Version: 1, Boot: 1, Whole: true}
	for _, id := range []string{"a", "b", "c"} {
		resp.Endpoints = append(resp.Endpoints, &wire.EndpointState{
			Instance: id, Service: service, Address: id, Ready: true, Load: &wire.DoorLoad{Slots: 8},
		})
	}
	view.Apply(time.Now(), resp)
	return New("entry-1", view, d, WithSeed(1))
}

func accepted(req *wire.RunRequest) *wire.RunEvent {
	return &wire.RunEvent{RequestId: req.GetRequestId(), What: &wire.RunEvent_Accepted{Accepted: &wire.Accepted{}}}
}

func segment(req *wire.RunRequest, text string) *wire.RunEvent {
	return &wire.RunEvent{RequestId: req.GetRequestId(), What: &wire.RunEvent_Segment{
		Segment: &wire.Segment{Text: text, Tokens: int64(len(text)), Version: "v1"},
	}}
}

func end(req *wire.RunRequest, tokens int64) *wire.RunEvent {
	return &wire.RunEvent{RequestId: req.GetRequestId(), What: &wire.RunEvent_End{End: &wire.End{Tokens: tokens}}}
}

func refusal(req *wire.RunRequest, err error) *wire.RunEvent {
	return &wire.RunEvent{RequestId: req.GetRequestId(), What: &wire.RunEvent_Refusal{Refusal: rpcerr.Encode(err, nil)}}
}

// sendEvents sends events and then ends the stream with err.
func sendEvents(err error, events ...func(*wire.RunRequest) *wire.RunEvent) runFunc {
	return func(_ context.Context, req *wire.RunRequest, s *connect.ServerStream[wire.RunEvent]) error {
		for _, ev := range events {
			if sendErr := s.Send(ev(req)); sendErr != nil {
				return sendErr
			}
		}
		return err
	}
}

func sendSegment(text string) func(*wire.RunRequest) *wire.RunEvent {
	return func(req *wire.RunRequest) *wire.RunEvent { return segment(req, text) }
}

func sendEnd(n int64) func(*wire.RunRequest) *wire.RunEvent {
	return func(req *wire.RunRequest) *wire.RunEvent { return end(req, n) }
}

func sendRefusal(err error) func(*wire.RunRequest) *wire.RunEvent {
	return func(req *wire.RunRequest) *wire.RunEvent { return refusal(req, err) }
}

func generate(ctx context.Context, c *Client) (string, error) {
	text := ""
	_, err := c.Generate(ctx, service, &wire.RunRequest{RequestId: "r", Prompt: "p"}, func(s *wire.Segment) error {
		text += s.GetText()
		return nil
	}, nil)
	return text, err
}

func causeOf(err error) string {
	var unknown *fault.UnknownOutcomeError
	if errors.As(err, &unknown) {
		return "unknown " + unknown.Cause
	}
	var notRun *fault.NotRunError
	if errors.As(err, &notRun) {
		return "not run " + notRun.Cause
	}
	return "none"
}

// An engine crashes in the middle of an answer. The reader must not see the text stop,
// start again from the beginning or lack a piece.
func TestStreamGoesOnAtAnotherDoor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		d := &fakeSidecars{runs: []runFunc{
			sendEvents(errors.New("crash"), accepted, sendSegment("ab"), sendSegment("c")),
			sendEvents(nil, accepted, sendSegment("de"), sendEnd(5)),
		}}
		text, err := generate(t.Context(), newClient(d))
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(text).To(Equal("abcde"))
		g.Expect(d.contacted).To(HaveLen(2))
		g.Expect(d.contacted[0]).NotTo(Equal(d.contacted[1]))
		g.Expect(countTokens(d.requests[1].GetPrior())).To(Equal(int64(3)))
		g.Expect(d.requests[0].GetRequestId()).NotTo(Equal(d.requests[1].GetRequestId()))
	})
}

// The first sidecar begins the work and its connection fails; all others are full. If
// their "not run" were passed on, a caller would believe that nothing had happened.
func TestNotRunIsNotPassedOnOnceADoorHadBegun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		full := sendRefusal(&fault.NotRunError{Cause: "saturated", RetryAfter: time.Minute})
		d := &fakeSidecars{runs: []runFunc{
			sendEvents(errors.New("crash"), accepted, sendSegment("ab")), sendEvents(nil, full), sendEvents(nil, full),
		}}
		text, err := generate(t.Context(), newClient(d))
		g.Expect(text).To(Equal("ab"))
		g.Expect(len(d.contacted)).To(BeNumerically(">", 1))
		g.Expect(causeOf(err)).To(Equal("unknown saturated"))
	})
}

// Every sidecar refuses before it begins. A caller that gets "outcome unknown" would look
// for a request that never ran.
func TestRefusalOfAllDoorsIsNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		full := sendRefusal(&fault.NotRunError{Cause: "saturated", RetryAfter: time.Minute})
		d := &fakeSidecars{runs: []runFunc{sendEvents(nil, full), sendEvents(nil, full), sendEvents(nil, full)}}
		_, err := generate(t.Context(), newClient(d))
		g.Expect(causeOf(err)).To(Equal("not run saturated"))
		g.Expect(len(slices.Compact(slices.Sorted(slices.Values(d.contacted))))).To(Equal(len(d.contacted)))
		g.Expect(len(d.contacted)).To(BeNumerically(">", 1))
	})
}

// A connection is shared by many requests, and an event of another request arrives in
// this stream. The reader must not see text that was generated for someone else.
func TestEventOfAnotherRequestIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		foreign := func(*wire.RunRequest) *wire.RunEvent { return segment(&wire.RunRequest{RequestId: "x"}, "foreign") }
		d := &fakeSidecars{runs: []runFunc{
			sendEvents(nil, accepted, sendSegment("ab"), foreign, sendEnd(9)),
			sendEvents(nil, accepted, sendSegment("c"), sendEnd(3)),
		}}
		text, err := generate(t.Context(), newClient(d))
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(text).To(Equal("abc"))
	})
}

// A segment is lost but the end event arrives. A truncated answer must not be taken for a
// complete one.
func TestWrongCountIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		short := sendEvents(nil, accepted, sendSegment("a"), sendEnd(9))
		d := &fakeSidecars{runs: []runFunc{short, short, short, short}}
		_, err := generate(t.Context(), newClient(d))
		g.Expect(causeOf(err)).To(Equal("unknown " + CauseTokenCount))
	})
}

// Callers hang up while one engine is at work, and the other engines answer. If each
// hang-up counted as a failure, or as work that never ends, a healthy endpoint would get
// no more work and all others would be overloaded.
func TestCallerThatHangsUpSetsNoEndpointAside(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		d := &fakeSidecars{}
		hangUp := func() {}
		answer := func(ctx context.Context, req *wire.RunRequest, s *connect.ServerStream[wire.RunEvent]) error {
			if d.contacted[len(d.contacted)-1] == "a" {
				hangUp()
				<-ctx.Done()
				return ctx.Err()
			}
			ev := end(req, 0)
			ev.GetEnd().Load = &wire.DoorLoad{Slots: 8}
			return s.Send(ev)
		}
		c := newClient(d)
		const rounds = 200
		for i := range rounds {
			d.runs = append(d.runs, answer)
			ctx, cancel := context.WithCancel(t.Context())
			hangUp = cancel
			_, err := c.Generate(ctx, service, &wire.RunRequest{RequestId: "r", Prompt: strconv.Itoa(i)}, nil, nil)
			g.Expect(causeOf(err)).To(BeElementOf("none", "unknown "+CauseDeadline))
			cancel()
		}
		g.Expect(d.contacted).To(HaveLen(rounds))
		late := slices.DeleteFunc(d.contacted[rounds/2:], func(sidecar string) bool { return sidecar != "a" })
		g.Expect(len(late)).To(BeNumerically(">", rounds/10))
	})
}

// A booking was submitted and something fails after that. A second attempt at another
// endpoint would book the same slot twice.
func TestCallThatMayNotBeRepeatedIsSentOnce(t *testing.T) {
	mixedUp := func(context.Context, *wire.CallRequest) (*wire.CallResponse, error) {
		return &wire.CallResponse{RequestId: "x"}, nil
	}
	cutOff := func(context.Context, *wire.CallRequest) (*wire.CallResponse, error) {
		return nil, connect.NewError(connect.CodeUnavailable, errors.New("reset"))
	}
	unknown := func(_ context.Context, req *wire.CallRequest) (*wire.CallResponse, error) {
		return &wire.CallResponse{
			RequestId: req.GetRequestId(),
			Refusal:   rpcerr.Encode(&fault.UnknownOutcomeError{Cause: "late"}, nil),
		}, nil
	}
	for want, respond := range map[string]callFunc{
		"unknown " + CauseWrongRequestID: mixedUp, "unknown " + CauseConnectionLost: cutOff, "unknown late": unknown,
	} {
		synctest.Test(t, func(t *testing.T) {
			g := NewWithT(t)
			d := &fakeSidecars{calls: []callFunc{respond, respond, respond, respond}}
			_, err := newClient(d).Call(t.Context(), &wire.CallRequest{RequestId: "r", Service: service}, nil)
			g.Expect(causeOf(err)).To(Equal(want))
			g.Expect(d.contacted).To(HaveLen(1))
		})
	}
}

// Guards against a sidecar of an earlier release that passes on a status that no answer has: the handler
// panicked, and the caller got no answer. A call that may be repeated goes to another sidecar.
func TestInvalidStatusIsNoAnswer(t *testing.T) {
	for _, status := range []int32{0, 20, 99, 101, 199, 600, 999} {
		synctest.Test(t, func(t *testing.T) {
			g := NewWithT(t)
			answer := func(status int32) callFunc {
				return func(_ context.Context, req *wire.CallRequest) (*wire.CallResponse, error) {
					return &wire.CallResponse{RequestId: req.GetRequestId(), Status: status}, nil
				}
			}
			d := &fakeSidecars{calls: []callFunc{answer(status), answer(http.StatusCreated)}}
			_, err := newClient(d).Call(t.Context(), &wire.CallRequest{RequestId: "r", Service: service}, nil)
			g.Expect(causeOf(err)).To(Equal("unknown " + CauseInvalidStatus))
			g.Expect(d.contacted).To(HaveLen(1))

			d = &fakeSidecars{calls: []callFunc{answer(status), answer(http.StatusCreated)}}
			resp, err := newClient(d).Call(t.Context(), &wire.CallRequest{RequestId: "r", Service: service, Idempotent: true}, nil)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(resp.GetStatus()).To(BeEquivalentTo(http.StatusCreated))
		})
	}
}

// One endpoint is full and another is unreachable: neither has run the booking, so it may
// go to a third one.
func TestCallTakesAnotherDoorAfterARefusal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		full := func(_ context.Context, req *wire.CallRequest) (*wire.CallResponse, error) {
			return &wire.CallResponse{
				RequestId: req.GetRequestId(),
				Refusal:   rpcerr.Encode(&fault.NotRunError{Cause: "saturated"}, nil),
			}, nil
		}
		ok := func(_ context.Context, req *wire.CallRequest) (*wire.CallResponse, error) {
			return &wire.CallResponse{RequestId: req.GetRequestId(), Status: http.StatusCreated}, nil
		}
		d := &fakeSidecars{calls: []callFunc{full, nil, ok}}
		resp, err := newClient(d).Call(t.Context(), &wire.CallRequest{RequestId: "r", Service: service}, nil)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(resp.GetStatus()).To(Equal(int32(http.StatusCreated)))
		g.Expect(slices.Sorted(slices.Values(d.contacted))).To(Equal([]string{"a", "b", "c"}))
	})
}

// The endpoint that remembers a booking's idempotency key is unreachable. Another one
// does not know whether an earlier attempt ran and would book the slot a second time.
func TestKeyedCallGoesToItsHomeOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		keyOwners := []string{"a", "b", "c"}
		owner := owners.Of("k", keyOwners)
		d := &fakeSidecars{calls: []callFunc{nil}}
		c := newClient(d)
		req := &wire.CallRequest{RequestId: "r", Service: service, IdempotencyKey: "k"}
		_, err := c.Call(t.Context(), req, keyOwners)
		g.Expect(causeOf(err)).To(Equal("not run " + CauseUnreachable))
		g.Expect(d.contacted).To(Equal([]string{owner}))
		_, err = c.Call(t.Context(), req, []string{"gone"})
		g.Expect(causeOf(err)).To(Equal("not run " + CauseKeyOwnerUnreachable))
		g.Expect(d.contacted).To(HaveLen(1))
	})
}

// Guards against a generation that goes on after the output of a broken endpoint went on beyond the
// maximum: the next endpoint would continue an output of which nobody knows what is the request's.
func TestOutputBeyondTheMaximumIsNotContinued(t *testing.T) {
	g := NewWithT(t)
	overrun := &fault.UnknownOutcomeError{Cause: CauseOutputLimit, Reason: "too many tokens"}
	d := &fakeSidecars{runs: []runFunc{sendEvents(nil, accepted, func(r *wire.RunRequest) *wire.RunEvent { return segment(r, "foreign") }, func(r *wire.RunRequest) *wire.RunEvent { return refusal(r, overrun) })}}
	_, err := newClient(d).Generate(t.Context(), service, &wire.RunRequest{RequestId: "r"}, func(*wire.Segment) error { return nil }, nil)
	var unknown *fault.UnknownOutcomeError
	g.Expect(errors.As(err, &unknown)).To(BeTrue(), "%v", err)
	g.Expect(unknown.Cause).To(Equal(CauseOutputLimit))
	g.Expect(d.contacted).To(HaveLen(1))
}

// Guards against outputs that together take the memory of an entry. The request that finds none fails,
// short ones go on, and the memory is free afterwards.
func TestMemoryOfOutputs(t *testing.T) {
	g := NewWithT(t)
	long := func(r *wire.RunRequest) *wire.RunEvent { return segment(r, strings.Repeat("x", 50<<10)) }
	d := &fakeSidecars{runs: []runFunc{
		sendEvents(nil, accepted, long, long, long, long, func(r *wire.RunRequest) *wire.RunEvent { return end(r, 200<<10) }),
		sendEvents(nil, accepted, func(r *wire.RunRequest) *wire.RunEvent { return segment(r, "short") }, func(r *wire.RunRequest) *wire.RunEvent { return end(r, 5) }),
	}}
	c := newClient(d)
	WithTextMemory(100 << 10)(c)
	run := func() error {
		_, err := c.Generate(t.Context(), service, &wire.RunRequest{RequestId: "r"}, func(*wire.Segment) error { return nil }, nil)
		return err
	}
	var unknown *fault.UnknownOutcomeError
	g.Expect(errors.As(run(), &unknown)).To(BeTrue())
	g.Expect(unknown.Cause).To(Equal(CauseOutputLimit))
	g.Expect(run()).To(Succeed())
	g.Expect(c.texts.Reserve(100 << 10)).To(BeTrue())
}
