// Package conns creates HTTP transports whose connections detect an unresponsive
// peer, and bytes that are no valid response.
package conns

import (
	"net"
	"net/http"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// keepAliveIdle, keepAliveInterval and keepAliveCount configure TCP keep-alive. A
	// connection whose peer vanished without a reset would otherwise hang until the
	// system's own timeout, minutes later; it now fails after two seconds, below the
	// three seconds within which a machine must have reconnected.
	keepAliveIdle     = time.Second
	keepAliveInterval = 500 * time.Millisecond
	keepAliveCount    = 2
	// tcpUserTimeout bounds how long sent bytes may remain unacknowledged.
	tcpUserTimeout = 2 * time.Second
	// defaultDialTimeout allows several round trips between data centres, and is short
	// enough to fail over to another peer within most latency objectives.
	defaultDialTimeout = 400 * time.Millisecond
	// defaultIdleTimeout is below the idle timeout of most servers, so that connections
	// are closed on this side first.
	defaultIdleTimeout = 4 * time.Second
	// defaultIdlePerHost is the number of idle connections kept per peer.
	defaultIdlePerHost = 32
	// bufferBytes is the size of the read and write buffers. It is small since messages
	// are small and connections many.
	bufferBytes = 4 << 10
	// maxHeaderBytes bounds the header of a response, with the interim responses before it. Headers
	// have some hundred bytes; the default of 10 MB, on many connections to servers that send
	// headers without an end, would take all memory.
	maxHeaderBytes = 64 << 10
)

// Option configures a transport in New.
type Option func(*http.Transport)

// New returns a transport that uses neither compression nor a proxy and checks responses.
//
//	tr := conns.New(conns.WithIdleTimeout(time.Second))
//	client := conns.NewClient(tr)
func New(opts ...Option) *Transport {
	tr := &http.Transport{
		DialContext:         Dialer(defaultDialTimeout).DialContext,
		DisableCompression:  true,
		IdleConnTimeout:     defaultIdleTimeout,
		MaxIdleConnsPerHost: defaultIdlePerHost,
		ReadBufferSize:      bufferBytes,
		WriteBufferSize:     bufferBytes,

		MaxResponseHeaderBytes: maxHeaderBytes,
	}
	for _, opt := range opts {
		opt(tr)
	}
	return Check(tr)
}

// WithIdleTimeout sets the time after which idle connections are closed. The default is
// 4 seconds.
func WithIdleTimeout(d time.Duration) Option {
	return func(tr *http.Transport) { tr.IdleConnTimeout = d }
}

// Dialer returns a dialer with the connection settings of the transports.
func Dialer(timeout time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout: timeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     keepAliveIdle,
			Interval: keepAliveInterval,
			Count:    keepAliveCount,
		},
		Control: setUserTimeout,
	}
}

// setUserTimeout sets TCP_USER_TIMEOUT, which covers what keep-alive probes do not:
// the kernel sends no probes while sent bytes are unacknowledged.
func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var optErr error
	err := raw.Control(func(fd uintptr) {
		optErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(tcpUserTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return optErr
}
