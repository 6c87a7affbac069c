// Package conns makes HTTP transports whose connections notice a peer that has
// gone silent.
package conns

import (
	"net"
	"net/http"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// probeIdle, probeEvery and probeCount: a connection whose peer vanished
	// without a reset would otherwise hang until the system's own time-out,
	// minutes later; with these it fails after two seconds, below the three
	// seconds in which a machine has to be in touch again.
	probeIdle  = time.Second
	probeEvery = 500 * time.Millisecond
	probeCount = 2
	// silence bounds how long sent bytes may stay unacknowledged.
	silence = 2 * time.Second
	// defaultDial is several round trips between data centres, and short enough
	// to try another peer within most latency objectives.
	defaultDial = 400 * time.Millisecond
	// defaultIdle closes connections before most servers do.
	defaultIdle = 4 * time.Second
	// defaultPerHost is the idle connections kept for one peer.
	defaultPerHost = 32
	// buffer is the bytes read at once from a connection; answers are small and
	// connections many.
	buffer = 4 << 10
)

// Option changes a transport as New makes it.
type Option func(*http.Transport)

// New returns a transport without compression and without a proxy.
//
//	tr := conns.New(conns.WithIdle(time.Second))
//	client := &http.Client{Transport: tr}
func New(opts ...Option) *http.Transport {
	tr := &http.Transport{
		DialContext:         Dialer(defaultDial).DialContext,
		DisableCompression:  true,
		IdleConnTimeout:     defaultIdle,
		MaxIdleConnsPerHost: defaultPerHost,
		ReadBufferSize:      buffer,
		WriteBufferSize:     buffer,
	}
	for _, opt := range opts {
		opt(tr)
	}
	return tr
}

// WithIdle closes connections that were idle for d. The default is 4 seconds.
func WithIdle(d time.Duration) Option {
	return func(tr *http.Transport) { tr.IdleConnTimeout = d }
}

// Dialer returns the dialer behind the transports.
func Dialer(timeout time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout: timeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     probeIdle,
			Interval: probeEvery,
			Count:    probeCount,
		},
		Control: boundSilence,
	}
}

// boundSilence covers what probes don't: the system sends no probes while bytes
// are on their way unacknowledged.
func boundSilence(_, _ string, raw syscall.RawConn) error {
	var set error
	err := raw.Control(func(fd uintptr) {
		set = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(silence.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return set
}
