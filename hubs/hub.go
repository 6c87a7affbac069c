// Package hubs is the heartbeat server of an entry. Any two entries of a data centre
// act as its hubs: they maintain the membership of the instances that send them
// heartbeats, read the configuration from the metadata store, and exchange both with
// the hubs of the other data centres.
//
// Only hubs read or watch the store, so that its load is a few calls per data centre
// regardless of the number of instances.
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
	"github.com/lavendermux/lavendermux/gather"
	"github.com/lavendermux/lavendermux/insts"
	"github.com/lavendermux/lavendermux/member"
	"github.com/lavendermux/lavendermux/record"
	"github.com/lavendermux/lavendermux/rendez"
	"github.com/lavendermux/lavendermux/wire"
	"github.com/lavendermux/lavendermux/wire/wireconnect"
)

const (
	// tickInterval is how often a hub checks for silent instances and whether it should
	// still act as hub.
	tickInterval = time.Second
	// callTimeout bounds one heartbeat to another hub, and once more the calls that
	// fetch from it afterwards.
	callTimeout = 2 * time.Second
)

var (
	errNoConfig = errors.New("this instance holds no configuration yet")
	errNotHub   = errors.New("this instance is no hub")
)

type (
	// Hub serves heartbeats on one entry. It is safe for concurrent use. See New and
	// Run.
	Hub struct {
		self          func() *wire.EntryState
		config        configuration
		store         store
		http          connect.HTTPClient
		shouldBeHub   func() bool
		candidates    func() []insts.Instance
		listInstances func(ctx context.Context) ([]insts.Instance, error)
		view          *fleet.View
		seed          uint64
		interval      time.Duration
		linger        time.Duration
		watchWait     time.Duration
		log           *log.Logger
		// confirm is confirmConfig, shared by the instances that start at the same time.
		confirm *gather.Func

		mu    sync.Mutex
		rand  *rand.Rand
		table *member.Table
		// endpointCounts is the number of live endpoints of each service, as of the
		// last tick.
		endpointCounts map[string]int64
		// leaving holds the instances that are leaving according to the instance list.
		leaving    map[string]bool
		lastWanted time.Time
		// cursor is the store's revision up to which this hub last read it; the
		// configuration holds every change up to there. It is nil before the first list.
		cursor *int64
		stop   context.CancelFunc
		done   sync.WaitGroup
		peers  map[string]peer
	}

	// configuration is the instance's copy of the resources, such as confs.Cache. Its
	// revision only grows: responses with a lesser one are ignored.
	configuration interface {
		// Loaded reports whether a configuration was applied, be it an empty one.
		Loaded() bool
		// Revision returns the revision up to which all changes are applied.
		Revision() int64
		// Fetch returns what changed after a revision, including deletions, or the full
		// configuration when those changes are no longer known.
		Fetch(after int64) *wire.FetchResponse
		// Apply applies changes or a full configuration.
		Apply(resp *wire.FetchResponse) bool
	}

	// store is the part of the metadata store that a hub uses, such as
	// keyval.Client.
	store interface {
		List(ctx context.Context, prefix string) ([]record.Record, int64, error)
		Watch(ctx context.Context, prefix string, after int64, wait time.Duration) ([]record.Record, int64, error)
	}

	// peer is the part of another hub's API that a hub calls, such as wireconnect's
	// client.
	peer interface {
		Beat(ctx context.Context, req *connect.Request[wire.BeatRequest]) (*connect.Response[wire.BeatResponse], error)
		Fetch(ctx context.Context, req *connect.Request[wire.FetchRequest]) (*connect.Response[wire.FetchResponse], error)
		Members(ctx context.Context, req *connect.Request[wire.MembersRequest]) (*connect.Response[wire.MembersResponse], error)
	}
)

// New returns the hub of the entry that self describes.
//
//	h := hubs.New(self, cache, keyval.New(base), hubs.WithShouldBeHub(client.ShouldBeHub))
//	go h.Run(ctx)
func New(self func() *wire.EntryState, config configuration, store store, opts ...Option) *Hub {
	h := &Hub{
		self:        self,
		config:      config,
		store:       store,
		http:        http.DefaultClient,
		shouldBeHub: func() bool { return true },
		candidates:  func() []insts.Instance { return nil },
		view:        fleet.New(),
		seed:        1,
		interval:    defaultInterval,
		linger:      defaultLinger,
		watchWait:   defaultWatchWait,
		log:         log.Default(),
		peers:       map[string]peer{},
	}
	for _, opt := range opts {
		opt(h)
	}
	h.confirm = gather.New(h.confirmConfig, gather.WithDelay(confirmDelay))
	h.rand = rand.New(rand.NewPCG(h.seed, h.seed))
	return h
}

// Run makes the entry act as hub whenever it should, until ctx ends.
func (h *Hub) Run(ctx context.Context) {
	defer h.shutdown()
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		h.tick(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// Active reports whether the entry acts as hub now.
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
		resp.TableVersion = h.table.LocalVersion()
		resp.Digest = h.table.Digest(time.Now())
		return connect.NewResponse(resp), nil
	}
	h.table.Beat(time.Now(), req.Msg)
	resp.TableVersion = h.table.Version()
	resp.Leaving = h.isLeaving(req.Msg)
	resp.Siblings = h.endpointCounts[req.Msg.GetEndpoint().GetService()]
	return connect.NewResponse(resp), nil
}

// Fetch implements wireconnect.PeerServiceHandler. It returns an error while the
// instance has no configuration: an empty response would mean that all resources were
// deleted.
func (h *Hub) Fetch(
	ctx context.Context, req *connect.Request[wire.FetchRequest],
) (*connect.Response[wire.FetchResponse], error) {
	if !h.config.Loaded() {
		return nil, connect.NewError(connect.CodeUnavailable, errNoConfig)
	}
	confirmed := false
	if req.Msg.GetConfirm() {
		err := h.confirm.Do(ctx)
		if err != nil {
			h.log.Info("Configuration not confirmed for a peer.", "revision", h.config.Revision(), "error", err)
		}
		confirmed = err == nil
	}
	resp := h.config.Fetch(req.Msg.GetAfterRevision())
	resp.Confirmed = confirmed
	return connect.NewResponse(resp), nil
}

// Members implements wireconnect.PeerServiceHandler.
func (h *Hub) Members(
	_ context.Context, req *connect.Request[wire.MembersRequest],
) (*connect.Response[wire.MembersResponse], error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.table == nil {
		return nil, connect.NewError(connect.CodeUnavailable, errNotHub)
	}
	return connect.NewResponse(h.table.ChangesSince(req.Msg)), nil
}

// tick starts, continues or stops acting as hub.
func (h *Hub) tick(ctx context.Context) {
	now := time.Now()
	shouldBeHub := h.shouldBeHub()
	h.mu.Lock()
	defer h.mu.Unlock()
	if shouldBeHub {
		h.lastWanted = now
	}
	switch {
	case h.table == nil && shouldBeHub:
		h.startHub(ctx, now)
	case h.table != nil && now.Sub(h.lastWanted) >= h.linger:
		h.log.Info("stopped acting as hub", "dataCentre", h.self().GetDataCentre())
		h.stop()
		h.table = nil
	case h.table != nil:
		h.table.Expire(now)
		h.table.Digest(now)
		h.endpointCounts = h.table.EndpointCounts()
	}
}

func (h *Hub) startHub(ctx context.Context, now time.Time) {
	self := h.self()
	h.log.Info("started acting as hub", "dataCentre", self.GetDataCentre())
	h.table = member.New(self.GetDataCentre(), tableBoot(self.GetInstance(), now))
	h.table.Seed(now, h.view.Entries(), h.view.Endpoints(""))
	ctx, h.stop = context.WithCancel(ctx)
	h.done.Go(func() { h.followConfig(ctx) })
	h.done.Go(func() { h.exchangeLoop(ctx) })
	h.done.Go(func() { h.watchLeaving(ctx) })
}

// tableBoot returns a number that identifies this table among all others, including
// those of entries that start in the same instant. With equal numbers a reader that
// changes from one hub to another would take the versions of the two tables for those
// of one, and miss members permanently.
func tableBoot(instance string, now time.Time) int64 {
	return int64(rendez.Score(instance, strconv.FormatInt(now.UnixNano(), 10)) >> 1)
}

func (h *Hub) shutdown() {
	h.mu.Lock()
	if h.table != nil {
		h.stop()
		h.table = nil
	}
	h.mu.Unlock()
	h.done.Wait()
}

// jitter returns d changed by a random fraction of up to share in either direction.
func (h *Hub) jitter(d time.Duration, share float64) time.Duration {
	return time.Duration(float64(d) * h.jitterFactor(share))
}

// jitterFactor returns a random factor between 1-share and 1+share.
func (h *Hub) jitterFactor(share float64) float64 {
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
