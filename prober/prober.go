// Package prober detects whether an endpoint that gave no complete answer has crashed, and
// which of its incarnations that was.
package prober

import (
	"context"
	"fmt"
	"net"
	"net/url"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// probeTimeout bounds a probe of the endpoint, which is on the same machine or near.
	probeTimeout = 300 * time.Millisecond
	// detectionWindow is the longest time between the requests that detect the same crash.
	// The next incarnation takes longer to start.
	detectionWindow = 500 * time.Millisecond
)

type (
	// Checker probes one endpoint; safe for concurrent use. See New.
	Checker struct {
		name string
		addr string
		dial dialer

		mu sync.Mutex
		// crashes counts the incarnations that crashed; the last crash was detected at
		// lastDetected.
		crashes      int
		lastDetected time.Time
	}

	dialer func(ctx context.Context, network, addr string) (net.Conn, error)
)

// New returns a prober of the endpoint at base, a URL. name must be unique, also across
// restarts of the process; it prefixes the names of incarnations.
//
//	d, err := prober.New("side-3/1700000000", "http://127.0.0.1:8080", new(net.Dialer).DialContext)
func New(name, base string, dial func(ctx context.Context, network, addr string) (net.Conn, error)) (*Checker, error) {
	u, err := url.Parse(base)
	if err != nil {
		return nil, errors.Wrap(err, "parsing the address of the endpoint")
	}
	addr := u.Host
	if u.Port() == "" {
		addr = net.JoinHostPort(u.Hostname(), defaultPort(u.Scheme))
	}
	return &Checker{name: name, addr: addr, dial: dial}, nil
}

func defaultPort(scheme string) string {
	if scheme == "https" {
		return "443"
	}
	return "80"
}

// CrashedIncarnation returns the name of the incarnation that has just crashed, or "" if the endpoint
// still listens or doesn't respond at all: only a refused connection counts. A nil receiver
// returns "".
func (d *Checker) CrashedIncarnation(ctx context.Context) string {
	if d == nil {
		return ""
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), probeTimeout)
	defer cancel()
	conn, err := d.dial(ctx, "tcp", d.addr)
	if err == nil {
		_ = conn.Close() // nothing was sent on it
		return ""
	}
	if !errors.Is(err, syscall.ECONNREFUSED) {
		return ""
	}
	return d.incarnation(time.Now())
}

func (d *Checker) incarnation(now time.Time) string {
	d.mu.Lock()
	defer d.mu.Unlock()
	if now.Sub(d.lastDetected) > detectionWindow {
		d.crashes++
	}
	d.lastDetected = now
	return fmt.Sprintf("%s/%d", d.name, d.crashes)
}
