// Package front serves the HTTP API for callers: live generations from model
// engines, as one response or as a stream, and calls of plain services.
//
// Each response is complete or an explicit error, and an error says whether the
// request ran.
package front

import (
	"context"
	"crypto/rand"
	"io"
	"net/http"
	"time"

	"github.com/charmbracelet/log"
	"github.com/gorilla/mux"
	"github.com/lavendermux/lavendermux/confs"
	"github.com/lavendermux/lavendermux/wire"
)

const (
	// CallerHeader carries the caller's name.
	CallerHeader = "Lavendermux-Caller"
	// TimeoutHeader carries how long the caller waits for the response of a plain
	// service, such as "2s".
	TimeoutHeader = "Lavendermux-Timeout"
	// IdempotencyKeyHeader carries the caller's idempotency key.
	IdempotencyKeyHeader = "Idempotency-Key"
	// RequestIDHeader carries the request ID, in requests and responses.
	RequestIDHeader = "Lavendermux-Request"

	// anonymousCaller is the name of a caller that sends no CallerHeader.
	anonymousCaller = "anonymous"
	// defaultMaxBodyBytes bounds a request body.
	defaultMaxBodyBytes = 1 << 20
	// defaultTimeout applies to a live generation that states no timeout.
	defaultTimeout = time.Minute
	// maxTimeout bounds the timeout that a caller may request.
	maxTimeout = 10 * time.Minute
)

type (
	// API serves the HTTP API for callers. See New.
	API struct {
		relay        relayer
		conf         *confs.Cache
		recorder     outcomeRecorder
		log          *log.Logger
		maxBodyBytes int64
		timeout      time.Duration
	}

	// Option configures an API in New.
	Option func(*API)

	relayer interface {
		Generate(
			ctx context.Context, service string, req *wire.RunRequest,
			onSegment func(*wire.Segment) error, onAccepted func(sidecar string), avoid ...string,
		) (*wire.End, error)
		Call(ctx context.Context, req *wire.CallRequest, homes []string) (*wire.CallResponse, error)
	}

	// outcomeRecorder records the outcomes of callers' requests.
	outcomeRecorder interface {
		Live(caller, service string, took time.Duration, err error)
	}

	noopRecorder struct{}
)

// New returns the API for callers, which sends their requests through relay
// according to the configuration.
//
//	f := front.New(relay, conf)
//	f.Register(router)
func New(relay relayer, conf *confs.Cache, opts ...Option) *API {
	f := &API{
		relay:        relay,
		conf:         conf,
		recorder:     noopRecorder{},
		log:          log.New(io.Discard),
		maxBodyBytes: defaultMaxBodyBytes,
		timeout:      defaultTimeout,
	}
	for _, opt := range opts {
		opt(f)
	}
	return f
}

// WithRecorder sets the recorder of request outcomes. By default they are not
// recorded.
func WithRecorder(rec outcomeRecorder) Option {
	return func(f *API) { f.recorder = rec }
}

// WithLog sets the logger. By default nothing is logged.
func WithLog(l *log.Logger) Option {
	return func(f *API) { f.log = l }
}

// WithMaxBody bounds a request body, in bytes. The default is 1 MiB.
func WithMaxBody(n int64) Option {
	return func(f *API) { f.maxBodyBytes = n }
}

// WithTimeout sets the timeout of a live generation that states none. The default
// is one minute.
func WithTimeout(d time.Duration) Option {
	return func(f *API) { f.timeout = d }
}

// Register adds the routes for callers to r.
func (f *API) Register(r *mux.Router) {
	r.HandleFunc("/v1/models/{model}/generate", f.generate).Methods(http.MethodPost)
	r.PathPrefix("/v1/services/{service}/").HandlerFunc(f.call)
}

// Live implements outcomeRecorder and does nothing.
func (noopRecorder) Live(string, string, time.Duration, error) {}

func callerOf(r *http.Request) string {
	if name := r.Header.Get(CallerHeader); name != "" {
		return name
	}
	return anonymousCaller
}

// requestID returns the caller's own request ID, so that its logs and ours can be
// correlated, with a random suffix: two callers may use the same ID.
func requestID(r *http.Request) string {
	id := r.Header.Get(RequestIDHeader)
	if id == "" || len(id) > maxRequestIDBytes {
		return rand.Text()
	}
	return id + "." + rand.Text()[:8]
}

// maxRequestIDBytes bounds a caller's own request ID.
const maxRequestIDBytes = 64
