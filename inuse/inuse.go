// Package inuse keeps a client connection open while a request on it is handled, also during
// a graceful shutdown.
//
// A server that shuts down closes its idle connections. It considers a connection idle until
// it has read the whole header of the next request. A request that arrives at that moment
// is handled and reaches an endpoint, but its connection is closed: it has run, and its
// caller gets no response. With this package the connection stays open until the request has
// been handled. A request whose connection is already closed is not handled at all, so that
// its caller can safely send it elsewhere.
package inuse

import (
	"context"
	"net"
	"net/http"
	"sync"
)

type (
	// Listener accepts connections that stay open while a request on them is handled. See NewListener.
	Listener struct {
		net.Listener
	}

	conn struct {
		net.Conn

		mu       sync.Mutex
		isBusy   bool
		isClosed bool
	}

	connContextKey struct{}
)

// NewListener returns a listener for a server whose ConnContext and handler are set up as in this
// example.
//
//	srv := &http.Server{Handler: inuse.Handler(h), ConnContext: inuse.WithConn}
//	err := srv.Serve(inuse.NewListener(l))
func NewListener(l net.Listener) *Listener { return &Listener{Listener: l} }

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &conn{Conn: c}, nil
}

// WithConn adds the connection to the context of its requests.
func WithConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connContextKey{}, c)
}

// Handler returns a handler that keeps the connection of a request open until h has handled
// it, and aborts requests whose connection is closed. After h returns, the server closes
// the connection as any other that is not kept alive.
func Handler(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, ok := r.Context().Value(connContextKey{}).(*conn)
		if !ok {
			h.ServeHTTP(w, r)
			return
		}
		if !c.acquire() {
			panic(http.ErrAbortHandler) // a response would reach no caller
		}
		defer c.release()
		h.ServeHTTP(w, r)
	})
}

// Close closes the connection, or does nothing while a request on it is handled.
func (c *conn) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isBusy {
		return nil
	}
	c.isClosed = true
	return c.Conn.Close()
}

// CloseWrite ends the response and leaves the rest of the request unread. Without it a caller
// whose long request is refused early gets a connection reset instead of the response.
func (c *conn) CloseWrite() error {
	w, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok {
		return nil // a connection without half-close, as in tests
	}
	return w.CloseWrite()
}

// NetConn returns the connection that c wraps.
func (c *conn) NetConn() net.Conn { return c.Conn }

// acquire reports whether the connection is open, and if so keeps it open until release.
func (c *conn) acquire() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isBusy = !c.isClosed
	return c.isBusy
}

func (c *conn) release() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isBusy = false
}
