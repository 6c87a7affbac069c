// Package memnet is an in-memory network for tests. Instances are known by their IP
// addresses; a test can partition two of them, freeze or kill one, and set the delay
// between two. All waiting is on channels and timers, so that time is virtual in
// testing/synctest.
package memnet

import (
	"context"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	network = "tcp"
	// dialTimeout is when an unanswered dial fails, as on Linux.
	dialTimeout = 127 * time.Second
	// backlog is the accept queue length of a listener.
	backlog = 1024
	// firstPort is the first ephemeral port.
	firstPort = 40_000
	// headerTimeout bounds how long a server waits for a request's header.
	headerTimeout = time.Minute
)

type (
	// Network connects instances. Safe for concurrent use. See New.
	Network struct {
		delay time.Duration

		mu        sync.Mutex
		listeners map[string]*listener
		// generations counts how often each instance was killed. Dialers of an earlier
		// generation of an instance fail.
		generations map[string]int
		// partitions are directed: from a to b.
		partitions map[hostPair]bool
		frozen     map[string]bool
		delays     map[hostPair]time.Duration
		// conns holds the ends of all open connections, each with its instance.
		conns    map[*conn]bool
		lastPort int
		// closed is set permanently by Close.
		closed bool
		// changed is closed and replaced whenever the fields above change, to wake
		// waiters.
		changed chan struct{}
	}

	// Option configures a Network in New.
	Option func(*Network)

	// hostPair is two instances; sorted where the direction doesn't matter.
	hostPair struct {
		a, b string
	}
)

// New returns a network without instances. In a test with testing/synctest it must be
// created inside the bubble: waiting on channels from outside of it stops virtual
// time.
//
//	n := memnet.New(memnet.WithDelay(time.Millisecond))
//	srv, err := n.Serve("10.0.0.1:80", handler)
func New(opts ...Option) *Network {
	n := &Network{
		listeners:   make(map[string]*listener),
		generations: make(map[string]int),
		partitions:  make(map[hostPair]bool),
		frozen:      make(map[string]bool),
		delays:      make(map[hostPair]time.Duration),
		conns:       make(map[*conn]bool),
		lastPort:    firstPort,
		changed:     make(chan struct{}),
	}
	for _, opt := range opts {
		opt(n)
	}
	return n
}

// WithDelay sets the one-way delay between any two instances. The default is 0.
func WithDelay(d time.Duration) Option {
	return func(n *Network) { n.delay = d }
}

// Listen returns a listener at addr, an IP address and a port.
func (n *Network) Listen(addr string) (net.Listener, error) {
	host, _, err := net.SplitHostPort(addr)
	if err != nil {
		return nil, errors.Wrapf(err, "listening at %s", addr)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closed {
		return nil, &net.OpError{Op: "listen", Net: network, Addr: address(addr), Err: syscall.ENETDOWN}
	}
	if n.listeners[addr] != nil {
		return nil, &net.OpError{Op: "listen", Net: network, Addr: address(addr), Err: syscall.EADDRINUSE}
	}
	l := &listener{
		network:  n,
		addr:     address(addr),
		host:     host,
		incoming: make(chan *conn, backlog),
		closed:   make(chan struct{}),
	}
	n.listeners[addr] = l
	return l, nil
}

// Dialer returns a function that dials from an instance, for
// http.Transport.DialContext. It fails permanently once the instance is killed: a
// process that starts there later needs its own.
func (n *Network) Dialer(from string) func(ctx context.Context, _, addr string) (net.Conn, error) {
	n.mu.Lock()
	generation := n.generations[from]
	n.mu.Unlock()
	return func(ctx context.Context, _, addr string) (net.Conn, error) {
		c, err := n.dial(ctx, from, generation, addr)
		if err != nil {
			return nil, &net.OpError{Op: "dial", Net: network, Addr: address(addr), Err: err}
		}
		return c, nil
	}
}

// Transport returns a transport that dials from an instance.
func (n *Network) Transport(from string) *http.Transport {
	return &http.Transport{DialContext: n.Dialer(from)}
}

// Client returns an HTTP client that dials from an instance. It has no timeout.
func (n *Network) Client(from string) *http.Client {
	return &http.Client{Transport: n.Transport(from)}
}

// Serve serves h at addr over HTTP/1 and unencrypted HTTP/2 until the server is closed
// or its instance killed.
func (n *Network) Serve(addr string, h http.Handler) (*http.Server, error) {
	l, err := n.Listen(addr)
	if err != nil {
		return nil, err
	}
	srv := &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout, Protocols: new(http.Protocols)}
	srv.Protocols.SetHTTP1(true)
	srv.Protocols.SetUnencryptedHTTP2(true)
	go func() { _ = srv.Serve(l) }()
	return srv, nil
}

// Partition stops all bytes between two instances. Connections stay open, and bytes written
// to them arrive after Heal. Dials wait.
func (n *Network) Partition(a, b string) {
	n.change(func() {
		n.partitions[hostPair{a, b}] = true
		n.partitions[hostPair{b, a}] = true
	})
}

// PartitionOneWay is Partition for the bytes from one instance to another only. Dials wait
// in both directions, since a handshake needs both.
func (n *Network) PartitionOneWay(from, to string) {
	n.change(func() { n.partitions[hostPair{from, to}] = true })
}

// Heal ends a partition of either kind.
func (n *Network) Heal(a, b string) {
	n.change(func() {
		delete(n.partitions, hostPair{a, b})
		delete(n.partitions, hostPair{b, a})
	})
}

// Reset breaks all connections between two instances, as a middlebox may: both ends
// get an error, and new connections can be made.
func (n *Network) Reset(a, b string) {
	n.mu.Lock()
	var broken []*conn
	for c := range n.conns {
		if sortedPair(c.host, c.peer) == sortedPair(a, b) {
			broken = append(broken, c)
		}
	}
	n.mu.Unlock()
	for _, c := range broken {
		c.abort()
	}
}

// Mute silences all connections between two instances for good: neither end hears from the other any
// more, not even that it has closed. New connections work.
func (n *Network) Mute(a, b string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for c := range n.conns {
		if sortedPair(c.host, c.peer) == sortedPair(a, b) {
			c.in.change(func(s *stream) { s.muted = true })
		}
	}
}

// Freeze stops all bytes to and from an instance, as when its process gets SIGSTOP:
// connections stay open, and dials to it succeed. The instance's own goroutines run on
// but receive nothing.
func (n *Network) Freeze(ip string) {
	n.change(func() { n.frozen[ip] = true })
}

// Thaw ends a freeze. Bytes written meanwhile arrive.
func (n *Network) Thaw(ip string) {
	n.change(func() { delete(n.frozen, ip) })
}

// SetDelay sets the one-way delay between two instances from now on.
func (n *Network) SetDelay(a, b string, d time.Duration) {
	n.change(func() { n.delays[sortedPair(a, b)] = d })
}

// Kill ends an instance: its listeners and connections close, the other ends are
// reset, and its dialers fail from now on. A new process may start at its address.
func (n *Network) Kill(ip string) {
	n.mu.Lock()
	n.generations[ip]++
	ended := n.closersOf(func(host string) bool { return host == ip })
	n.wake()
	n.mu.Unlock()
	for _, end := range ended {
		end()
	}
}

// Close ends all instances and fails all dials, pending and later, so that a test
// leaks no goroutine.
func (n *Network) Close() {
	n.mu.Lock()
	n.closed = true
	ended := n.closersOf(func(string) bool { return true })
	n.wake()
	n.mu.Unlock()
	for _, end := range ended {
		end()
	}
}

// isDead reports whether an instance was killed since the given generation. The caller
// holds the lock.
func (n *Network) isDead(ip string, generation int) bool {
	return n.closed || n.generations[ip] != generation
}

// closersOf returns functions that close the listeners and connections of the matching
// instances. The caller holds the lock, and calls them without it.
func (n *Network) closersOf(of func(host string) bool) []func() {
	var ended []func()
	for _, l := range n.listeners {
		if of(l.host) {
			ended = append(ended, func() { _ = l.Close() })
		}
	}
	for c := range n.conns {
		if of(c.host) {
			ended = append(ended, c.reset)
		}
	}
	return ended
}

func (n *Network) change(do func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	do()
	n.wake()
}

func (n *Network) wake() {
	close(n.changed)
	n.changed = make(chan struct{})
}

// link returns whether bytes pass from one instance to another, their delay, and a
// channel that is closed when either changes.
func (n *Network) link(from, to string) (open bool, delay time.Duration, changed <-chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	open = !n.partitions[hostPair{from, to}] && !n.frozen[from] && !n.frozen[to]
	return open, n.delayOf(from, to), n.changed
}

func (n *Network) isFrozen(ip string) (frozen bool, changed <-chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.frozen[ip], n.changed
}

func (n *Network) delayOf(a, b string) time.Duration {
	if d, found := n.delays[sortedPair(a, b)]; found {
		return d
	}
	if a == b {
		return 0
	}
	return n.delay
}

func (n *Network) dial(ctx context.Context, from string, generation int, addr string) (net.Conn, error) {
	to, _, err := net.SplitHostPort(addr)
	if err != nil {
		return nil, err
	}
	end := time.NewTimer(dialTimeout)
	defer end.Stop()
	for {
		n.mu.Lock()
		dead := n.isDead(from, generation)
		waits := n.partitions[hostPair{from, to}] || n.partitions[hostPair{to, from}] || n.frozen[from]
		delay, changed := n.delayOf(from, to), n.changed
		n.mu.Unlock()
		if dead {
			return nil, syscall.ENETDOWN
		}
		var answered <-chan time.Time
		if !waits {
			answered = time.After(2 * delay)
		}
		select {
		case <-answered:
			return n.connect(from, generation, addr)
		case <-changed:
		case <-end.C:
			return nil, syscall.ETIMEDOUT
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// connect creates a connection and passes its far end to the listener.
func (n *Network) connect(from string, generation int, addr string) (net.Conn, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.isDead(from, generation) {
		return nil, syscall.ENETDOWN
	}
	l := n.listeners[addr]
	if l == nil {
		return nil, syscall.ECONNREFUSED
	}
	n.lastPort++
	near, far := newConns(n, from, n.lastPort, l)
	select {
	case l.incoming <- far:
	default:
		return nil, syscall.ECONNREFUSED
	}
	n.conns[near] = true
	n.conns[far] = true
	return near, nil
}

func (n *Network) removeConn(c *conn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.conns, c)
}

func sortedPair(a, b string) hostPair {
	return hostPair{min(a, b), max(a, b)}
}
