// Package httpd provides an HTTP server with graceful shutdown.
package httpd

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lavendermux/lavendermux/accept"
	"github.com/lavendermux/lavendermux/bound"
	"github.com/lavendermux/lavendermux/caps"
)

const (
	// headerTimeout bounds how long a client may take to send its header, so that
	// slow clients cannot occupy connections.
	headerTimeout = 10 * time.Second
	// idleTimeout is how long an idle connection is kept. It is longer than the
	// heartbeat interval; otherwise each heartbeat would open a connection.
	idleTimeout = 2 * time.Minute
	// maxHeaderBytes bounds the header of a request. Headers have some hundred bytes; the default of
	// 1 MB, on many connections of clients that send headers without an end, would take all memory.
	maxHeaderBytes = 64 << 10
	// streamBufferBytes is how much a client may send on an HTTP/2 connection, on all of its streams,
	// before the handlers read it.
	streamBufferBytes = 64 << 10
	// maxStreams bounds the concurrent requests of one HTTP/2 connection. An entry
	// instance has one connection to a sidecar, which carries all its streams.
	maxStreams = 4096
)

type (
	// Server is a running HTTP server. See Start.
	Server struct {
		http *http.Server
		done chan error
		addr string
	}

	// Option configures a Server in Start.
	Option func(*options)

	options struct {
		listen  func(address string) (net.Listener, error)
		tls     *tls.Config
		limiter *accept.Limiter
	}
)

// Start listens on address and serves handler over HTTP/1 and HTTP/2 until Stop.
//
//	s, err := httpd.Start("127.0.0.1:8080", handler)
//	defer s.Stop(ctx)
func Start(address string, handler http.Handler, opts ...Option) (*Server, error) {
	o := options{listen: listenTCP}
	for _, opt := range opts {
		opt(&o)
	}
	l, err := o.listen(address)
	if err != nil {
		return nil, errors.Wrapf(err, "listening on %s", address)
	}
	if o.limiter == nil {
		limits := caps.Of(0, 0, false)
		bodies := bound.New(limits.Bodies)
		o.limiter = accept.New(limits.PeerConnections, bound.New(limits.PeerRequests), accept.WithBodies(bodies))
	}
	l = o.limiter.Listener(l)
	if o.tls != nil {
		l = tls.NewListener(l, withHTTP2(o.tls))
	}
	s := &Server{http: NewServer(handler, o.limiter), done: make(chan error, 1), addr: l.Addr().String()}
	s.http.Protocols = protocols()
	s.http.HTTP2 = &http.HTTP2Config{
		MaxConcurrentStreams:          maxStreams,
		MaxReceiveBufferPerConnection: streamBufferBytes,
		MaxReceiveBufferPerStream:     streamBufferBytes,
	}
	go func() { s.done <- s.http.Serve(l) }()
	return s, nil
}

// NewServer returns a server of HTTP/1 that serves handler within the limits of lim. It is for listeners
// from lim.
func NewServer(handler http.Handler, lim *accept.Limiter) *http.Server {
	return &http.Server{
		Handler:           lim.Handler(handler),
		ConnContext:       lim.WithConn,
		ConnState:         lim.ConnState,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
}

// WithLimiter sets what clients may occupy. The default is what the peers of a process may whose
// settings name no limits.
func WithLimiter(lim *accept.Limiter) Option {
	return func(o *options) { o.limiter = lim }
}

// WithListen sets the function that creates the listener. The default is TCP.
func WithListen(listen func(address string) (net.Listener, error)) Option {
	return func(o *options) { o.listen = listen }
}

// WithTLS enables TLS. The default, also for nil, is plain text.
func WithTLS(cfg *tls.Config) Option {
	return func(o *options) { o.tls = cfg }
}

// Address returns the address on which the server listens.
func (s *Server) Address() string {
	return s.addr
}

// Done returns a channel that receives the error when the server ends.
func (s *Server) Done() <-chan error {
	return s.done
}

// Stop accepts no new connections, waits for the requests in flight until ctx is
// done, and then closes the remaining connections.
func (s *Server) Stop(ctx context.Context) error {
	err := s.http.Shutdown(ctx)
	if err != nil {
		_ = s.http.Close()
	}
	return errors.Wrap(err, "stopping an HTTP server")
}

func protocols() *http.Protocols {
	p := new(http.Protocols)
	p.SetHTTP1(true)
	p.SetHTTP2(true)
	p.SetUnencryptedHTTP2(true)
	return p
}

func withHTTP2(cfg *tls.Config) *tls.Config {
	cfg = cfg.Clone()
	cfg.NextProtos = []string{"h2", "http/1.1"}
	return cfg
}

func listenTCP(address string) (net.Listener, error) {
	var cfg net.ListenConfig
	return cfg.Listen(context.Background(), "tcp", address)
}
