// Package dial caches the RPC clients with which the system's processes call each
// other: one HTTP/2 connection per address, shared by all requests to it.
package dial

import (
	"net/http"
	"sync"

	"connectrpc.com/connect"
	"github.com/lavendermux/lavendermux/wire/wireconnect"
)

// maxMessageBytes bounds one message: a response of a plain service may have 8 MB,
// and a batch of samples somewhat more.
const maxMessageBytes = 32 << 20

type (
	// Dialer creates and caches clients of other processes. See New.
	Dialer struct {
		http   *http.Client
		scheme string

		mu       sync.Mutex
		sidecars map[string]wireconnect.DoorServiceClient
		peers    map[string]wireconnect.PeerServiceClient
	}

	// Option configures a Dialer in New.
	Option func(*Dialer)
)

// New returns a dialer that uses an HTTP/2 client, such as netset.Network's.
//
//	d := dial.New(netset.New().Peers())
//	stream, err := d.Door("127.0.0.1:7400").Run(ctx, req)
func New(h *http.Client, opts ...Option) *Dialer {
	d := &Dialer{
		http:     h,
		scheme:   "http://",
		sidecars: map[string]wireconnect.DoorServiceClient{},
		peers:    map[string]wireconnect.PeerServiceClient{},
	}
	for _, opt := range opts {
		opt(d)
	}
	return d
}

// Door returns the client of an endpoint's sidecar at address, such as
// "127.0.0.1:7400".
func (d *Dialer) Door(address string) wireconnect.DoorServiceClient {
	d.mu.Lock()
	defer d.mu.Unlock()
	c := d.sidecars[address]
	if c == nil {
		c = wireconnect.NewDoorServiceClient(d.http, d.scheme+address, connect.WithReadMaxBytes(maxMessageBytes))
		d.sidecars[address] = c
	}
	return c
}

// Peer returns the client of the entry instance at address.
func (d *Dialer) Peer(address string) wireconnect.PeerServiceClient {
	d.mu.Lock()
	defer d.mu.Unlock()
	c := d.peers[address]
	if c == nil {
		c = wireconnect.NewPeerServiceClient(d.http, d.scheme+address, connect.WithReadMaxBytes(maxMessageBytes))
		d.peers[address] = c
	}
	return c
}

// Close closes the idle connections.
func (d *Dialer) Close() {
	d.http.CloseIdleConnections()
}
