// Package netset is the network as a process sees it: how it listens, and its
// clients for peers of each kind. Tests put a network in memory in its place.
package netset

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	dialTimeout = time.Second
	// idleConns is how many idle connections to one platform service or engine
	// are kept. An engine has one for each running stream.
	idleConns   = 256
	idleTimeout = 90 * time.Second
	// pingAfter and pingTimeout find a peer that is frozen: a heartbeat to it
	// would otherwise wait on an open connection.
	// opDial marks an error before any byte of a request was sent; package net
	// names the opening of a connection so, and who asks relies on it.
	opDial      = "dial"
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
		tls     *tls.Config
	}

	// plainly hides that a connection is encrypted, so that HTTP/2 begins on it
	// without being negotiated, as between all processes of the system.
	plainly struct{ net.Conn }

	secured struct{ net.Listener }

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
		DialContext: n.dialPeer,
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

// WithPeerTLS encrypts what passes between the system's own processes, and lets
// in only peers with a certificate if cfg asks for one. The default, also for
// nil, is plain text.
func WithPeerTLS(cfg *tls.Config) Option {
	return func(n *Net) { n.tls = cfg }
}

// ListenPeers listens for the system's own processes.
func (n *Net) ListenPeers(address string) (net.Listener, error) {
	l, err := n.listen(address)
	if err != nil || n.tls == nil {
		return l, err
	}
	return secured{tls.NewListener(l, n.tls)}, nil
}

// Accept implements net.Listener. The handshake takes place with the first bytes
// that are read, so a client that is slow at it holds up nobody else.
func (s secured) Accept() (net.Conn, error) {
	c, err := s.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return plainly{c}, nil
}

func (n *Net) dialPeer(ctx context.Context, network, address string) (net.Conn, error) {
	c, err := n.dial(ctx, network, address)
	if err != nil || n.tls == nil {
		return c, err
	}
	cfg := n.tls.Clone()
	cfg.ServerName, _, err = net.SplitHostPort(address)
	if err != nil {
		return nil, errors.CombineErrors(errors.Wrap(err, "dialling a peer"), c.Close())
	}
	secure := tls.Client(c, cfg)
	if err := secure.HandshakeContext(ctx); err != nil {
		return nil, errors.CombineErrors(&net.OpError{Op: opDial, Net: network, Err: err}, c.Close())
	}
	return plainly{secure}, nil
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
