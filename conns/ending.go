package conns

import (
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"

	"github.com/lavendermux/lavendermux/h1resp"
)

const (
	// maxUploadStall bounds how long the end of a response waits for the next bytes of the request to be
	// written, and for what is written to be received. A connection on which sent bytes remain
	// unacknowledged for that long counts as broken.
	maxUploadStall = tcpUserTimeout
	// resetDelay is how long a reset may take that answers the last bytes of a request: several round
	// trips between data centres.
	resetDelay = 200 * time.Millisecond
	// minDeliveryPoll and maxDeliveryPoll are the first and the longest wait between two looks at what the
	// peer has received. The kernel doesn't tell when that changes.
	minDeliveryPoll = time.Millisecond
	maxDeliveryPoll = 20 * time.Millisecond
)

var (
	errStalled = errors.New("the peer doesn't receive the rest of the request")
	// errNoDelivery means that the system doesn't tell what the peer has received.
	errNoDelivery = errors.New("the delivery of sent bytes is unknown")
)

type (
	// CutShortError means that a connection, and with it a body without a length, ended before the peer had
	// received the whole request. Such an end may be that of a reset, so the body doesn't count as complete.
	CutShortError struct {
		Cause error
	}

	// upload is what was written of a request. See newUpload.
	upload struct {
		conn net.Conn
		// delivered reports whether the peer has received all that was written.
		delivered func(net.Conn) (bool, error)
		// progress receives after writes, closed is closed with the connection.
		progress, closed chan struct{}
		closeOnce        sync.Once

		mu      sync.Mutex
		request h1resp.Request
		// err is the error of a write.
		err error
	}
)

// Error implements error.
func (e *CutShortError) Error() string {
	return "the connection ended within the request: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *CutShortError) Unwrap() error { return e.Cause }

func newUpload(c net.Conn) *upload {
	return &upload{conn: c, delivered: delivered, progress: make(chan struct{}, 1), closed: make(chan struct{})}
}

// begin says that a request is about to be written.
func (u *upload) begin() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.request.Begin()
}

// wrote records the result of a write.
func (u *upload) wrote(p []byte, err error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.request.Sent(p)
	if err != nil && u.err == nil {
		u.err = err
	}
	select {
	case u.progress <- struct{}{}:
	default: // the last one hasn't been noticed yet
	}
}

// close ends all waits.
func (u *upload) close() { u.closeOnce.Do(func() { close(u.closed) }) }

func (u *upload) state() (isComplete bool, err error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.request.IsComplete(), u.err
}

// await returns nil once the peer has received the whole request, and a *CutShortError if it doesn't. It is called
// when the peer has ended the connection, which shows nothing while the request is under way: the error
// of a reset is returned once, by a write or a read, and the reads that follow find an orderly end.
func (u *upload) await() error {
	stalled := time.NewTimer(maxUploadStall)
	defer stalled.Stop()
	for isLate := false; ; isLate = true {
		isComplete, err := u.state()
		switch {
		case err != nil:
			return &CutShortError{Cause: err}
		case isComplete:
			return u.awaitDelivery(isLate)
		}
		select {
		case <-u.progress:
			stalled.Reset(maxUploadStall)
		case <-u.closed:
			return &CutShortError{Cause: net.ErrClosed}
		case <-stalled.C:
			return &CutShortError{Cause: errStalled}
		}
	}
}

// awaitDelivery is await for a request that is written. Its end may be in a buffer of this system, and a peer that
// has closed the connection resets it when it arrives. isLate says that the peer ended the connection
// before the end of the request was written.
func (u *upload) awaitDelivery(isLate bool) error {
	start := time.Now()
	for pause := minDeliveryPoll; ; pause = min(2*pause, maxDeliveryPoll) {
		isDelivered, err := u.delivered(u.conn)
		waited := time.Since(start)
		switch {
		case errors.Is(err, errNoDelivery) && isLate && waited < resetDelay:
			err = probe(u.conn)
		case errors.Is(err, errNoDelivery):
			return nil
		case isDelivered:
			return nil
		case waited >= maxUploadStall:
			err = errStalled
		}
		if err != nil {
			return &CutShortError{Cause: err}
		}
		select {
		case <-u.closed:
			return &CutShortError{Cause: net.ErrClosed}
		case <-time.After(pause):
		}
	}
}

// delivered reports whether the peer has received all that was written to a connection. The error is errNoDelivery if
// the system doesn't tell, and otherwise that of a connection that was reset.
func delivered(c net.Conn) (bool, error) {
	raw, ok := rawConn(c)
	if !ok {
		return false, errNoDelivery
	}
	var info *unix.TCPInfo
	var infoErr error
	var errno int
	err := raw.Control(func(fd uintptr) {
		info, infoErr = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		if infoErr == nil && info.State == unix.BPF_TCP_CLOSE {
			errno, infoErr = unix.GetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_ERROR)
		}
	})
	switch {
	case err != nil:
		return false, err
	case infoErr != nil, info.State == 0:
		return false, errNoDelivery
	case errno != 0:
		return false, syscall.Errno(errno)
	case info.State == unix.BPF_TCP_CLOSE:
		return false, syscall.ECONNRESET
	}
	return info.Unacked == 0 && info.Notsent_bytes == 0, nil
}

// probe returns the error of a connection that was reset. A write of nothing reports it, and sends nothing.
func probe(c net.Conn) error {
	raw, ok := rawConn(c)
	if !ok {
		return nil // writing nothing to something else than a socket may wait or fail
	}
	var writeErr error
	err := raw.Write(func(fd uintptr) bool {
		_, writeErr = syscall.Write(int(fd), nil)
		return true
	})
	if errors.Is(writeErr, syscall.EAGAIN) || errors.Is(writeErr, syscall.EINTR) {
		writeErr = nil
	}
	return errors.CombineErrors(err, writeErr)
}

// rawConn returns the socket of a connection, which may be encrypted.
func rawConn(c net.Conn) (raw syscall.RawConn, ok bool) {
	for {
		wrapper, ok := c.(interface{ NetConn() net.Conn })
		if !ok {
			break
		}
		c = wrapper.NetConn()
	}
	socket, ok := c.(syscall.Conn)
	if !ok {
		return nil, false
	}
	raw, err := socket.SyscallConn()
	return raw, err == nil
}
