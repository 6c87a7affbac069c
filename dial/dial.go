// Package dial keeps the clients with which the system's processes call each
// other: one HTTP/2 connection an address, shared by all requests to it.
package dial

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/lavendermux/lavendermux/wire/wireconnect"
)

const (
	// defaultDialTimeout bounds how long a connection may take to open. Data
	// centres are 1.5 ms apart; a second is the mark of an instance that is gone,
	// and a request still has time for another one.
	defaultDialTimeout = time.Second
	// pingAfter is how long a connection may be silent before it is probed, and
	// pingTimeout how long the probe may take. Without them a request to a
	// frozen instance would hang until its own deadline.
	pingAfter   = 5 * time.Second
	pingTimeout = 5 * time.Second
	// maxMessage bounds one message, in bytes: a plain service's answer may be
	// 8 MB, and a batch of samples some more.
	maxMessage = 32 << 20
)

type (
	// Dialer makes clients of other processes. See New.
	Dialer struct {
		http   *http.Client
		scheme string

		mu    sync.Mutex
		doors map[string]wireconnect.DoorServiceClient
		peers map[string]wireconnect.PeerServiceClient
	}

	// Option changes a Dialer as New makes it.
	Option func(*Dialer)
)

// New returns a dialer that speaks HTTP/2 without TLS.
//
//	d := dial.New()
//	stream, err := d.Door("127.0.0.1:7400").Run(ctx, req)
func New(opts ...Option) *Dialer {
	d := &Dialer{
		http:   &http.Client{Transport: transport((&net.Dialer{Timeout: defaultDialTimeout}).DialContext)},
		scheme: "http://",
		doors:  map[string]wireconnect.DoorServiceClient{},
		peers:  map[string]wireconnect.PeerServiceClient{},
	}
	for _, opt := range opts {
		opt(d)
	}
	return d
}

// WithDial sets how connections are opened. The default is TCP, with a timeout
// of one second.
func WithDial(open func(ctx context.Context, network, address string) (net.Conn, error)) Option {
	return func(d *Dialer) { d.http = &http.Client{Transport: transport(open)} }
}

// WithHTTP sets the whole HTTP client and says whether it speaks TLS. The
// default is HTTP/2 without TLS.
func WithHTTP(h *http.Client, tls bool) Option {
	return func(d *Dialer) {
		d.http = h
		if tls {
			d.scheme = "https://"
		}
	}
}

// Door returns the client of the process beside an endpoint, at an address such
// as "127.0.0.1:7400".
func (d *Dialer) Door(address string) wireconnect.DoorServiceClient {
	d.mu.Lock()
	defer d.mu.Unlock()
	c := d.doors[address]
	if c == nil {
		c = wireconnect.NewDoorServiceClient(d.http, d.scheme+address, connect.WithReadMaxBytes(maxMessage))
		d.doors[address] = c
	}
	return c
}

// Peer returns the client of an entry instance.
func (d *Dialer) Peer(address string) wireconnect.PeerServiceClient {
	d.mu.Lock()
	defer d.mu.Unlock()
	c := d.peers[address]
	if c == nil {
		c = wireconnect.NewPeerServiceClient(d.http, d.scheme+address, connect.WithReadMaxBytes(maxMessage))
		d.peers[address] = c
	}
	return c
}

// Close drops the idle connections.
func (d *Dialer) Close() {
	d.http.CloseIdleConnections()
}

func transport(open func(ctx context.Context, network, address string) (net.Conn, error)) *http.Transport {
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	return &http.Transport{
		Protocols:   protocols,
		DialContext: open,
		HTTP2:       &http.HTTP2Config{SendPingTimeout: pingAfter, PingTimeout: pingTimeout},
	}
}
