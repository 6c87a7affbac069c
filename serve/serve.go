// Package serve runs an HTTP server that stops gracefully.
package serve

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// headerTimeout bounds how long a client may take to send its header, so
	// that slow ones cannot hold connections for nothing.
	headerTimeout = 10 * time.Second
	// idleTimeout is how long an idle connection is kept. It is longer than the
	// time between two heartbeats, which would open a connection each otherwise.
	idleTimeout = 2 * time.Minute
	// maxStreams is how many requests one HTTP/2 connection carries at a time.
	// An entry has one connection to a door, and all its streams pass over it.
	maxStreams = 4096
)

type (
	// Server is one listening server. See Start.
	Server struct {
		http *http.Server
		done chan error
		addr string
	}

	// Option changes a Server as Start makes it.
	Option func(*options)

	options struct {
		listen func(address string) (net.Listener, error)
		tls    *tls.Config
	}
)

// Start listens on address and serves handler, in HTTP/1 and HTTP/2, until Stop.
//
//	s, err := serve.Start("127.0.0.1:8080", handler)
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
	if o.tls != nil {
		l = tls.NewListener(l, withHTTP2(o.tls))
	}
	s := &Server{
		http: &http.Server{
			Handler:           handler,
			ReadHeaderTimeout: headerTimeout,
			IdleTimeout:       idleTimeout,
			Protocols:         protocols(),
			HTTP2:             &http.HTTP2Config{MaxConcurrentStreams: maxStreams},
		},
		done: make(chan error, 1),
		addr: l.Addr().String(),
	}
	go func() { s.done <- s.http.Serve(l) }()
	return s, nil
}

// WithListen sets how the server listens. The default is TCP.
func WithListen(listen func(address string) (net.Listener, error)) Option {
	return func(o *options) { o.listen = listen }
}

// WithTLS makes the server speak TLS. The default, also for nil, is plain text.
func WithTLS(cfg *tls.Config) Option {
	return func(o *options) { o.tls = cfg }
}

// Address returns where the server listens.
func (s *Server) Address() string {
	return s.addr
}

// Done yields the error with which the server ended by itself.
func (s *Server) Done() <-chan error {
	return s.done
}

// Stop takes no new connections, waits for the requests in flight until ctx
// ends, and then cuts off what is left.
func (s *Server) Stop(ctx context.Context) error {
	err := s.http.Shutdown(ctx)
	if err != nil {
		_ = s.http.Close()
	}
	return errors.Wrap(err, "stopping a server")
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
