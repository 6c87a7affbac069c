// Package kvpeer fails over calls of the metadata store to a peer while this instance
// cannot reach the store itself.
//
// The store may refuse single instances, or be partitioned from them, while it serves all
// others. Without failover, an instance would refuse submissions and withhold finished
// results for as long as that lasts, with healthy peers a millisecond away.
package kvpeer

import (
	"context"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"

	"github.com/lavendermux/lavendermux/kvst"
	"github.com/lavendermux/lavendermux/mesh"
	"github.com/lavendermux/lavendermux/rendez"
)

const (
	// path is the HTTP path at which peers request calls to the store.
	path = "/lavendermux.Store/Do"

	// probeKey is read to find out whether the store is reachable; the key need not
	// exist.
	probeKey = "lavendermux/probe"

	opGet    = "get"
	opList   = "list"
	opWatch  = "watch"
	opCommit = "commit"

	// probeInterval is the interval between probes of the store while direct calls fail.
	probeInterval = 700 * time.Millisecond
	// maxProbes is the number of probes of all instances in one interval. Hundreds may be cut
	// off at the same time, and the store must not be kept busy by those that it turns away.
	maxProbes = 8
	// failoverWait is how long a watch may wait at a peer after the direct one has failed.
	failoverWait = 100 * time.Millisecond
	// peerTimeout limits a call through a peer, and watchMargin a watch beyond the time for which it
	// waits: the peer gives up its own after that and 700 ms.
	peerTimeout = 1500 * time.Millisecond
	watchMargin = 900 * time.Millisecond
)

// errDirectRestored cancels a direct call that was sent before the store was reachable
// again.
var errDirectRestored = errors.New("the direct way to the store is open again")

type (
	// Store is the metadata store, reached directly or through a peer; safe for
	// concurrent use. See New.
	Store struct {
		direct kvst.Store
		client *http.Client
		logger *log.Logger
		peers  func() []mesh.Node
		// instance is the name of this instance, and cutOff the number of others that can't
		// reach the store.
		instance string
		cutOff   func() int

		mu           sync.Mutex
		isDirectDown bool
		// directRestored is closed and replaced when the direct connection works again.
		directRestored chan struct{}
		nextPeer       int
		// verifiedAt is when Verify last made a call.
		verifiedAt time.Time
	}

	// Option configures a Store in New.
	Option func(*Store)

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
		// At most one of the following is set.
		Refused  int    `json:"refused,omitempty"`
		Conflict bool   `json:"conflict,omitempty"`
		Gap      bool   `json:"gap,omitempty"`
		Unknown  string `json:"unknown,omitempty"`
	}
)

// New returns a store that calls direct, and peers while direct fails.
//
//	s := kvpeer.New(direct, client, logger, m.ReachingStore)
//	it, err := s.Get(ctx, key)
func New(direct kvst.Store, client *http.Client, logger *log.Logger, peers func() []mesh.Node, opts ...Option) *Store {
	s := &Store{direct: direct, client: client, logger: logger, peers: peers, cutOff: func() int { return 0 }, directRestored: make(chan struct{})}
	for _, opt := range opts {
		opt(s)
	}
	return s
}

// WithInstance sets the name of this instance, by which it chooses peers and the times of its
// probes. By default it is empty.
func WithInstance(name string) Option {
	return func(s *Store) { s.instance = name }
}

// WithCutOff sets f, which returns how many other instances can't reach the store. The default
// returns 0.
func WithCutOff(f func() int) Option {
	return func(s *Store) { s.cutOff = f }
}

// Handler returns the path and the handler that serve peers with direct calls.
func (s *Store) Handler() (string, http.Handler) {
	return path, mesh.Handle(path, s.serve)
}

// DirectAvailable reports whether direct calls work, as far as is known.
func (s *Store) DirectAvailable() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.isDirectDown
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
	if s.DirectAvailable() {
		res, err := s.callDirectUntilRestored(ctx, in)
		if !isStoreFailure(err) {
			s.recordDirect(nil)
			return res, err
		}
		if ctx.Err() != nil {
			return res, err
		}
		s.recordDirect(err)
		var unknown *kvst.UnknownOutcomeError
		if errors.As(err, &unknown) && in.Op == opCommit {
			// The commit may have taken effect. The caller repeats it, and that call goes
			// to a peer.
			return res, err
		}
		// A watch has taken its time by now. If the peer can't reach the store either, the caller
		// must not wait for another whole one.
		in.WaitMs = min(in.WaitMs, failoverWait.Milliseconds())
	}
	return s.callPeer(ctx, in)
}

// Run probes the store while direct calls fail. Calls don't try the direct way meanwhile: they
// would wait for its timeout while a peer answers within milliseconds.
func (s *Store) Run(ctx context.Context) {
	t := time.NewTicker(probeInterval)
	defer t.Stop()
	cutOff := 0
	for tick := 0; ; tick++ {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		before := cutOff
		cutOff = s.cutOff()
		if s.DirectAvailable() || len(s.peers()) == 0 || !s.isProbeDue(tick, before, cutOff) {
			continue
		}
		if _, err := s.direct.Get(ctx, probeKey); !isStoreFailure(err) {
			s.recordDirect(nil)
		}
	}
}

// Verify finds out whether direct calls work, unless it has done so just before or they are known to
// fail. An instance that reads through others calls the store rarely; it would say for long that it
// reaches it, and others would rely on that.
func (s *Store) Verify(ctx context.Context) {
	s.mu.Lock()
	due := !s.isDirectDown && time.Since(s.verifiedAt) >= probeInterval
	if due {
		s.verifiedAt = time.Now()
	}
	s.mu.Unlock()
	if !due {
		return
	}
	if _, err := s.direct.Get(ctx, probeKey); isStoreFailure(err) && ctx.Err() == nil {
		s.recordDirect(err)
	}
}

// isProbeDue reports whether this instance probes the store in an interval: as often as maxProbes
// allows, and at once if one of the others that were cut off reaches the store again.
func (s *Store) isProbeDue(tick, before, cutOff int) bool {
	return cutOff < before || rendez.Fraction(s.instance, strconv.Itoa(tick))*float64(cutOff+1) < maxProbes
}

// recordDirect records the result of a direct call; err is nil if the store was reached.
func (s *Store) recordDirect(err error) {
	s.mu.Lock()
	wasDown := s.isDirectDown
	s.isDirectDown = err != nil
	if err == nil && wasDown {
		close(s.directRestored)
		s.directRestored = make(chan struct{})
	}
	s.mu.Unlock()
	switch {
	case err != nil && !wasDown:
		s.logger.Warn("Direct connection to the metadata store failed.", "error", err)
	case err == nil && wasDown:
		s.logger.Info("Direct connection to the metadata store is open again.")
	}
}

// callPeer makes the call through a peer that reaches the store.
func (s *Store) callPeer(ctx context.Context, in request) (response, error) {
	peers := s.peers()
	if len(peers) == 0 {
		// No peer reaches the store: a direct call is as good as any.
		res, err := s.callDirectUntilRestored(ctx, in)
		if !isStoreFailure(err) {
			s.recordDirect(nil)
		}
		return res, err
	}
	s.mu.Lock()
	n := s.nextPeer
	s.mu.Unlock()
	// Each instance has an order of its own, so that those that are cut off together don't all
	// ask the same peer.
	peer := rendez.Order(s.instance, peers, func(n mesh.Node) string { return n.Name })[n%len(peers)]
	timeout := peerTimeout
	if in.Op == opWatch {
		timeout = watchMargin + time.Duration(in.WaitMs)*time.Millisecond
	}
	callCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	res, err := mesh.Call[request, response](callCtx, s.client, peer.Addr, path, &in)
	if err != nil {
		res, err = &response{}, &kvst.UnknownOutcomeError{Cause: err}
	} else {
		err = res.err(in)
	}
	if isStoreFailure(err) {
		s.mu.Lock()
		s.nextPeer++
		s.mu.Unlock()
	}
	return *res, err
}

// callDirectUntilRestored makes a direct call, and repeats it if the direct connection is
// restored in the meantime. A call that was sent before never gets an answer, and would
// wait for its whole timeout while later ones are answered in milliseconds; results
// waiting to be written since the outage began would be lost if their owner fails.
func (s *Store) callDirectUntilRestored(ctx context.Context, in request) (response, error) {
	s.mu.Lock()
	directRestored := s.directRestored
	s.mu.Unlock()
	callCtx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	done := make(chan struct{})
	defer close(done)
	go func() {
		select {
		case <-directRestored:
			cancel(errDirectRestored)
		case <-done:
		}
	}()
	res, err := s.callDirect(callCtx, in)
	if ctx.Err() == nil && errors.Is(context.Cause(callCtx), errDirectRestored) && isStoreFailure(err) {
		return s.callDirect(ctx, in)
	}
	return res, err
}

// callDirect makes a direct call.
func (s *Store) callDirect(ctx context.Context, in request) (res response, err error) {
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
	res, err := s.callDirect(ctx, *in)
	if isStoreFailure(err) && ctx.Err() == nil {
		// This instance makes few calls of its own, and its peers must not go on to ask it.
		s.recordDirect(err)
	}
	var refused *kvst.RefusedError
	var conflict *kvst.ConflictError
	var gap *kvst.CompactedError
	switch {
	case err == nil:
	case errors.As(err, &refused):
		res = response{Refused: refused.Status}
	case errors.As(err, &conflict):
		res = response{Conflict: true, Items: conflict.Current}
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
		return &kvst.ConflictError{Current: r.Items}
	case r.Gap:
		return &kvst.CompactedError{After: in.After}
	case r.Unknown != "":
		return &kvst.UnknownOutcomeError{Cause: errors.New(r.Unknown)}
	}
	return nil
}

// isStoreFailure reports whether an error means that direct calls do not work.
func isStoreFailure(err error) bool {
	var refused *kvst.RefusedError
	var unknown *kvst.UnknownOutcomeError
	return errors.As(err, &refused) || errors.As(err, &unknown)
}
