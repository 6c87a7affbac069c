// Package accept bounds what the clients of a server may occupy: connections, the memory of heads and
// of requests, and that of bodies.
//
// A client decides how many connections it opens, how far it sends a request and whether it reads the
// answer. What that costs is counted in pools (package bound). When one is exhausted, the connection
// is closed that loses least by it: one without a whole request first, then one whose body is being
// read, one that is idle, and one whose answer isn't read. A request that is being handled is never
// cut off.
package accept

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"

	"github.com/cockroachdb/errors"

	"github.com/lavendermux/lavendermux/bound"
)

const (
	// headFactor is the memory that a head takes for each of its bytes until its fields are known: a
	// field of a few bytes takes a hundred in a parsed head.
	headFactor = 16
	// fieldBytes is the memory that a field of a parsed head takes besides its text, and requestBytes
	// that of a request besides its head.
	fieldBytes   = 160
	requestBytes = 2 << 10
	// smallBodyBytes is the part of a body that counts as memory of the request; more of it counts in
	// the pool for bodies.
	smallBodyBytes = 16 << 10
)

// The ranks of what a connection holds.
const (
	rankHead    = bound.First
	rankBody    = bound.Second
	rankIdle    = bound.Third
	rankWriting = bound.Stalled
	rankBusy    = bound.Pinned
)

type (
	// Limiter bounds what the clients at one address may occupy. See New.
	Limiter struct {
		connections, requests, bodies *bound.Pool
	}

	// Option configures a Limiter in New.
	Option func(*Limiter)

	// OverloadError means that a body was not read since the memory for requests is used by others.
	OverloadError struct{}

	// listener accepts connections that are counted.
	listener struct {
		net.Listener
		limiter *Limiter
	}

	connContextKey struct{}
)

// errEvicted ends a read from a connection that was closed to make room for others.
var errEvicted = &net.OpError{Op: "read", Net: "tcp", Err: errors.New("closed to make room for other clients")}

// Error implements error.
func (*OverloadError) Error() string { return "other requests use the memory for requests" }

// New returns a limiter of the given number of connections. Those of several addresses may share the
// pool for the memory of heads and short bodies.
//
//	lim := accept.New(1000, bound.New(memory/16))
//	srv := &http.Server{Handler: lim.Handler(h), ConnContext: lim.WithConn, ConnState: lim.ConnState}
//	err := srv.Serve(lim.Listener(l))
func New(connections int, requests *bound.Pool, opts ...Option) *Limiter {
	lim := &Limiter{connections: bound.New(int64(connections)), requests: requests}
	for _, opt := range opts {
		opt(lim)
	}
	return lim
}

// WithBodies counts what handlers read of bodies in a pool. The default is that handlers count it
// themselves, but for the first 16 KiB.
func WithBodies(pool *bound.Pool) Option { return func(lim *Limiter) { lim.bodies = pool } }

// Connections returns the pool of connections.
func (lim *Limiter) Connections() *bound.Pool { return lim.connections }

// CutUnfinished closes the connections whose request has not been whole for a second, so that a server
// that shuts down doesn't wait for clients that never finish.
func (lim *Limiter) CutUnfinished() { lim.connections.EvictStalled(rankIdle) }

// Listener returns a listener whose connections are counted, and closed when there are too many.
func (lim *Limiter) Listener(l net.Listener) net.Listener {
	return &listener{Listener: l, limiter: lim}
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		counted := &conn{Conn: c, limiter: l.limiter}
		counted.slot = l.limiter.connections.Claim(rankHead, counted.cut)
		if counted.slot.Grow(1) {
			return counted, nil
		}
		counted.slot.Release()
		_ = c.Close() // all others have requests in progress
	}
}

// WithConn adds the connection to the context of its requests.
func (lim *Limiter) WithConn(ctx context.Context, c net.Conn) context.Context {
	if counted := countedConn(c); counted != nil {
		return context.WithValue(ctx, connContextKey{}, counted)
	}
	return ctx
}

// ConnState learns from the server that the next bytes of a connection belong to another request.
func (lim *Limiter) ConnState(c net.Conn, state http.ConnState) {
	if counted := countedConn(c); counted != nil && state == http.StateIdle {
		counted.idle()
	}
}

// countedConn returns the counted connection that c is or wraps, or nil.
func countedConn(c net.Conn) *conn {
	for {
		if counted, ok := c.(*conn); ok {
			return counted
		}
		wrapper, ok := c.(interface{ NetConn() net.Conn })
		if !ok {
			return nil
		}
		c = wrapper.NetConn()
	}
}

// Handler returns a handler that counts requests until h has handled them. A request for which there is
// no memory is answered with 503; it has not run.
func (lim *Limiter) Handler(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, ok := r.Context().Value(connContextKey{}).(*conn)
		if !ok {
			h.ServeHTTP(w, r)
			return
		}
		claim, ok := c.begin(r)
		if !ok {
			panic(http.ErrAbortHandler) // the connection was closed to make room for others
		}
		isDone := false
		defer func() { c.end(claim, isDone) }()
		if !claim.Grow(headBytes(r)) {
			w.Header().Set("Retry-After", retryAfter)
			w.Header().Set("Connection", "close")
			w.WriteHeader(http.StatusServiceUnavailable)
			isDone = true
			return
		}
		b := newBody(lim, claim, w, r)
		defer b.release()
		h.ServeHTTP(w, r)
		isDone = true
	})
}

// retryAfter is the Retry-After of requests for which there is no memory, in seconds: by then
// requests in progress are done.
const retryAfter = "1"

// headBytes returns the memory of a parsed head.
func headBytes(r *http.Request) int64 {
	n := requestBytes + len(r.RequestURI)
	for name, values := range r.Header {
		n += len(name)
		for _, v := range values {
			n += fieldBytes + len(v)
		}
	}
	return int64(n)
}

// conn is a connection that is counted.
type conn struct {
	net.Conn
	limiter *Limiter
	// slot counts the connection.
	slot *bound.Claim

	mu sync.Mutex
	// head counts the memory of the head that is being read; nil while there is none.
	head *bound.Claim
	// active is the number of requests that are being handled. hasRequest is set until the server is
	// done with the last one, which includes what is left of its body.
	active     int
	hasRequest bool
	// isOld is set if the last request is of HTTP/1.0, so that the end of the connection may be that of a body.
	// isAnswered is set once its handler is done.
	isOld, isAnswered bool
	// isMultiplexed is set if several requests may be handled at a time, as with HTTP/2: the heads then
	// have a limit each, and aren't counted while they are read.
	isMultiplexed atomic.Bool
}

// Read implements net.Conn. While it waits for the rest of a request that is being handled, the connection
// may be closed to make room for others.
func (c *conn) Read(p []byte) (int, error) {
	// With room for one byte the server only watches for the end of the connection.
	if len(p) > 1 && c.isBusy() && !c.isMultiplexed.Load() && c.slot.SetRank(rankBody) {
		defer c.setBusy()
	}
	n, err := c.Conn.Read(p)
	if n > 0 && !c.countHead(n) {
		c.cut()
		return 0, errEvicted
	}
	return n, err
}

// countHead counts n bytes of a head, unless they belong to a request that is being handled. It reports
// whether there is memory for them.
func (c *conn) countHead(n int) bool {
	c.mu.Lock()
	if c.hasRequest || c.isMultiplexed.Load() {
		c.mu.Unlock()
		return true
	}
	isFirst := c.head == nil
	if isFirst {
		c.head = c.limiter.requests.Claim(rankHead, c.cut)
	}
	head := c.head
	c.mu.Unlock()
	if isFirst && !c.slot.SetRank(rankHead) {
		return false
	}
	return head.Grow(int64(n) * headFactor)
}

// begin counts a request that is handled from now on. It reports false if the connection was closed.
func (c *conn) begin(r *http.Request) (claim *bound.Claim, ok bool) {
	if !c.slot.SetRank(rankBusy) {
		return nil, false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.active++
	c.hasRequest = true
	c.isOld, c.isAnswered = !r.ProtoAtLeast(1, 1), false
	c.isMultiplexed.Store(r.ProtoMajor > 1)
	claim = c.head
	c.head = nil
	if claim == nil {
		// The head came with the request before it, or the connection is multiplexed.
		return c.limiter.requests.Claim(rankBusy, c.cut), true
	}
	if !claim.SetRank(rankBusy) {
		c.active--
		return nil, false
	}
	claim.Shrink(0) // to be counted by its fields
	return claim, true
}

// end ends a request. If its handler gave up, the connection may not end in an orderly way.
func (c *conn) end(claim *bound.Claim, isDone bool) {
	claim.Release()
	c.mu.Lock()
	if c.active--; c.active == 0 {
		c.slot.SetRank(rankWriting) // the end of the response is yet to be written
	}
	c.isAnswered = isDone
	isCut := c.isOld && !isDone
	c.mu.Unlock()
	if isCut {
		c.cut() // now: below TLS the server would send a close notification first
	}
}

// idle notes that the server waits for the next request.
func (c *conn) idle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.active == 0 {
		c.hasRequest = false
		c.slot.SetRank(rankIdle)
	}
}

// Write implements net.Conn. While it waits for the client to read, the connection may be closed to make
// room for others.
func (c *conn) Write(p []byte) (int, error) {
	if c.isBusy() && c.slot.SetRank(rankWriting) {
		defer c.setBusy()
	}
	return c.Conn.Write(p)
}

func (c *conn) isBusy() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.active > 0
}

// setBusy ends a wait for the client while a request is handled.
func (c *conn) setBusy() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.active > 0 {
		c.slot.SetRank(rankBusy)
	}
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.slot.Release()
	c.mu.Lock()
	head := c.head
	c.head = nil
	isCut := c.isOld && c.hasRequest && !c.isAnswered
	c.mu.Unlock()
	if head != nil {
		head.Release()
	}
	if isCut {
		c.resetOnClose()
	}
	return c.Conn.Close()
}

// CloseWrite ends the response and leaves the rest of the request unread, so that a client whose long
// request is refused gets the response instead of a reset.
func (c *conn) CloseWrite() error {
	w, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok {
		return nil // a connection without half-close, as in tests
	}
	return w.CloseWrite()
}

// cut closes the connection under the server, which then ends its requests.
func (c *conn) cut() {
	c.mu.Lock()
	isOld := c.isOld && c.hasRequest
	c.mu.Unlock()
	if isOld {
		c.resetOnClose()
	}
	_ = c.Conn.Close()
}

// resetOnClose has the connection end with a reset. To a client of HTTP/1.0 an orderly end is that of the body,
// and the part that it has would be complete.
func (c *conn) resetOnClose() {
	if s, ok := c.Conn.(interface{ SetLinger(sec int) error }); ok {
		_ = s.SetLinger(0) // fails only if the connection is closed
	}
}
