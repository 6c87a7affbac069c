// Package inuse keeps a caller's connection open while a request on it is handled.
//
// A server that shuts down closes the connections that are idle. It takes one for idle
// until it has read the whole head of the next request, so that a request that arrives in
// that moment is handled, reaches an endpoint, and finds its connection closed: it has run,
// and its caller knows nothing. Here the connection of such a request stays open until it
// has been handled; and a request whose connection is closed already isn't handled at all,
// so that its caller may send it elsewhere.
package inuse

import (
	"context"
	"net"
	"net/http"
	"sync"
)

type (
	// Listener accepts connections that stay open while a request is handled. See New.
	Listener struct {
		net.Listener
	}

	conn struct {
		net.Conn

		mu     sync.Mutex
		busy   bool
		closed bool
	}

	connKey struct{}
)

// New returns a listener for a server that has Context as its ConnContext and a handler
// made by Handler.
//
//	srv := &http.Server{Handler: inuse.Handler(h), ConnContext: inuse.Context}
//	err := srv.Serve(inuse.New(l))
func New(l net.Listener) *Listener { return &Listener{Listener: l} }

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &conn{Conn: c}, nil
}

// Context has requests know their connection.
func Context(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// Handler handles requests whose connection is open, and keeps it open until they have
// been handled. The server closes it after that, as it does with any that isn't kept.
func Handler(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, ok := r.Context().Value(connKey{}).(*conn)
		if !ok {
			h.ServeHTTP(w, r)
			return
		}
		if !c.begin() {
			panic(http.ErrAbortHandler) // nobody reads an answer
		}
		defer c.end()
		h.ServeHTTP(w, r)
	})
}

// Close closes the connection unless a request on it is being handled.
func (c *conn) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.busy {
		return nil
	}
	c.closed = true
	return c.Conn.Close()
}

// CloseWrite ends the answer and leaves the rest of the request unread. Without it a caller
// whose long request is refused early would find its connection reset, and not the answer.
func (c *conn) CloseWrite() error {
	w, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok {
		return nil // a connection without halves, as in tests
	}
	return w.CloseWrite()
}

// begin reports whether the connection is open, and keeps it so until end.
func (c *conn) begin() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.busy = !c.closed
	return c.busy
}

func (c *conn) end() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.busy = false
}
