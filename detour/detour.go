// Package detour reaches the metadata store through a peer while the way from
// this instance is barred.
//
// The store may turn single instances away, or be cut off from them, while it
// serves all others. Without a way around, an instance would refuse submissions
// and withhold finished results for as long as that lasts, with healthy peers a
// millisecond away.
package detour

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"

	"github.com/lavendermux/lavendermux/kvst"
	"github.com/lavendermux/lavendermux/mesh"
)

const (
	// path is where peers ask for calls to the store.
	path = "/lavendermux.Store/Do"

	// probeKey is read to find out whether the way is open; it needn't exist.
	probeKey = "lavendermux/probe"

	opGet    = "get"
	opList   = "list"
	opWatch  = "watch"
	opCommit = "commit"

	// tryAgain is how long the own way is left alone after it failed.
	tryAgain = 700 * time.Millisecond
	// askTimeout bounds a call by way of a peer, beyond the time that it waits.
	askTimeout = 1500 * time.Millisecond
)

// errReopened ends a call that was sent while the way was barred.
var errReopened = errors.New("the way to the store is open again")

type (
	// Store is the store by whichever way works; safe for concurrent use. See New.
	Store struct {
		direct kvst.Store
		client *http.Client
		logger *log.Logger
		peers  func() []mesh.Node

		mu sync.Mutex
		// badUntil is set while the own way is barred.
		badUntil time.Time
		barred   bool
		// reopened is closed and replaced when the barred way opens again.
		reopened chan struct{}
		next     int
	}

	request struct {
		Op     string   `json:"op"`
		Key    string   `json:"key,omitempty"`
		After  int64    `json:"after,omitempty"`
		WaitMs int64    `json:"waitMs,omitempty"`
		Txn    kvst.Txn `json:"txn"`
	}

	response struct {
		Item     kvst.Item   `json:"item"`
		Items    []kvst.Item `json:"items,omitempty"`
		Revision int64       `json:"revision"`
		// Of these at most one is set.
		Refused  int    `json:"refused,omitempty"`
		Conflict bool   `json:"conflict,omitempty"`
		Gap      bool   `json:"gap,omitempty"`
		Unknown  string `json:"unknown,omitempty"`
	}
)

// New returns a store that goes by way of peers while direct fails.
//
//	s := detour.New(direct, client, logger, m.Reaching)
//	it, err := s.Get(ctx, key)
func New(direct kvst.Store, client *http.Client, logger *log.Logger, peers func() []mesh.Node) *Store {
	return &Store{direct: direct, client: client, logger: logger, peers: peers, reopened: make(chan struct{})}
}

// Handler serves peers by the own way.
func (s *Store) Handler() (string, http.Handler) {
	return path, mesh.Handle(path, s.serve)
}

// Reaches reports whether the own way works, as far as is known.
func (s *Store) Reaches() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.barred
}

// Get implements kvst.Store.
func (s *Store) Get(ctx context.Context, key string) (kvst.Item, error) {
	res, err := s.do(ctx, request{Op: opGet, Key: key})
	return res.Item, err
}

// List implements kvst.Store.
func (s *Store) List(ctx context.Context, prefix string) ([]kvst.Item, int64, error) {
	res, err := s.do(ctx, request{Op: opList, Key: prefix})
	return res.Items, res.Revision, err
}

// Watch implements kvst.Store.
func (s *Store) Watch(ctx context.Context, prefix string, after int64, wait time.Duration) (kvst.Changes, error) {
	res, err := s.do(ctx, request{Op: opWatch, Key: prefix, After: after, WaitMs: wait.Milliseconds()})
	return kvst.Changes{Items: res.Items, Revision: res.Revision}, err
}

// Commit implements kvst.Store.
func (s *Store) Commit(ctx context.Context, t kvst.Txn) (int64, error) {
	res, err := s.do(ctx, request{Op: opCommit, Txn: t})
	return res.Revision, err
}

func (s *Store) do(ctx context.Context, in request) (response, error) {
	if s.open() {
		res, err := s.ownUntilReopened(ctx, in)
		if !barring(err) {
			s.note(nil)
			return res, err
		}
		if ctx.Err() != nil {
			return res, err
		}
		s.note(err)
		var unknown *kvst.UnknownError
		if errors.As(err, &unknown) && in.Op == opCommit {
			// It may have taken effect. Who asked repeats it, and that goes by
			// way of a peer.
			return res, err
		}
	}
	return s.around(ctx, in)
}

// open reports whether to go the own way.
func (s *Store) open() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.barred || time.Now().After(s.badUntil)
}

// Run finds out when a barred way opens again; without it an instance that no
// longer makes calls of its own would go by way of its peers for ever.
func (s *Store) Run(ctx context.Context) {
	t := time.NewTicker(tryAgain)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		if s.Reaches() || len(s.peers()) == 0 {
			continue
		}
		if _, err := s.direct.Get(ctx, probeKey); !barring(err) {
			s.note(nil)
		}
	}
}

// note takes how a call by the own way ended.
func (s *Store) note(err error) {
	s.mu.Lock()
	was := s.barred
	s.barred = err != nil
	if err != nil {
		s.badUntil = time.Now().Add(tryAgain)
	}
	if err == nil && was {
		close(s.reopened)
		s.reopened = make(chan struct{})
	}
	s.mu.Unlock()
	switch {
	case err != nil && !was:
		s.logger.Warn("Way to the store barred.", "error", err)
	case err == nil && was:
		s.logger.Info("Way to the store open.")
	}
}

// around asks a peer that reaches the store.
func (s *Store) around(ctx context.Context, in request) (response, error) {
	peers := s.peers()
	if len(peers) == 0 {
		// Nobody reaches it: the own way is as good as any.
		res, err := s.ownUntilReopened(ctx, in)
		if !barring(err) {
			s.note(nil)
		}
		return res, err
	}
	s.mu.Lock()
	n := peers[s.next%len(peers)]
	s.mu.Unlock()
	askCtx, cancel := context.WithTimeout(ctx, askTimeout+time.Duration(in.WaitMs)*time.Millisecond)
	defer cancel()
	res, err := mesh.Call[request, response](askCtx, s.client, n.Addr, path, &in)
	if err != nil {
		s.mu.Lock()
		s.next++
		s.mu.Unlock()
		return response{}, &kvst.UnknownError{Cause: err}
	}
	return *res, res.err(in)
}

// ownUntilReopened makes the call by the own way, and gives it up when the way opens
// again after it was barred. A call that was sent before never gets an answer, and would
// wait for its whole timeout while later ones are answered in milliseconds; results that
// wait to be written since the outage began would be lost if their holder is.
func (s *Store) ownUntilReopened(ctx context.Context, in request) (response, error) {
	s.mu.Lock()
	reopened := s.reopened
	s.mu.Unlock()
	callCtx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	done := make(chan struct{})
	defer close(done)
	go func() {
		select {
		case <-reopened:
			cancel(errReopened)
		case <-done:
		}
	}()
	res, err := s.own(callCtx, in)
	if ctx.Err() == nil && errors.Is(context.Cause(callCtx), errReopened) && barring(err) {
		return s.own(ctx, in)
	}
	return res, err
}

// own makes the call by the own way.
func (s *Store) own(ctx context.Context, in request) (res response, err error) {
	switch in.Op {
	case opGet:
		res.Item, err = s.direct.Get(ctx, in.Key)
	case opList:
		res.Items, res.Revision, err = s.direct.List(ctx, in.Key)
	case opWatch:
		var changes kvst.Changes
		changes, err = s.direct.Watch(ctx, in.Key, in.After, time.Duration(in.WaitMs)*time.Millisecond)
		res.Items, res.Revision = changes.Items, changes.Revision
	case opCommit:
		res.Revision, err = s.direct.Commit(ctx, in.Txn)
	default:
		err = errors.Newf("unknown operation %q", in.Op)
	}
	return res, err
}

func (s *Store) serve(ctx context.Context, in *request) (*response, error) {
	res, err := s.own(ctx, *in)
	var refused *kvst.RefusedError
	var conflict *kvst.ConflictError
	var gap *kvst.GapError
	switch {
	case err == nil:
	case errors.As(err, &refused):
		res = response{Refused: refused.Status}
	case errors.As(err, &conflict):
		res = response{Conflict: true, Items: conflict.Now}
	case errors.As(err, &gap):
		res = response{Gap: true}
	default:
		res = response{Unknown: err.Error()}
	}
	return &res, nil
}

func (r *response) err(in request) error {
	switch {
	case r.Refused != 0:
		return &kvst.RefusedError{Status: r.Refused}
	case r.Conflict:
		return &kvst.ConflictError{Now: r.Items}
	case r.Gap:
		return &kvst.GapError{After: in.After}
	case r.Unknown != "":
		return &kvst.UnknownError{Cause: errors.New(r.Unknown)}
	}
	return nil
}

// barring reports whether an error says that the own way doesn't work.
func barring(err error) bool {
	var refused *kvst.RefusedError
	var unknown *kvst.UnknownError
	return errors.As(err, &refused) || errors.As(err, &unknown)
}
