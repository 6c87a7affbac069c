package proxy

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/lavendermux/lavendermux/endpt"
	"github.com/lavendermux/lavendermux/epset"
	"github.com/lavendermux/lavendermux/lines"
	"github.com/lavendermux/lavendermux/logs"
	"github.com/lavendermux/lavendermux/manif"
	"github.com/lavendermux/lavendermux/meter"
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
