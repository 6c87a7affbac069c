// Package netset is the network as a process sees it: how it listens, and its
// clients for peers of each kind. Tests put a network in memory in its place.
package netset

import (
	"context"
	"net"
	"net/http"
	"time"
)

const (
	dialTimeout = time.Second
	// idleConns is how many idle connections to one platform service or engine
	// are kept. An engine has one for each running stream.
	idleConns   = 256
	idleTimeout = 90 * time.Second
	// pingAfter and pingTimeout find a peer that is frozen: a heartbeat to it
	// would otherwise wait on an open connection.
	pingAfter   = 5 * time.Second
	pingTimeout = 5 * time.Second
	// controlPingAfter is pingAfter of connections that carry only heartbeats. A
	// heartbeat to the same hub follows every 6 seconds and has a timeout of its
	// own; a probe before each would add a quarter to a hub's traffic.
	controlPingAfter = 20 * time.Second
)

type (
	// Net is one process's network. See New.
	Net struct {
		listen func(address string) (net.Listener, error)
		dial   func(ctx context.Context, network, address string) (net.Conn, error)
		http   *http.Client
		peers  *http.Client
		// control has connections of its own, so that no heartbeat waits behind a
		// batch of samples.
		control *http.Client
	}

	// Option changes a Net as New makes it.
	Option func(*Net)
)

// New returns TCP.
//
//	n := netset.New()
//	l, err := n.Listen("127.0.0.1:8080")
func New(opts ...Option) *Net {
	n := &Net{
		listen: listenTCP,
		dial:   (&net.Dialer{Timeout: dialTimeout}).DialContext,
	}
	for _, opt := range opts {
		opt(n)
	}
	n.http = &http.Client{Transport: &http.Transport{
		DialContext:         n.dial,
		MaxIdleConnsPerHost: idleConns,
		IdleConnTimeout:     idleTimeout,
	}}
	n.peers = n.http2(pingAfter)
	n.control = n.http2(controlPingAfter)
	return n
}

func (n *Net) http2(ping time.Duration) *http.Client {
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	return &http.Client{Transport: &http.Transport{
		DialContext: n.dial,
		Protocols:   protocols,
		HTTP2:       &http.HTTP2Config{SendPingTimeout: ping, PingTimeout: pingTimeout},
	}}
}

// WithListen sets how the process listens. The default is TCP.
func WithListen(listen func(address string) (net.Listener, error)) Option {
	return func(n *Net) { n.listen = listen }
}

// WithDial sets how the process opens connections. The default is TCP, with a
// timeout of one second.
func WithDial(dial func(ctx context.Context, network, address string) (net.Conn, error)) Option {
	return func(n *Net) { n.dial = dial }
}

// Listen listens on an address.
func (n *Net) Listen(address string) (net.Listener, error) {
	return n.listen(address)
}

// Dial opens a connection.
func (n *Net) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	return n.dial(ctx, network, address)
}

// Client returns the client for the platform's services and for endpoints.
func (n *Net) Client() *http.Client {
	return n.http
}

// Peers returns the client for the system's own processes, over HTTP/2.
func (n *Net) Peers() *http.Client {
	return n.peers
}

// Control returns the client for heartbeats between the system's own processes.
func (n *Net) Control() *http.Client {
	return n.control
}

// Close drops idle connections.
func (n *Net) Close() {
	n.http.CloseIdleConnections()
	n.peers.CloseIdleConnections()
	n.control.CloseIdleConnections()
}

func listenTCP(address string) (net.Listener, error) {
	var cfg net.ListenConfig
	return cfg.Listen(context.Background(), "tcp", address)
}
