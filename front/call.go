package front

import (
	"context"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/gorilla/mux"
	"github.com/lavendermux/lavendermux/fault"
	"github.com/lavendermux/lavendermux/servce"
	"github.com/lavendermux/lavendermux/wire"
)

// hopByHopHeaders apply to a single connection and are not forwarded.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Content-Length", "Host",
}

func (f *API) call(w http.ResponseWriter, r *http.Request) {
	id := requestID(r)
	caller := callerOf(r)
	name := mux.Vars(r)["service"]
	s, found := f.conf.Service(name)
	if !found {
		WriteError(w, id, &fault.NotFoundError{Resource: "service " + name})
		return
	}
	timeout, err := callTimeout(r, s)
	if err != nil {
		WriteError(w, id, err)
		return
	}
	body, err := f.body(w, r)
	if err != nil {
		WriteError(w, id, err)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), timeout)
	defer cancel()
	start := time.Now()
	err = f.forward(ctx, w, s, callRequest(r, id, caller, s, body))
	f.recorder.Live(caller, name, time.Since(start), err)
}

func callTimeout(r *http.Request, s servce.Service) (time.Duration, error) {
	raw := r.Header.Get(TimeoutHeader)
	if raw == "" {
		return time.Duration(s.Timeout), nil
	}
	d, err := time.ParseDuration(raw)
	if err != nil || d <= 0 {
		return 0, &fault.FieldError{Field: TimeoutHeader, Problem: "is not a duration above 0, such as 2s"}
	}
	return min(d, time.Duration(s.Timeout)), nil
}

func callRequest(r *http.Request, id, caller string, s servce.Service, body []byte) *wire.CallRequest {
	req := &wire.CallRequest{
		RequestId:      id,
		Caller:         caller,
		Service:        s.Service,
		Method:         r.Method,
		Path:           servicePath(r),
		Body:           body,
		IdempotencyKey: r.Header.Get(IdempotencyKeyHeader),
		Idempotent:     s.Idempotent(r.Method),
		KeyWindowMs:    time.Duration(s.IdempotencyKeyTTL).Milliseconds(),
		SlotLimit:      int64(s.SlotsPerEndpoint),
	}
	for name, values := range r.Header {
		if slices.Contains(hopByHopHeaders, name) {
			continue
		}
		for _, v := range values {
			req.Headers = append(req.Headers, &wire.Header{Name: name, Value: v})
		}
	}
	return req
}

// servicePath returns the request path after the service's name, including the
// query.
func servicePath(r *http.Request) string {
	path := strings.TrimPrefix(r.URL.EscapedPath(), "/v1/services/"+mux.Vars(r)["service"])
	if r.URL.RawQuery != "" {
		path += "?" + r.URL.RawQuery
	}
	return path
}

func (f *API) forward(
	ctx context.Context, w http.ResponseWriter, s servce.Service, req *wire.CallRequest,
) error {
	resp, err := f.relay.Call(ctx, req, f.conf.Owners(s.Service).Sidecars)
	if err != nil {
		WriteError(w, req.GetRequestId(), err)
		return err
	}
	for _, h := range resp.GetHeaders() {
		if !slices.Contains(hopByHopHeaders, h.GetName()) {
			w.Header().Add(h.GetName(), h.GetValue())
		}
	}
	w.Header().Set(RequestIDHeader, req.GetRequestId())
	w.WriteHeader(int(resp.GetStatus()))
	_, err = w.Write(resp.GetBody())
	return err
}
