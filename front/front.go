// Package front serves callers: live generations from model engines, whole or
// as a stream, and calls of plain services.
//
// Each answer is whole or an explicit error, and an error says whether the
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
	// CallerHeader names the caller.
	CallerHeader = "Lavendermux-Caller"
	// TimeoutHeader is how long the caller waits for a plain service's answer,
	// such as "2s".
	TimeoutHeader = "Lavendermux-Timeout"
	// KeyHeader carries the caller's idempotency key.
	KeyHeader = "Idempotency-Key"
	// RequestHeader carries the request's id, in the answer too.
	RequestHeader = "Lavendermux-Request"

	// anonymous is who a caller is that does not say.
	anonymous = "anonymous"
	// defaultMaxBody bounds a request, in bytes.
	defaultMaxBody = 1 << 20
	// defaultTimeout bounds a live generation that states no timeout.
	defaultTimeout = time.Minute
	// maxTimeout bounds what a caller may ask for.
	maxTimeout = 10 * time.Minute
)

type (
	// Front is the HTTP face towards callers. See New.
	Front struct {
		relay   relayer
		conf    *confs.Cache
		count   counter
		log     *log.Logger
		maxBody int64
		timeout time.Duration
	}

	// Option changes a Front as New makes it.
	Option func(*Front)

	relayer interface {
		Generate(
			ctx context.Context, service string, req *wire.RunRequest,
			each func(*wire.Segment) error, started func(door string), avoid ...string,
		) (*wire.End, error)
		Call(ctx context.Context, req *wire.CallRequest, homes []string) (*wire.CallResponse, error)
	}

	// counter counts what callers got. The zero one, uncounted, forgets it.
	counter interface {
		Live(caller, service string, took time.Duration, err error)
	}

	uncounted struct{}
)

// New returns the face towards callers, which sends their requests through
// relay as the configuration says.
//
//	f := front.New(relay, conf)
//	f.Register(router)
func New(relay relayer, conf *confs.Cache, opts ...Option) *Front {
	f := &Front{
		relay:   relay,
		conf:    conf,
		count:   uncounted{},
		log:     log.New(io.Discard),
		maxBody: defaultMaxBody,
		timeout: defaultTimeout,
	}
	for _, opt := range opts {
		opt(f)
	}
	return f
}

// WithCount sets who counts what callers got. By default nobody does.
func WithCount(c counter) Option {
	return func(f *Front) { f.count = c }
}

// WithLog sets where the face writes what it does. The default is nowhere.
func WithLog(l *log.Logger) Option {
	return func(f *Front) { f.log = l }
}

// WithMaxBody bounds a request, in bytes. The default is 1 MiB.
func WithMaxBody(n int64) Option {
	return func(f *Front) { f.maxBody = n }
}

// WithTimeout bounds a live generation that states no timeout. The default is one
// minute.
func WithTimeout(d time.Duration) Option {
	return func(f *Front) { f.timeout = d }
}

// Register adds the routes of callers to r.
func (f *Front) Register(r *mux.Router) {
	r.HandleFunc("/v1/models/{model}/generate", f.generate).Methods(http.MethodPost)
	r.PathPrefix("/v1/services/{service}/").HandlerFunc(f.call)
}

// Live does nothing.
func (uncounted) Live(string, string, time.Duration, error) {}

func callerOf(r *http.Request) string {
	if name := r.Header.Get(CallerHeader); name != "" {
		return name
	}
	return anonymous
}

// requestID takes the caller's own id, so that its logs and ours agree, and
// adds a random part: two callers may use the same one.
func requestID(r *http.Request) string {
	own := r.Header.Get(RequestHeader)
	if own == "" || len(own) > maxRequestID {
		return rand.Text()
	}
	return own + "." + rand.Text()[:8]
}

// maxRequestID bounds a caller's own request id, in bytes.
const maxRequestID = 64
