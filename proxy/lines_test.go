package proxy

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"

	"github.com/lavendermux/lavendermux/conns"
	"github.com/lavendermux/lavendermux/endpt"
	"github.com/lavendermux/lavendermux/epset"
	"github.com/lavendermux/lavendermux/h1resp"
	"github.com/lavendermux/lavendermux/lines"
	"github.com/lavendermux/lavendermux/logs"
	"github.com/lavendermux/lavendermux/manif"
	"github.com/lavendermux/lavendermux/meter"
	"github.com/lavendermux/lavendermux/reqbuf"
	"github.com/lavendermux/lavendermux/upstr"
)

// okSender answers each call with an empty body.
type okSender struct{}

func (okSender) Send(context.Context, upstr.Call) (*upstr.Response, error) {
	return &upstr.Response{Status: http.StatusOK, Body: io.NopCloser(strings.NewReader(""))}, nil
}

// Without customer, data centre and objective in its lines, a load report can't tell who was
// late. A scoring call is on the customer's account, but no caller waits for it: it must not
// count as one of the customer's requests.
func TestLogLines(t *testing.T) {
	g := NewWithT(t)
	var log bytes.Buffer
	set := epset.New(func() {})
	set.Put(endpt.Endpoint{ID: "desk-0", Service: "desk", Slots: 1})
	f := New(set, okSender{}, "dc-a", logs.New(&log), meter.New())
	route := &manif.Route{Name: "r", Kind: manif.Idempotent, MaxAttempts: 1, Target: 150 * time.Millisecond,
		Split: []manif.WeightedService{{Service: "desk", Weight: 1}}}
	call := Request{ID: "one", Route: route, Customer: "c1"}
	_, err := f.Forward(t.Context(), call)
	g.Expect(err).NotTo(HaveOccurred())
	_, err = f.Stream(t.Context(), call, "", upstr.FromStart, discardSink{})
	g.Expect(err).NotTo(HaveOccurred())
	call.Internal, call.Deadline = true, time.Now().Add(time.Minute)
	_, err = f.Forward(t.Context(), call)
	g.Expect(err).NotTo(HaveOccurred())
	var objectives, internal []string
	_, _, err = lines.Read(&log, []string{"Request done.", "Stream done."}, func(l lines.Line) {
		g.Expect(l.Fields).To(And(HaveKeyWithValue("customer", "c1"), HaveKeyWithValue("dataCentre", "dc-a")))
		objectives, internal = append(objectives, l.Fields["objective"]), append(internal, l.Fields["internal"])
	})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(objectives).To(Equal([]string{"150", "150", "0"}))
	g.Expect(internal).To(Equal([]string{"false", "", "true"}))
}

// firstInvalid is a sender to which the first endpoint asked sends no valid response.
type firstInvalid struct{ asked int }

func (s *firstInvalid) Send(ctx context.Context, c upstr.Call) (*upstr.Response, error) {
	if s.asked++; s.asked == 1 {
		return nil, &upstr.UnknownOutcomeError{Endpoint: c.Endpoint.ID, Cause: &h1resp.Error{Reason: "status code in \"HTTP/1.1 000\""}}
	}
	return okSender{}.Send(ctx, c)
}

// Guards against an endpoint in trouble that nobody sees, as another one answers in its place: what it sent must
// be logged with the request and counted, and the endpoint be avoided.
func TestInvalidResponseIsLogged(t *testing.T) {
	g := NewWithT(t)
	var log bytes.Buffer
	set, counts := epset.New(func() {}), meter.New()
	for _, id := range []string{"desk-0", "desk-1"} {
		set.Put(endpt.Endpoint{ID: id, Service: "desk", Slots: 1})
	}
	f := New(set, &firstInvalid{}, "dc-a", logs.New(&log), counts)
	route := &manif.Route{Name: "r", Kind: manif.Idempotent, MaxAttempts: 2, Split: []manif.WeightedService{{Service: "desk", Weight: 1}}}
	_, err := f.Forward(t.Context(), Request{ID: "one", Route: route})
	g.Expect(err).NotTo(HaveOccurred())
	var endpoints []string
	_, _, err = lines.Read(&log, []string{"Invalid response."}, func(l lines.Line) {
		g.Expect(l.Fields).To(And(HaveKeyWithValue("request", "one"), HaveKeyWithValue("service", "desk"),
			HaveKeyWithValue("error", ContainSubstring("HTTP/1.1 000"))))
		endpoints = append(endpoints, l.Fields["endpoint"])
	})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(endpoints).To(HaveLen(1))
	for _, v := range set.All() {
		g.Expect(time.Now().Before(v.AvoidUntil)).To(Equal(v.ID == endpoints[0]), v.ID)
	}
	count := counts.Registry().Get(`lavendermux_invalid_responses_total{service="desk"}`)
	g.Expect(count).NotTo(BeNil())
	g.Expect(count.(metrics.Counter).Count()).To(BeEquivalentTo(1))
}

// panickingSink is a caller whose connection can't take the header of an answer.
type panickingSink struct{ discardSink }

func (panickingSink) WriteHeader(int, http.Header) { panic(http.ErrAbortHandler) }

// Guards against a panic on the way of a stream that keeps the place of its request at the endpoint: the
// service would run fewer and fewer requests.
func TestPanicGivesThePlaceBack(t *testing.T) {
	withWorld(t, []int{6}, func(w *waitWorld) {
		route := &manif.Route{Name: "r", Kind: manif.Stream, MaxAttempts: 1, Timeout: 2 * time.Second,
			Split: []manif.WeightedService{{Service: "desk", Weight: 1}}}
		stream := func(n int, sink Sink) (err error) {
			_, err = w.f.Stream(context.Background(), Request{ID: fmt.Sprint("s", n), Body: reqbuf.Of(nil), Route: route}, "", upstr.FromStart, sink)
			return err
		}
		for n := range 20 {
			w.g.Expect(func() { _ = stream(n, panickingSink{}) }).To(Panic())
			w.expectIdle()
		}
		w.g.Expect(stream(20, discardSink{})).To(Succeed())
	})
}

// invalidEnd is the body of a response that ends in bytes that are no part of one.
type invalidEnd struct{}

func (invalidEnd) Read([]byte) (int, error) {
	return 0, &h1resp.Error{Reason: "a chunk is longer than its size"}
}

func (invalidEnd) Close() error { return nil }

// failingSender answers each call with status 500 and an invalid body.
type failingSender struct{}

func (failingSender) Send(context.Context, upstr.Call) (*upstr.Response, error) {
	return &upstr.Response{Status: http.StatusInternalServerError, Body: invalidEnd{}, Length: -1}, nil
}

// Guards against an endpoint in trouble that nobody sees: it answers streams with an error whose body isn't
// valid. That must be logged and counted once, and the endpoint be avoided.
func TestInvalidBodyOfAnErrorIsLogged(t *testing.T) {
	g := NewWithT(t)
	var log bytes.Buffer
	set, counts := epset.New(func() {}), meter.New()
	set.Put(endpt.Endpoint{ID: "desk-0", Service: "desk", Slots: 1})
	f := New(set, failingSender{}, "dc-a", logs.New(&log), counts)
	route := &manif.Route{Name: "r", Kind: manif.Stream, MaxAttempts: 1, Split: []manif.WeightedService{{Service: "desk", Weight: 1}}}
	headSent, err := f.Stream(t.Context(), Request{ID: "one", Route: route}, "", upstr.FromStart, discardSink{})
	g.Expect(err).To(HaveOccurred())
	g.Expect(headSent).To(BeFalse())
	found := 0
	_, _, err = lines.Read(&log, []string{"Invalid response."}, func(l lines.Line) {
		g.Expect(l.Fields).To(And(HaveKeyWithValue("request", "one"), HaveKeyWithValue("endpoint", "desk-0")))
		found++
	})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(found).To(Equal(1))
	g.Expect(time.Now().Before(set.All()[0].AvoidUntil)).To(BeTrue())
}

// cutBody is a body whose connection was reset while the request was sent.
type cutBody struct{}

func (cutBody) Read([]byte) (int, error) { return 0, &conns.CutShortError{Cause: syscall.ECONNRESET} }

func (cutBody) Close() error { return nil }

// cutSender answers each call with a status and a body that is cut.
type cutSender struct{ status int }

func (s cutSender) Send(context.Context, upstr.Call) (*upstr.Response, error) {
	return &upstr.Response{Status: s.status, Receipt: "r", Body: cutBody{}, Length: -1}, nil
}

// Guards against an endpoint in trouble that nobody sees: it answers before it has the request, and resets the
// connection. That must be logged and counted once, for calls, streams and errors to streams, and the
// endpoint be avoided.
func TestCutResponseIsLogged(t *testing.T) {
	for _, c := range []struct {
		kind   manif.Kind
		status int
	}{{manif.AtMostOnce, http.StatusOK}, {manif.Stream, http.StatusOK}, {manif.Stream, http.StatusInternalServerError}} {
		g := NewWithT(t)
		var log bytes.Buffer
		set, counts := epset.New(func() {}), meter.New()
		set.Put(endpt.Endpoint{ID: "desk-0", Service: "desk", Slots: 1})
		f := New(set, cutSender{c.status}, "dc-a", logs.New(&log), counts)
		route := &manif.Route{Name: "r", Kind: c.kind, MaxAttempts: 1, Split: []manif.WeightedService{{Service: "desk", Weight: 1}}}
		var err error
		if c.kind == manif.AtMostOnce {
			_, err = f.Forward(t.Context(), Request{ID: "one", Route: route})
		} else {
			_, err = f.Stream(t.Context(), Request{ID: "one", Route: route}, "", upstr.FromStart, discardSink{})
		}
		var unknown *UnknownOutcomeError
		g.Expect(errors.As(err, &unknown)).To(BeTrue(), "%v", err)
		found := 0
		_, _, err = lines.Read(&log, []string{"Response cut short."}, func(l lines.Line) {
			g.Expect(l.Fields).To(And(HaveKeyWithValue("request", "one"), HaveKeyWithValue("endpoint", "desk-0"),
				HaveKeyWithValue("service", "desk"), HaveKeyWithValue("error", ContainSubstring("connection reset"))))
			found++
		})
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(found).To(Equal(1))
		g.Expect(time.Now().Before(set.All()[0].AvoidUntil)).To(BeTrue())
		count := counts.Registry().Get(`lavendermux_cut_responses_total{service="desk"}`)
		g.Expect(count).NotTo(BeNil())
		g.Expect(count.(metrics.Counter).Count()).To(BeEquivalentTo(1))
	}
}
