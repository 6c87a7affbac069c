package relay

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/lavendermux/lavendermux/fault"
	"github.com/lavendermux/lavendermux/poison"
	"github.com/lavendermux/lavendermux/rpcerr"
	"github.com/lavendermux/lavendermux/wire"
)

// crashError is the error of a sidecar whose endpoint crashed while it ran the nth
// request.
func crashError(n int) error {
	return &fault.UnknownOutcomeError{Cause: CauseConnectionLost, CrashedIncarnation: fmt.Sprintf("endpoint/%d", n)}
}

// Guards against a call that crashes every endpoint of a service: its caller retries it,
// and it must not reach one endpoint after the other without limit.
func TestDeadlyCallIsHeldBack(t *testing.T) {
	for _, idempotent := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			g := NewWithT(t)
			d := &fakeSidecars{}
			for n := range 20 {
				d.calls = append(d.calls, func(_ context.Context, req *wire.CallRequest) (*wire.CallResponse, error) {
					return &wire.CallResponse{RequestId: req.GetRequestId(), Refusal: rpcerr.Encode(crashError(n), nil)}, nil
				})
			}
			c := newClient(d)
			var err error
			for n := range 10 {
				_, err = c.Call(t.Context(), &wire.CallRequest{RequestId: fmt.Sprint(n), Service: service, Path: "/book",
					Body: []byte("deadly"), Idempotent: idempotent}, nil)
				time.Sleep(10 * time.Second)
			}
			g.Expect(d.contacted).To(HaveLen(poison.StrikeLimit))
			g.Expect(causeOf(err)).To(Equal("not run " + CauseQuarantined))
		})
	}
}

// Guards against a generation that crashes every engine and is resumed at one after the
// other.
func TestDeadlyGenerationIsHeldBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		d := &fakeSidecars{}
		for n := range 20 {
			d.runs = append(d.runs, sendEvents(nil, accepted, sendRefusal(crashError(n))))
		}
		c := newClient(d)
		var err error
		for range 10 {
			_, err = generate(t.Context(), c)
			time.Sleep(10 * time.Second)
		}
		g.Expect(d.contacted).To(HaveLen(poison.StrikeLimit))
		g.Expect(causeOf(err)).To(Equal("not run " + CauseQuarantined))
	})
}

// Guards against a quarantine of requests whose answers were merely lost.
func TestLostAnswersHoldNothingBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		d := &fakeSidecars{}
		for range 10 {
			d.calls = append(d.calls, func(_ context.Context, req *wire.CallRequest) (*wire.CallResponse, error) {
				return &wire.CallResponse{RequestId: req.GetRequestId(), Refusal: rpcerr.Encode(&fault.UnknownOutcomeError{Cause: CauseConnectionLost}, nil)}, nil
			})
		}
		c := newClient(d)
		for n := range 10 {
			_, err := c.Call(t.Context(), &wire.CallRequest{RequestId: fmt.Sprint(n), Service: service, Path: "/book"}, nil)
			g.Expect(causeOf(err)).To(Equal("unknown " + CauseConnectionLost))
			time.Sleep(10 * time.Second)
		}
	})
}

// Guards against a quarantine of a call that was answered after each crash.
func TestAnswersClear(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		d := &fakeSidecars{}
		for n := range 12 {
			d.calls = append(d.calls, func(_ context.Context, req *wire.CallRequest) (*wire.CallResponse, error) {
				if n%2 == 1 {
					return &wire.CallResponse{RequestId: req.GetRequestId(), Status: 200}, nil
				}
				return &wire.CallResponse{RequestId: req.GetRequestId(), Refusal: rpcerr.Encode(crashError(n), nil)}, nil
			})
		}
		c := newClient(d)
		for n := range 12 {
			_, _ = c.Call(t.Context(), &wire.CallRequest{RequestId: fmt.Sprint(n), Service: service, Path: "/book"}, nil) // every other one fails
			time.Sleep(70 * time.Second)
		}
		g.Expect(d.contacted).To(HaveLen(12))
	})
}

// Guards against "not run" for a call that had run: an endpoint crashed while it ran the
// call, before the call was quarantined.
func TestHeldAfterItRanIsUnknown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		d := &fakeSidecars{}
		for n := range 20 {
			d.calls = append(d.calls, func(_ context.Context, req *wire.CallRequest) (*wire.CallResponse, error) {
				return &wire.CallResponse{RequestId: req.GetRequestId(), Refusal: rpcerr.Encode(crashError(n), nil)}, nil
			})
		}
		c := newClient(d)
		for n, contacted := 0, 0; len(d.contacted) < poison.StrikeLimit; n++ {
			_, err := c.Call(t.Context(), &wire.CallRequest{RequestId: fmt.Sprint(n), Service: service, Path: "/book", Idempotent: true}, nil)
			if len(d.contacted) > contacted {
				g.Expect(causeOf(err)).To(HavePrefix("unknown"))
			}
			contacted = len(d.contacted)
			time.Sleep(10 * time.Second)
		}
	})
}

// Guards against "not run" for a repeatable call that one endpoint may have run before
// the others refused it.
func TestRefusalAfterALostAnswerIsUnknown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		errs := []error{
			&fault.UnknownOutcomeError{Cause: CauseConnectionLost},
			&fault.NotRunError{Cause: "saturated", RetryAfter: time.Minute},
			&fault.NotRunError{Cause: "saturated", RetryAfter: time.Minute},
			&fault.NotRunError{Cause: "saturated", RetryAfter: time.Minute},
		}
		d := &fakeSidecars{}
		for _, err := range errs {
			d.calls = append(d.calls, func(_ context.Context, req *wire.CallRequest) (*wire.CallResponse, error) {
				return &wire.CallResponse{RequestId: req.GetRequestId(), Refusal: rpcerr.Encode(err, nil)}, nil
			})
		}
		_, err := newClient(d).Call(t.Context(), &wire.CallRequest{RequestId: "r", Service: service, Path: "/book", Idempotent: true}, nil)
		g.Expect(len(d.contacted)).To(BeNumerically(">", 1))
		g.Expect(causeOf(err)).To(HavePrefix("unknown"))
	})
}

// Guards against a rollout that never runs again: engines crash under it more often than any limit,
// and then none does. It is owed to its trainer.
func TestRolloutUnderCrashesIsOwed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		d := &fakeSidecars{}
		for n := range 20 {
			d.runs = append(d.runs, sendEvents(nil, accepted, sendRefusal(crashError(n))))
		}
		c := newClient(d)
		contacted := 0
		for n := range 10 {
			_, err := c.Generate(t.Context(), service, &wire.RunRequest{RequestId: fmt.Sprint("r", n), Prompt: "p", Kind: wire.WorkKind_WORK_KIND_ROLLOUT},
				func(*wire.Segment) error { return nil }, nil)
			g.Expect(causeOf(err)).NotTo(Equal("not run " + CauseQuarantined))
			g.Expect(len(d.contacted)).To(BeNumerically(">", contacted))
			contacted = len(d.contacted)
			time.Sleep(10 * time.Second)
		}
	})
}
