package memnet

import (
	"net"
	"sync"
)

type (
	listener struct {
		network  *Network
		addr     address
		host     string
		incoming chan *conn
		once     sync.Once
		closed   chan struct{}
	}

	// address is an IP address and a port.
	address string
)

// Network implements net.Addr.
func (a address) Network() string { return network }

// String implements net.Addr.
func (a address) String() string { return string(a) }

// Accept implements net.Listener. A frozen instance accepts nothing: a server's
// timeouts on a new connection would otherwise pass while it is frozen.
func (l *listener) Accept() (net.Conn, error) {
	for {
		incoming := l.incoming
		frozen, changed := l.network.isFrozen(l.host)
		if frozen {
			incoming = nil
		}
		select {
		case c := <-incoming:
			return c, nil
		case <-changed:
		case <-l.closed:
			return nil, &net.OpError{Op: "accept", Net: network, Addr: l.addr, Err: net.ErrClosed}
		}
	}
}

// Close implements net.Listener. Connections that nobody accepted are reset.
func (l *listener) Close() error {
	l.once.Do(func() {
		l.network.mu.Lock()
		delete(l.network.listeners, l.addr.String())
		l.network.mu.Unlock()
		close(l.closed)
		for {
			select {
			case c := <-l.incoming:
				c.reset()
			default:
				return
			}
		}
	})
	return nil
}

// Addr implements net.Listener.
func (l *listener) Addr() net.Addr { return l.addr }
