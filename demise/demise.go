// Package demise tells whether an endpoint that gave no whole answer has ended, and which
// of its boots that was.
package demise

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
	// lookTimeout bounds the look at an endpoint; it is on the same machine or near.
	lookTimeout = 300 * time.Millisecond
	// together is how far apart the requests notice that one boot ended. The next one takes
	// longer to start.
	together = 500 * time.Millisecond
)

type (
	// Demise watches one endpoint; safe for concurrent use. See New.
	Demise struct {
		name string
		addr string
		dial dialer

		mu sync.Mutex
		// ends counts the boots that ended, the last of them noticed at noticed.
		ends    int
		noticed time.Time
	}

	dialer func(ctx context.Context, network, addr string) (net.Conn, error)
)

// New returns the watch of the endpoint whose requests go to base, a URL. name is that of
// this watch and no other one's, also after a restart.
//
//	d, err := demise.New("side-3/1700000000", "http://127.0.0.1:8080", new(net.Dialer).DialContext)
func New(name, base string, dial func(ctx context.Context, network, addr string) (net.Conn, error)) (*Demise, error) {
	u, err := url.Parse(base)
	if err != nil {
		return nil, errors.Wrap(err, "address of the endpoint")
	}
	addr := u.Host
	if u.Port() == "" {
		addr = net.JoinHostPort(u.Hostname(), defaultPort(u.Scheme))
	}
	return &Demise{name: name, addr: addr, dial: dial}, nil
}

func defaultPort(scheme string) string {
	if scheme == "https" {
		return "443"
	}
	return "80"
}

// Ended returns the name of the boot that has just ended, or "" if the endpoint still
// listens or is silent. A nil watch knows nothing.
func (d *Demise) Ended(ctx context.Context) string {
	if d == nil {
		return ""
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), lookTimeout)
	defer cancel()
	conn, err := d.dial(ctx, "tcp", d.addr)
	if err == nil {
		_ = conn.Close() // nothing was sent on it
		return ""
	}
	if !errors.Is(err, syscall.ECONNREFUSED) {
		return ""
	}
	return d.boot(time.Now())
}

func (d *Demise) boot(now time.Time) string {
	d.mu.Lock()
	defer d.mu.Unlock()
	if now.Sub(d.noticed) > together {
		d.ends++
	}
	d.noticed = now
	return fmt.Sprintf("%s/%d", d.name, d.ends)
}
