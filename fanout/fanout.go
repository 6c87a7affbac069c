// Package fanout lets a few instances read the metadata store for all.
package fanout

import (
	"context"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"

	"github.com/lavendermux/lavendermux/follow"
	"github.com/lavendermux/lavendermux/kvst"
	"github.com/lavendermux/lavendermux/mesh"
	"github.com/lavendermux/lavendermux/tiers"
)

const (
	// path is where readers are asked.
	path = "/lavendermux.Follow/Since"

	// readerWait is how long a reader's watch waits while others depend on it,
	// and aloneWait while nobody does but entries that are barred from the store.
	// A watch that was swallowed shows when the wait and the slack are over; the
	// reader's answers are then no longer used, and its followers have a second
	// left to learn from another one what is in force.
	readerWait = 600 * time.Millisecond
	aloneWait  = 1800 * time.Millisecond
	// aloneMost is the number of entries up to which all of them read the store.
	aloneMost  = 3
	staleSlack = 700 * time.Millisecond
	// waitMost is how long a reader holds a question without news, and askTimeout
	// the bound beyond that.
	waitMost   = 500 * time.Millisecond
	askTimeout = 400 * time.Millisecond
)

var errStale = errors.New("the reader has lost the store")

type (
	// Fanout chooses where this instance reads. See New.
	Fanout struct {
		mesh  *mesh.Mesh
		store follow.Source

		mu        sync.Mutex
		followers map[string]*follow.Follower
		// skip counts answers that were stale or missing, and so rotates among
		// the sources.
		skip int
	}

	// reader reads from a peer.
	reader struct {
		f    *Fanout
		node mesh.Node

		mu  sync.Mutex
		age time.Duration
	}

	request struct {
		Prefix string `json:"prefix"`
		// After is the revision to go on from; List asks for all instead.
		After  int64 `json:"after"`
		List   bool  `json:"list"`
		WaitMs int64 `json:"waitMs"`
	}

	response struct {
		Items    []kvst.Item `json:"items,omitempty"`
		Revision int64       `json:"revision"`
		Gap      bool        `json:"gap,omitempty"`
		// Known is false while the reader has no copy itself.
		Known bool `json:"known"`
		// AgeMs is how long ago the store vouched for this.
		AgeMs int64 `json:"ageMs"`
		// Stale says that this is longer than the reader's watches take: it has
		// lost the store.
		Stale bool `json:"stale,omitempty"`
	}
)

// New returns the choice of instance for the followers of one instance.
//
//	f := fanout.New(m, store)
//	fo := follow.New(store, "op/", logger, follow.WithChoice(f.Choose))
func New(m *mesh.Mesh, store follow.Source) *Fanout {
	return &Fanout{mesh: m, store: store, followers: make(map[string]*follow.Follower)}
}

// Serve has the copy of a follower handed on to peers that ask for its prefix.
func (f *Fanout) Serve(prefix string, fo *follow.Follower) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.followers[prefix] = fo
}

// Handler serves peers.
func (f *Fanout) Handler() (string, http.Handler) { return path, mesh.Handle(path, f.serve) }

// Choose says where to read next: the store, if this instance is a reader or
// there is none; otherwise one of its sources.
func (f *Fanout) Choose() follow.Choice {
	sources := f.sources()
	if len(sources) == 0 {
		return follow.Choice{Source: f.store, Wait: f.wait()}
	}
	f.mu.Lock()
	n := sources[f.skip%len(sources)]
	f.mu.Unlock()
	r := &reader{f: f, node: n}
	return follow.Choice{Source: r, Wait: waitMost, Age: r.Age}
}

// wait is how long a watch of this instance waits.
func (f *Fanout) wait() time.Duration {
	if f.mesh.Size() <= aloneMost {
		return aloneWait
	}
	return readerWait
}

// staleAfter is the age at which an answer of this instance must not be used. A relay's
// copy is older than its reader's by the time that its own question may be held.
func (f *Fanout) staleAfter() time.Duration {
	if len(f.sources()) == 0 {
		return f.wait() + staleSlack
	}
	return f.wait() + staleSlack + waitMost
}

// sources are chosen among the entries that reach the store; where none does, among
// all, since somebody has to notice when it is back.
func (f *Fanout) sources() []mesh.Node {
	nodes := f.mesh.Entries(true)
	if len(nodes) == 0 {
		nodes = f.mesh.Entries(false)
	}
	return tiers.Sources(f.mesh.Self().Name, nodes)
}

func (f *Fanout) serve(ctx context.Context, in *request) (*response, error) {
	f.mu.Lock()
	fo := f.followers[in.Prefix]
	f.mu.Unlock()
	if fo == nil {
		return nil, connect.NewError(connect.CodeNotFound, errors.Newf("prefix %q is not followed", in.Prefix))
	}
	out := &response{}
	if in.List {
		out.Items, out.Revision = fo.Items()
	} else {
		waitCtx, cancel := context.WithTimeout(ctx, min(waitMost, time.Duration(in.WaitMs)*time.Millisecond))
		defer cancel()
		changes, err := fo.Since(waitCtx, in.After)
		out.Items, out.Revision, out.Gap = changes.Items, changes.Revision, err != nil
	}
	out.Known = fo.Revision() > 0
	age := fo.Age()
	out.AgeMs = age.Milliseconds()
	out.Stale = age > f.staleAfter()
	return out, nil
}

// Age is how old the reader's last answer was.
func (r *reader) Age() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.age
}

// List implements follow.Source.
func (r *reader) List(ctx context.Context, prefix string) ([]kvst.Item, int64, error) {
	res, err := r.ask(ctx, request{Prefix: prefix, List: true})
	if err != nil {
		return nil, 0, err
	}
	return res.Items, res.Revision, nil
}

// Watch implements follow.Source.
func (r *reader) Watch(ctx context.Context, prefix string, after int64, wait time.Duration) (kvst.Changes, error) {
	res, err := r.ask(ctx, request{Prefix: prefix, After: after, WaitMs: wait.Milliseconds()})
	if err != nil {
		return kvst.Changes{}, err
	}
	if res.Gap {
		return kvst.Changes{}, &kvst.GapError{After: after}
	}
	return kvst.Changes{Items: res.Items, Revision: res.Revision}, nil
}

func (r *reader) ask(ctx context.Context, in request) (*response, error) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout+time.Duration(in.WaitMs)*time.Millisecond)
	defer cancel()
	res, err := mesh.Call[request, response](ctx, r.f.mesh.Client(), r.node.Addr, path, &in)
	if err == nil && (!res.Known || res.Stale) {
		err = errStale
	}
	if err != nil {
		r.f.mu.Lock()
		r.f.skip++
		r.f.mu.Unlock()
		return nil, &kvst.UnknownError{Cause: err}
	}
	r.mu.Lock()
	r.age = time.Duration(res.AgeMs) * time.Millisecond
	r.mu.Unlock()
	return res, nil
}
