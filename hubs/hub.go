// Package hubs is the part of an entry that serves heartbeats. Any two entries of
// a data centre act as its hubs: they keep the membership of those who beat to
// them, read the configuration from the key-value service, and tell the hubs of
// the other data centres.
//
// Nobody else reads or watches the service, so that its load is a few calls for
// each data centre however many instances there are.
package hubs

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"

	"github.com/lavendermux/lavendermux/fleet"
	"github.com/lavendermux/lavendermux/insts"
	"github.com/lavendermux/lavendermux/member"
	"github.com/lavendermux/lavendermux/record"
	"github.com/lavendermux/lavendermux/rendez"
	"github.com/lavendermux/lavendermux/wire"
	"github.com/lavendermux/lavendermux/wire/wireconnect"
)

const (
	// step is how often a hub looks at who is silent and whether it is still
	// wanted.
	step = time.Second
	// callTimeout bounds one call to another hub.
	callTimeout = 2 * time.Second
)

var (
	errNotKnown = errors.New("this instance holds no configuration yet")
	errNoHub    = errors.New("this instance is no hub")
)

type (
	// Hub serves heartbeats on one entry. It is safe for concurrent use. See New
	// and Run.
	Hub struct {
		self       func() *wire.EntryState
		config     configuration
		store      store
		http       connect.HTTPClient
		leading    func() bool
		candidates func() []insts.Instance
		listed     func(ctx context.Context) ([]insts.Instance, error)
		view       *fleet.View
		seed       uint64
		interval   time.Duration
		linger     time.Duration
		watchWait  time.Duration
		log        *log.Logger

		mu    sync.Mutex
		rand  *rand.Rand
		table *member.Table
		// services counts the endpoints of each service, as of the last turn.
		services map[string]int64
		// leaving are the instances that the list says are about to go.
		leaving map[string]bool
		wanted  time.Time
		stop    context.CancelFunc
		done    sync.WaitGroup
		peers   map[string]peer
	}

	// configuration is the instance's copy of the resources; confs.Cache has it.
	// Its revision only grows: what is applied with a lesser one is passed over.
	configuration interface {
		// Loaded is false until an answer was taken in, be it an empty one.
		Loaded() bool
		// Revision is that up to which every change is held.
		Revision() int64
		// Fetch returns what changed after a revision, deletions included, or
		// the whole when that is not known any more.
		Fetch(after int64) *wire.FetchResponse
		// Apply takes in changes, or a whole configuration.
		Apply(resp *wire.FetchResponse) bool
	}

	// store is what a hub needs of the key-value service; keyval.Client has it.
	store interface {
		List(ctx context.Context, prefix string) ([]record.Record, int64, error)
		Watch(ctx context.Context, prefix string, after int64, wait time.Duration) ([]record.Record, int64, error)
	}

	// peer is what a hub needs of another; wireconnect's client has it.
	peer interface {
		Beat(ctx context.Context, req *connect.Request[wire.BeatRequest]) (*connect.Response[wire.BeatResponse], error)
		Fetch(ctx context.Context, req *connect.Request[wire.FetchRequest]) (*connect.Response[wire.FetchResponse], error)
		Members(ctx context.Context, req *connect.Request[wire.MembersRequest]) (*connect.Response[wire.MembersResponse], error)
	}
)

// New returns the hub part of the entry that self describes.
//
//	h := hubs.New(self, cache, keyval.New(base), hubs.WithLeading(client.Leading))
//	go h.Run(ctx)
func New(self func() *wire.EntryState, config configuration, store store, opts ...Option) *Hub {
	h := &Hub{
		self:       self,
		config:     config,
		store:      store,
		http:       http.DefaultClient,
		leading:    func() bool { return true },
		candidates: func() []insts.Instance { return nil },
		view:       fleet.New(),
		seed:       1,
		interval:   defaultInterval,
		linger:     defaultLinger,
		watchWait:  defaultWatch,
		log:        log.Default(),
		peers:      map[string]peer{},
	}
	for _, opt := range opts {
		opt(h)
	}
	h.rand = rand.New(rand.NewPCG(h.seed, h.seed))
	return h
}

// Run lets the entry be hub whenever it is wanted, until ctx ends.
func (h *Hub) Run(ctx context.Context) {
	defer h.end()
	ticker := time.NewTicker(step)
	defer ticker.Stop()
	for {
		h.turn(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// Active tells whether the entry acts as hub now.
func (h *Hub) Active() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.table != nil
}

// Beat implements wireconnect.PeerServiceHandler.
func (h *Hub) Beat(
	_ context.Context, req *connect.Request[wire.BeatRequest],
) (*connect.Response[wire.BeatResponse], error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	resp := &wire.BeatResponse{Revision: h.config.Revision()}
	if h.table == nil {
		return connect.NewResponse(resp), nil
	}
	resp.Hub = true
	resp.Boot = h.table.Boot()
	if req.Msg.GetDigest() != nil {
		h.table.SetDigest(req.Msg.GetDigest())
		resp.TableVersion = h.table.OwnVersion()
		resp.Digest = h.table.Digest(time.Now())
		return connect.NewResponse(resp), nil
	}
	h.table.Beat(time.Now(), req.Msg)
	resp.TableVersion = h.table.Version()
	resp.Leaving = h.isLeaving(req.Msg)
	resp.Siblings = h.services[req.Msg.GetEndpoint().GetService()]
	return connect.NewResponse(resp), nil
}

// Fetch implements wireconnect.PeerServiceHandler. An instance that holds no
// configuration yet says so: an empty answer would pass for one in which
// everything was deleted.
func (h *Hub) Fetch(
	_ context.Context, req *connect.Request[wire.FetchRequest],
) (*connect.Response[wire.FetchResponse], error) {
	if !h.config.Loaded() {
		return nil, connect.NewError(connect.CodeUnavailable, errNotKnown)
	}
	return connect.NewResponse(h.config.Fetch(req.Msg.GetAfterRevision())), nil
}

// Members implements wireconnect.PeerServiceHandler.
func (h *Hub) Members(
	_ context.Context, req *connect.Request[wire.MembersRequest],
) (*connect.Response[wire.MembersResponse], error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.table == nil {
		return nil, connect.NewError(connect.CodeUnavailable, errNoHub)
	}
	return connect.NewResponse(h.table.Since(req.Msg)), nil
}

// turn begins, goes on or ends being hub.
func (h *Hub) turn(ctx context.Context) {
	now := time.Now()
	leading := h.leading()
	h.mu.Lock()
	defer h.mu.Unlock()
	if leading {
		h.wanted = now
	}
	switch {
	case h.table == nil && leading:
		h.begin(ctx, now)
	case h.table != nil && now.Sub(h.wanted) >= h.linger:
		h.log.Info("no longer hub", "dataCentre", h.self().GetDataCentre())
		h.stop()
		h.table = nil
	case h.table != nil:
		h.table.Expire(now)
		h.table.Digest(now)
		h.services = h.table.Services()
	}
}

func (h *Hub) begin(ctx context.Context, now time.Time) {
	self := h.self()
	h.log.Info("acting as hub", "dataCentre", self.GetDataCentre())
	h.table = member.New(self.GetDataCentre(), tableBoot(self.GetInstance(), now))
	h.table.Seed(now, h.view.Entries(), h.view.Endpoints(""))
	ctx, h.stop = context.WithCancel(ctx)
	h.done.Go(func() { h.follow(ctx) })
	h.done.Go(func() { h.exchangeLoop(ctx) })
	h.done.Go(func() { h.watchList(ctx) })
}

// tableBoot returns a number that no other table has, neither of this entry nor
// of another that begins in the same instant. With equal ones a reader that goes
// from one hub to the other would take the versions of the two tables for those
// of one, and miss members for good.
func tableBoot(instance string, now time.Time) int64 {
	return int64(rendez.Score(instance, strconv.FormatInt(now.UnixNano(), 10)) >> 1)
}

func (h *Hub) end() {
	h.mu.Lock()
	if h.table != nil {
		h.stop()
		h.table = nil
	}
	h.mu.Unlock()
	h.done.Wait()
}

// jitter returns d shortened or lengthened by up to a share.
func (h *Hub) jitter(d time.Duration, share float64) time.Duration {
	return time.Duration(float64(d) * h.spread(share))
}

// spread draws a factor that differs from 1 by up to a share.
func (h *Hub) spread(share float64) float64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return 1 + share*(2*h.rand.Float64()-1)
}

func (h *Hub) peer(address string) peer {
	h.mu.Lock()
	defer h.mu.Unlock()
	p := h.peers[address]
	if p == nil {
		p = wireconnect.NewPeerServiceClient(h.http, "http://"+address)
		h.peers[address] = p
	}
	return p
}
