package fanout

import (
	"context"
	"net/http"
	"time"

	"github.com/lavendermux/lavendermux/kvst"
	"github.com/lavendermux/lavendermux/mesh"
	"github.com/lavendermux/lavendermux/sleep"
	"github.com/lavendermux/lavendermux/tiers"
)

const (
	// listPath is the HTTP path at which instances list for those that read from them.
	listPath = "/lavendermux.Follow/List"
	// listTTL is how long a list is used for further requests. Instances that start together
	// ask within some hundred milliseconds.
	listTTL = 250 * time.Millisecond
	// upstreamListTimeout bounds a list through an upstream; after that the store is asked.
	upstreamListTimeout = 800 * time.Millisecond
	// maxListHops is the number of instances through which a list may go. Instances that know
	// different peers may take each other for the one closer to the store.
	maxListHops = 3
	// sourcePollInterval is how often WaitSources looks for a source. It waits for
	// maxRegisterWait until this instance is announced, which takes two calls of the store,
	// and for maxSourceWait until it hears from one of its sources: when a whole fleet starts,
	// machines of a seventh of a processor are that busy.
	sourcePollInterval = 5 * time.Millisecond
	maxRegisterWait    = 300 * time.Millisecond
	maxSourceWait      = time.Second
)

type (
	// list is a list of a prefix. The fields after done are set before it is closed.
	list struct {
		done     chan struct{}
		items    []kvst.Item
		revision int64
		err      error
		at       time.Time
	}

	listRequest struct {
		Prefix string `json:"prefix"`
		Hops   int    `json:"hops"`
	}

	listResponse struct {
		Items    []kvst.Item `json:"items,omitempty"`
		Revision int64       `json:"revision"`
	}
)

// WaitSources waits until this instance hears from one of its sources, or it is clear that it has
// none. Without the wait each instance that starts would read all from the store.
func (d *Distributor) WaitSources(ctx context.Context) {
	start := time.Now()
	for d.mesh.IsStarting() && !d.mesh.IsRegistered() {
		if time.Since(start) >= maxRegisterWait || !sleep.For(ctx, sourcePollInterval) {
			return
		}
	}
	expected := d.announcedSources() // once: it costs more than all else in the wait
	for d.mesh.IsStarting() && len(expected) > 0 && len(d.live(expected)) == 0 {
		if time.Since(start) >= maxSourceWait || !sleep.For(ctx, sourcePollInterval) {
			return
		}
	}
}

// announcedSources returns the sources of this instance among all announced entries, whether they
// were heard from or not.
func (d *Distributor) announcedSources() []mesh.Node {
	return tiers.Upstreams(d.mesh.Self(), d.mesh.AnnouncedEntries())
}

// live returns those of nodes that were heard from.
func (d *Distributor) live(nodes []mesh.Node) []mesh.Node {
	var out []mesh.Node
	for _, n := range nodes {
		if d.mesh.IsAlive(n.Name) {
			out = append(out, n)
		}
	}
	return out
}

// List returns the items below a prefix that isn't replicated, up to listTTL old. They are read
// through the same instances as replicas are, each of which joins the lists of its followers:
// if all instances of a fleet list at once, only the readers ask the store.
func (d *Distributor) List(ctx context.Context, prefix string) ([]kvst.Item, int64, error) {
	d.WaitSources(ctx)
	return d.listOnce(ctx, prefix, maxListHops)
}

// ListHandler returns the path and the handler that serve the lists of peers.
func (d *Distributor) ListHandler() (string, http.Handler) {
	return listPath, mesh.Handle(listPath, func(ctx context.Context, in *listRequest) (*listResponse, error) {
		items, revision, err := d.listOnce(ctx, in.Prefix, in.Hops)
		if err != nil {
			return nil, err
		}
		return &listResponse{Items: items, Revision: revision}, nil
	})
}

// listOnce joins a list of the prefix that is in flight or recent, or starts one.
func (d *Distributor) listOnce(ctx context.Context, prefix string, hops int) ([]kvst.Item, int64, error) {
	d.mu.Lock()
	l := d.lists[prefix]
	if l == nil || l.isOutdated() {
		l = &list{done: make(chan struct{})}
		d.lists[prefix] = l
		go d.fill(context.WithoutCancel(ctx), l, prefix, hops)
	}
	d.mu.Unlock()
	select {
	case <-l.done:
		return l.items, l.revision, l.err
	case <-ctx.Done():
		return nil, 0, ctx.Err()
	}
}

// isOutdated reports whether the list has ended and is of no use to further requests.
func (l *list) isOutdated() bool {
	select {
	case <-l.done:
		return l.err != nil || time.Since(l.at) > listTTL
	default:
		return false
	}
}

// fill reads the prefix into l, which is dropped once it is of no use any more.
func (d *Distributor) fill(ctx context.Context, l *list, prefix string, hops int) {
	l.at = time.Now()
	l.items, l.revision, l.err = d.readList(ctx, prefix, hops)
	close(l.done)
	time.AfterFunc(listTTL, func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		if d.lists[prefix] == l {
			delete(d.lists, prefix)
		}
	})
}

// readList reads the prefix through an upstream, or from the store if there is none or it fails.
func (d *Distributor) readList(ctx context.Context, prefix string, hops int) ([]kvst.Item, int64, error) {
	if sources := d.sources(); len(sources) > 0 && hops > 0 {
		callCtx, cancel := context.WithTimeout(ctx, upstreamListTimeout)
		defer cancel()
		in := &listRequest{Prefix: prefix, Hops: hops - 1}
		res, err := mesh.Call[listRequest, listResponse](callCtx, d.mesh.Client(), sources[0].Addr, listPath, in)
		if err == nil {
			return res.Items, res.Revision, nil
		}
	}
	return d.store.List(ctx, prefix)
}
