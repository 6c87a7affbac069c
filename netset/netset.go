// Package netset provides the network transport of a process: its listeners, and
// HTTP clients for each kind of peer. Tests replace it with an in-memory network.
package netset

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lavendermux/lavendermux/conns"
)

const (
	dialTimeout = time.Second
	// maxIdleConnsPerHost bounds the idle connections to one platform service or
	// engine. An engine has one connection for each running stream.
	maxIdleConnsPerHost = 256
	idleTimeout         = 90 * time.Second
	// maxHeaderBytes bounds the header of a response, with the interim responses before it.
	maxHeaderBytes = 64 << 10
	// opDial marks an error from before any byte of a request was sent. Package net
	// uses the same name for failed dials, and callers rely on it.
	opDial = "dial"
	// peerPingInterval and pingTimeout detect a frozen peer: a heartbeat to it would
	// otherwise wait on an open connection.
	peerPingInterval = 5 * time.Second
	pingTimeout      = 5 * time.Second
	// controlPingInterval applies to connections that carry only heartbeats. A
	// heartbeat goes to the same hub every 6 seconds and has its own timeout; a ping
	// before each would increase a hub's traffic by a quarter.
	controlPingInterval = 20 * time.Second
)

type (
	// Network is the network of one process. See New.
	Network struct {
		listen func(address string) (net.Listener, error)
		dial   func(ctx context.Context, network, address string) (net.Conn, error)
		http   *http.Client
		peers  *http.Client
		// control has separate connections, so that no heartbeat waits behind a large
		// message with samples.
		control *http.Client
		tls     *tls.Config
	}

	// plainConn hides that a connection is encrypted, so that it starts HTTP/2 with
	// prior knowledge, like the plain-text connections between peers.
	plainConn struct{ net.Conn }

	tlsListener struct{ net.Listener }

	// Option configures a Network.
	Option func(*Network)
)

// New returns a network that uses TCP by default.
//
//	n := netset.New()
//	l, err := n.Listen("127.0.0.1:8080")
func New(opts ...Option) *Network {
	n := &Network{
		listen: listenTCP,
		dial:   (&net.Dialer{Timeout: dialTimeout}).DialContext,
	}
	for _, opt := range opts {
		opt(n)
	}
	n.http = conns.NewClient(conns.Check(&http.Transport{
		DialContext:         n.dial,
		MaxIdleConnsPerHost: maxIdleConnsPerHost,
		IdleConnTimeout:     idleTimeout,

		MaxResponseHeaderBytes: maxHeaderBytes,
	}))
	n.peers = n.newHTTP2Client(peerPingInterval)
	n.control = n.newHTTP2Client(controlPingInterval)
	return n
}

func (n *Network) newHTTP2Client(ping time.Duration) *http.Client {
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	return conns.NewClient(&http.Transport{
		DialContext: n.dialPeer,
		Protocols:   protocols,
		HTTP2:       &http.HTTP2Config{SendPingTimeout: ping, PingTimeout: pingTimeout},

		MaxResponseHeaderBytes: maxHeaderBytes,
	})
}

// WithListen sets the function that opens listeners. The default is TCP.
func WithListen(listen func(address string) (net.Listener, error)) Option {
	return func(n *Network) { n.listen = listen }
}

// WithDial sets the function that opens connections. The default is TCP, with a
// timeout of one second.
func WithDial(dial func(ctx context.Context, network, address string) (net.Conn, error)) Option {
	return func(n *Network) { n.dial = dial }
}

// WithPeerTLS enables TLS between the system's own processes, with client
// certificates if cfg requires them. The default, also for nil, is plain text.
func WithPeerTLS(cfg *tls.Config) Option {
	return func(n *Network) { n.tls = cfg }
}

// ListenPeers listens for the system's own processes.
func (n *Network) ListenPeers(address string) (net.Listener, error) {
	l, err := n.listen(address)
	if err != nil || n.tls == nil {
		return l, err
	}
	return tlsListener{tls.NewListener(l, n.tls)}, nil
}

// Accept implements net.Listener. The handshake runs on the first read, so that a
// slow client does not block others.
func (s tlsListener) Accept() (net.Conn, error) {
	c, err := s.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return plainConn{c}, nil
}

func (n *Network) dialPeer(ctx context.Context, network, address string) (net.Conn, error) {
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
	return plainConn{secure}, nil
}

// Listen listens on an address.
func (n *Network) Listen(address string) (net.Listener, error) {
	return n.listen(address)
}

// Dial opens a connection.
func (n *Network) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	return n.dial(ctx, network, address)
}

// Client returns the HTTP client for platform services and endpoints.
func (n *Network) Client() *http.Client {
	return n.http
}

// PeerClient returns the HTTP/2 client for the system's own processes.
func (n *Network) PeerClient() *http.Client {
	return n.peers
}

// ControlClient returns the HTTP/2 client for heartbeats between the system's own
// processes.
func (n *Network) ControlClient() *http.Client {
	return n.control
}

// Close closes idle connections.
func (n *Network) Close() {
	n.http.CloseIdleConnections()
	n.peers.CloseIdleConnections()
	n.control.CloseIdleConnections()
}

func listenTCP(address string) (net.Listener, error) {
	var cfg net.ListenConfig
	return cfg.Listen(context.Background(), "tcp", address)
}
