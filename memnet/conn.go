package memnet

import (
	"io"
	"net"
	"os"
	"strconv"
	"sync"
	"syscall"
	"time"
)

const (
	// windowBytes is how many bytes may be in flight in one direction before a writer
	// blocks.
	windowBytes = 256 << 10
)

type (
	// conn is one end of a connection.
	conn struct {
		network *Network
		host    string
		peer    string
		local   address
		remote  address
		in      *stream
		out     *stream
	}

	// stream carries bytes in one direction.
	stream struct {
		network  *Network
		from, to string

		mu          sync.Mutex
		packets     []packet
		queuedBytes int
		// writerClosed is set when the writer closed: what is queued still arrives.
		writerClosed bool
		// readerClosed is set when the reader closed.
		readerClosed bool
		// broken is set when either instance was killed or the connection was reset.
		broken bool
		// muted is set when bytes, and the end of the stream, no longer arrive.
		muted bool
		// readDeadline and writeDeadline are the deadlines of the two ends.
		readDeadline  time.Time
		writeDeadline time.Time
		// changed is closed whenever the fields above change.
		changed chan struct{}
	}

	// packet is bytes that arrive together.
	packet struct {
		data []byte
		at   time.Time
	}
)

func newConns(n *Network, from string, port int, l *listener) (near, far *conn) {
	there := newStream(n, from, l.host)
	back := newStream(n, l.host, from)
	caller := address(net.JoinHostPort(from, strconv.Itoa(port)))
	near = &conn{network: n, host: from, peer: l.host, local: caller, remote: l.addr, in: back, out: there}
	far = &conn{network: n, host: l.host, peer: from, local: l.addr, remote: caller, in: there, out: back}
	return near, far
}

func newStream(n *Network, from, to string) *stream {
	return &stream{network: n, from: from, to: to, changed: make(chan struct{})}
}

// Read implements net.Conn.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.in.read(b)
	return n, c.wrap("read", err)
}

// Write implements net.Conn.
func (c *conn) Write(b []byte) (int, error) {
	n, err := c.out.write(b)
	return n, c.wrap("write", err)
}

// Close implements net.Conn. Bytes written before still arrive.
func (c *conn) Close() error {
	c.out.change(func(s *stream) { s.writerClosed = true })
	c.in.change(func(s *stream) { s.readerClosed = true })
	c.network.removeConn(c)
	return nil
}

// reset closes the connection as when its instance dies: bytes in flight are lost, and
// the other end gets an error.
func (c *conn) reset() {
	c.out.change(func(s *stream) {
		s.writerClosed = true
		s.broken = true
	})
	c.in.change(func(s *stream) {
		s.readerClosed = true
		s.broken = true
	})
	c.network.removeConn(c)
}

// abort breaks the connection while both instances live.
func (c *conn) abort() {
	c.out.change(func(s *stream) { s.broken = true })
	c.in.change(func(s *stream) { s.broken = true })
}

// LocalAddr implements net.Conn.
func (c *conn) LocalAddr() net.Addr { return c.local }

// RemoteAddr implements net.Conn.
func (c *conn) RemoteAddr() net.Addr { return c.remote }

// SetDeadline implements net.Conn.
func (c *conn) SetDeadline(t time.Time) error {
	_ = c.SetReadDeadline(t)
	return c.SetWriteDeadline(t)
}

// SetReadDeadline implements net.Conn.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.in.change(func(s *stream) { s.readDeadline = t })
	return nil
}

// SetWriteDeadline implements net.Conn.
func (c *conn) SetWriteDeadline(t time.Time) error {
	c.out.change(func(s *stream) { s.writeDeadline = t })
	return nil
}

func (c *conn) wrap(op string, err error) error {
	if err == nil || err == io.EOF { //nolint:errorlint // io.EOF is never wrapped here, and readers compare it.
		return err
	}
	return &net.OpError{Op: op, Net: network, Source: c.local, Addr: c.remote, Err: err}
}

func (s *stream) change(do func(*stream)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	do(s)
	s.wake()
}

func (s *stream) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *stream) read(b []byte) (int, error) {
	for {
		open, _, linkChanged := s.network.link(s.from, s.to)
		s.mu.Lock()
		n, err, done := s.tryRead(b, open, time.Now())
		changed, until := s.changed, s.readDeadline
		if open && len(s.packets) > 0 && (until.IsZero() || s.packets[0].at.Before(until)) {
			until = s.packets[0].at
		}
		s.mu.Unlock()
		if done {
			return n, err
		}
		wait(changed, linkChanged, until)
	}
}

// tryRead reads what has arrived; it reports false when the reader must wait. The
// caller holds the lock.
func (s *stream) tryRead(b []byte, open bool, now time.Time) (int, error, bool) { //nolint:revive // The last result tells whether the others count.
	switch {
	case s.readerClosed:
		return 0, net.ErrClosed, true
	case expired(s.readDeadline, now):
		return 0, os.ErrDeadlineExceeded, true
	case len(b) == 0:
		return 0, nil, true
	case !open, s.muted:
		return 0, nil, false
	case s.broken:
		return 0, syscall.ECONNRESET, true
	case len(s.packets) > 0 && !s.packets[0].at.After(now):
		return s.dequeue(b), nil, true
	case len(s.packets) == 0 && s.writerClosed:
		return 0, io.EOF, true
	}
	return 0, nil, false
}

func (s *stream) dequeue(b []byte) int {
	n := copy(b, s.packets[0].data)
	s.packets[0].data = s.packets[0].data[n:]
	if len(s.packets[0].data) == 0 {
		s.packets = s.packets[1:]
	}
	s.queuedBytes -= n
	s.wake()
	return n
}

func (s *stream) write(b []byte) (int, error) {
	written := 0
	for {
		open, delay, linkChanged := s.network.link(s.from, s.to)
		s.mu.Lock()
		now := time.Now()
		err := s.writeError(open, now)
		if err == nil {
			written += s.enqueue(b[written:], now.Add(delay))
		}
		changed, until := s.changed, s.writeDeadline
		s.mu.Unlock()
		if err != nil || written == len(b) {
			return written, err
		}
		wait(changed, linkChanged, until)
	}
}

func (s *stream) writeError(open bool, now time.Time) error {
	switch {
	case s.writerClosed:
		return net.ErrClosed
	case expired(s.writeDeadline, now):
		return os.ErrDeadlineExceeded
	case open && !s.muted && (s.readerClosed || s.broken):
		return syscall.EPIPE
	}
	return nil
}

// enqueue queues as much as the window allows and returns how much. Bytes never
// overtake earlier ones, also when the delay shrinks.
func (s *stream) enqueue(b []byte, at time.Time) int {
	if s.muted {
		return len(b)
	}
	n := min(len(b), windowBytes-s.queuedBytes)
	if n <= 0 {
		return 0
	}
	if last := len(s.packets) - 1; last >= 0 && s.packets[last].at.After(at) {
		at = s.packets[last].at
	}
	s.packets = append(s.packets, packet{data: append([]byte(nil), b[:n]...), at: at})
	s.queuedBytes += n
	s.wake()
	return n
}

func expired(deadline, now time.Time) bool {
	return !deadline.IsZero() && !deadline.After(now)
}

// wait returns when either channel is closed or the deadline has passed; a zero
// deadline never passes.
func wait(a, b <-chan struct{}, until time.Time) {
	var due <-chan time.Time
	if !until.IsZero() {
		t := time.NewTimer(time.Until(until))
		defer t.Stop()
		due = t.C
	}
	select {
	case <-a:
	case <-b:
	case <-due:
	}
}
