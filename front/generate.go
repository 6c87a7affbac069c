package front

import (
	"cmp"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/gorilla/mux"
	"github.com/lavendermux/lavendermux/accept"
	"github.com/lavendermux/lavendermux/fault"
	"github.com/lavendermux/lavendermux/pool"
	"github.com/lavendermux/lavendermux/strict"
	"github.com/lavendermux/lavendermux/wire"
	"github.com/lavendermux/lavendermux/xtime"
)

type (
	generateRequest struct {
		Prompt    string         `json:"prompt"`
		MaxTokens int64          `json:"maxTokens"`
		Stream    bool           `json:"stream"`
		Priority  int32          `json:"priority"`
		Timeout   xtime.Duration `json:"timeout"`
	}

	generateResponse struct {
		RequestID string    `json:"requestId"`
		Text      string    `json:"text"`
		Tokens    int64     `json:"tokens"`
		Finish    string    `json:"finish"`
		Segments  []segment `json:"segments"`
	}

	segment struct {
		Version string `json:"version"`
		Tokens  int64  `json:"tokens"`
	}

	streamEvent struct {
		Text    string       `json:"text,omitempty"`
		Version string       `json:"version,omitempty"`
		Done    bool         `json:"done,omitempty"`
		Tokens  int64        `json:"tokens,omitempty"`
		Finish  string       `json:"finish,omitempty"`
		Error   *errorDetail `json:"error,omitempty"`
	}
)

const (
	// causeOverload means that there was no memory for the body of a request, and overloadRetry is its
	// Retry-After.
	causeOverload = "overload"
	overloadRetry = time.Second

	maxPriority = 100
	// defaultMaxTokens bounds a generation whose request states no bound.
	defaultMaxTokens = 256
)

func (f *API) generate(w http.ResponseWriter, r *http.Request) {
	id := requestID(r)
	caller := callerOf(r)
	model := mux.Vars(r)["model"]
	name, p, found := f.poolForModel(model)
	if !found {
		WriteError(w, id, &fault.NotFoundError{Resource: "model " + model})
		return
	}
	in, err := f.readGenerate(w, r, p)
	if err != nil {
		WriteError(w, id, err)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), time.Duration(in.Timeout))
	defer cancel()
	req := &wire.RunRequest{
		RequestId: id,
		Caller:    caller,
		Pool:      name,
		Model:     model,
		Prompt:    in.Prompt,
		MaxTokens: in.MaxTokens,
		Priority:  cmp.Or(in.Priority, f.defaultPriority(caller)),
		Kind:      wire.WorkKind_WORK_KIND_LIVE,
	}
	start := time.Now()
	err = f.respond(ctx, w, p.Service, req, in.Stream)
	f.recorder.Live(caller, p.Service, time.Since(start), err)
}

// defaultPriority returns the priority that the policies assign to a caller whose
// request states none.
func (f *API) defaultPriority(caller string) int32 {
	for _, p := range f.conf.Policies() {
		for _, q := range p.Callers {
			if q.Caller == caller {
				return int32(q.Priority)
			}
		}
	}
	return 0
}

// poolForModel returns the pool whose engines serve model, and its name.
func (f *API) poolForModel(model string) (string, pool.Pool, bool) {
	for name, p := range f.conf.Pools() {
		for _, m := range p.Models {
			if m == model {
				return name, p, true
			}
		}
	}
	return "", pool.Pool{}, false
}

func (f *API) readGenerate(w http.ResponseWriter, r *http.Request, p pool.Pool) (generateRequest, error) {
	in := generateRequest{
		MaxTokens: min(defaultMaxTokens, int64(p.MaxOutputTokens)),
		Timeout:   xtime.Duration(f.timeout),
	}
	raw, err := f.body(w, r)
	if err != nil {
		return in, err
	}
	if err := strict.Decode(raw, &in, strict.WithMaxBytes(int(f.maxBodyBytes))); err != nil {
		return in, err
	}
	switch {
	case in.Prompt == "":
		return in, &fault.FieldError{Field: "prompt", Problem: "is empty"}
	case in.MaxTokens < 1 || in.MaxTokens > int64(p.MaxOutputTokens):
		return in, &fault.FieldError{Field: "maxTokens", Problem: "is not between 1 and the pool's maxOutput"}
	case in.Priority < -maxPriority || in.Priority > maxPriority:
		return in, &fault.FieldError{Field: "priority", Problem: "is not between -100 and 100"}
	case in.Timeout <= 0 || time.Duration(in.Timeout) > maxTimeout:
		return in, &fault.FieldError{Field: "timeout", Problem: "is not above 0 and at most " + maxTimeout.String()}
	}
	return in, nil
}

// body reads a complete request body within the size limit.
func (f *API) body(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	raw, err := io.ReadAll(http.MaxBytesReader(w, r.Body, f.maxBodyBytes))
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		return nil, &fault.FieldError{Field: "body", Problem: "is larger than the limit"}
	}
	if err != nil {
		return nil, BodyError(err)
	}
	return raw, nil
}

// BodyError returns the error of a request whose body could not be read: a *fault.NotRunError if the
// instance had no memory for it.
func BodyError(err error) error {
	var overload *accept.OverloadError
	if errors.As(err, &overload) {
		return &fault.NotRunError{Cause: causeOverload, Reason: overload.Error(), RetryAfter: overloadRetry}
	}
	return &fault.FieldError{Field: "body", Problem: "could not be read: " + err.Error()}
}

func (f *API) respond(
	ctx context.Context, w http.ResponseWriter, service string, req *wire.RunRequest, stream bool,
) error {
	if stream {
		return f.stream(ctx, w, service, req)
	}
	return f.respondOnce(ctx, w, service, req)
}

// respondOnce collects the segments and writes the response only after the end
// event has confirmed that it is complete.
func (f *API) respondOnce(ctx context.Context, w http.ResponseWriter, service string, req *wire.RunRequest) error {
	var text strings.Builder
	out := generateResponse{RequestID: req.GetRequestId(), Segments: []segment{}}
	end, err := f.relay.Generate(ctx, service, req, func(s *wire.Segment) error {
		text.WriteString(s.GetText())
		out.Segments = appendSegment(out.Segments, s)
		return nil
	}, nil)
	if err != nil {
		WriteError(w, req.GetRequestId(), err)
		return err
	}
	out.Text = text.String()
	out.Tokens = end.GetTokens()
	out.Finish = end.GetFinish()
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set(RequestIDHeader, req.GetRequestId())
	return json.NewEncoder(w).Encode(out)
}

// stream forwards segments as they arrive. It sends the header with the
// first segment, so that a request which never started still gets an error
// status.
func (f *API) stream(ctx context.Context, w http.ResponseWriter, service string, req *wire.RunRequest) error {
	headerSent := false
	emit := func(ev streamEvent) error {
		if !headerSent {
			headerSent = true
			w.Header().Set("Content-Type", "text/event-stream")
			w.Header().Set(RequestIDHeader, req.GetRequestId())
		}
		return writeEvent(w, ev)
	}
	end, err := f.relay.Generate(ctx, service, req, func(s *wire.Segment) error {
		return emit(streamEvent{Text: s.GetText(), Version: s.GetVersion()})
	}, nil)
	if err == nil {
		return emit(streamEvent{Done: true, Tokens: end.GetTokens(), Finish: end.GetFinish()})
	}
	if !headerSent {
		WriteError(w, req.GetRequestId(), err)
		return err
	}
	detail, _ := classify(err)
	_ = emit(streamEvent{Error: &detail})
	return err
}

func writeEvent(w http.ResponseWriter, ev streamEvent) error {
	raw, err := json.Marshal(ev)
	if err != nil {
		return errors.Wrap(err, "encoding an event")
	}
	if _, err := w.Write([]byte("data: " + string(raw) + "\n\n")); err != nil {
		return errors.Wrap(err, "writing a stream event: the caller is gone")
	}
	return errors.Wrap(http.NewResponseController(w).Flush(), "flushing a stream event: the caller is gone")
}

// appendSegment appends a segment, or merges it into the last one if both have the
// same version.
func appendSegment(segs []segment, s *wire.Segment) []segment {
	if n := len(segs); n > 0 && segs[n-1].Version == s.GetVersion() {
		segs[n-1].Tokens += s.GetTokens()
		return segs
	}
	return append(segs, segment{Version: s.GetVersion(), Tokens: s.GetTokens()})
}
