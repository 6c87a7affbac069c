// Package beats is the heartbeat client of an instance. It sends heartbeats to the hubs
// of the instance's data centre, and fetches configuration and membership from them
// when its own copies are out of date.
//
// The first configuration of an instance needs a proof that it is not older than one that
// was in force; later ones only have to be newer than the one in use.
//
// The client selects the hubs, and so also decides whether an entry should itself act
// as hub: all instances use the same rendezvous order of the data centre's entries, and
// skip those that don't answer.
package beats

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/charmbracelet/log"
	"github.com/lavendermux/lavendermux/fleet"
	"github.com/lavendermux/lavendermux/hubsel"
	"github.com/lavendermux/lavendermux/inforc"
	"github.com/lavendermux/lavendermux/insts"
	"github.com/lavendermux/lavendermux/rendez"
	"github.com/lavendermux/lavendermux/wire"
)

const (
	// hubsPerDataCentre is how many entries of a data centre act as hub.
	hubsPerDataCentre = 2
	// isolationTimeout is after how long without contact to any hub an entry becomes
	// one itself. Each entry adds a fixed share of up to the same time again, so that
	// not all do so at once.
	isolationTimeout = 8 * time.Second
	// candidatesTTL is how long the merged list of candidates is cached.
	candidatesTTL = time.Second
)

type (
	// Client sends the heartbeats of one instance. It is safe for concurrent use. See
	// New and Run.
	Client struct {
		self       func() *wire.BeatRequest
		list       func(ctx context.Context) ([]insts.Instance, error)
		config     configuration
		http       connect.HTTPClient
		view       *fleet.View
		local      peer
		seed       uint64
		interval   time.Duration
		relist     time.Duration
		log        *log.Logger
		wake       chan struct{}
		onLeaving  func(bool)
		onSiblings func(int64)
		// leaving is the value last passed to onLeaving; only Run's goroutine uses it.
		leaving bool

		mu   sync.Mutex
		rand *rand.Rand
		// listedEntries holds all entries of the instance list, listed those that are not
		// leaving.
		listedEntries []insts.Instance
		listed        []insts.Instance
		relistAt      time.Time
		// failedRounds counts the consecutive rounds in which no hub answered.
		failedRounds int
		hubOrders    []*hubsel.Candidates
		nonHubUntil  map[string]time.Time
		peers        map[string]peer
		sequence     int64
		// lastBeat is when this instance last sent a heartbeat to each hub.
		lastBeat       map[string]time.Time
		started        time.Time
		lastHubContact time.Time
		firstRoundDone bool
		lastRequest    *wire.BeatRequest
		digests        []*wire.DataCentreDigest
		digestsAt      time.Time

		candidates      []insts.Instance
		candidatesUntil time.Time
		inForce         inforc.Tracker
	}

	// configuration is the instance's copy of the resources, such as confs.Cache. Its
	// revision only grows: responses with a lesser one are ignored.
	configuration interface {
		// Loaded reports whether a configuration was applied, be it an empty one.
		Loaded() bool
		// Revision returns the revision up to which all changes are applied.
		Revision() int64
		// Apply applies changes or a full configuration.
		Apply(resp *wire.FetchResponse) bool
	}

	// peer is the part of a hub's API that the client calls, such as wireconnect's
	// client.
	peer interface {
		Beat(ctx context.Context, req *connect.Request[wire.BeatRequest]) (*connect.Response[wire.BeatResponse], error)
		Fetch(ctx context.Context, req *connect.Request[wire.FetchRequest]) (*connect.Response[wire.FetchResponse], error)
		Members(ctx context.Context, req *connect.Request[wire.MembersRequest]) (*connect.Response[wire.MembersResponse], error)
	}
)

// New returns a client for the instance that self describes: self sets the entry or the
// endpoint, the client fills in the rest. List reads the instance list, such as
// discov.Client.List.
//
//	c := beats.New(self, list.List, cache, beats.WithView(view))
//	go c.Run(ctx)
func New(
	self func() *wire.BeatRequest,
	list func(ctx context.Context) ([]insts.Instance, error),
	config configuration,
	opts ...Option,
) *Client {
	c := &Client{
		self:        self,
		list:        list,
		config:      config,
		http:        http.DefaultClient,
		seed:        1,
		interval:    defaultInterval,
		relist:      defaultRelist,
		log:         log.Default(),
		wake:        make(chan struct{}, 1),
		nonHubUntil: map[string]time.Time{},
		lastBeat:    map[string]time.Time{},
		peers:       map[string]peer{},
	}
	for _, opt := range opts {
		opt(c)
	}
	c.rand = rand.New(rand.NewPCG(c.seed, c.seed))
	return c
}

// Run sends heartbeats until ctx ends.
func (c *Client) Run(ctx context.Context) {
	c.mu.Lock()
	c.started = time.Now()
	c.mu.Unlock()
	for ctx.Err() == nil {
		c.round(ctx)
		timer := time.NewTimer(c.jitter(c.interval, normalJitter))
		select {
		case <-ctx.Done():
		case <-timer.C:
		case <-c.wake:
		}
		timer.Stop()
	}
}

// Wake makes the client send a heartbeat at once, for instance when the instance starts
// to drain.
func (c *Client) Wake() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// Ready reports whether the instance may serve: it has a configuration that was proved
// current, and has completed one round of heartbeats.
func (c *Client) Ready() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.firstRoundDone && c.config.Loaded()
}

// ShouldBeHub reports whether this entry should act as hub: it is among the first two
// reachable entries of its data centre, or has had no contact to any other hub for a
// longer time.
func (c *Client) ShouldBeHub() bool {
	now := time.Now()
	id, _ := identity(c.self())
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.hubOrders) == 0 {
		return false
	}
	order := c.hubOrders[0].Available(now)
	rank := slices.IndexFunc(order, func(i insts.Instance) bool { return i.ID == id })
	if rank >= 0 && rank < hubsPerDataCentre {
		return true
	}
	lastContact := c.lastHubContact
	if lastContact.IsZero() {
		lastContact = c.started
	}
	timeout := isolationTimeout + time.Duration(rendez.Fraction("lonely", id)*float64(isolationTimeout))
	return now.Sub(lastContact) >= timeout
}

// Candidates returns the entries of the instance list and of the membership, each once.
// The membership takes precedence over the list, which lags. An entry that reports that
// it is leaving is left out, so that others act as hub before it ends. The result is
// cached for a second, since in an outage each job of the fleet calls this; it must not
// be modified.
func (c *Client) Candidates() []insts.Instance {
	now := time.Now()
	c.mu.Lock()
	listed := c.listed
	cached, fresh := c.candidates, now.Before(c.candidatesUntil)
	c.mu.Unlock()
	if fresh {
		return cached
	}
	cached = c.mergeCandidates(listed)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.candidates, c.candidatesUntil = cached, now.Add(candidatesTTL)
	return cached
}

func (c *Client) mergeCandidates(listed []insts.Instance) []insts.Instance {
	if c.view == nil {
		return listed
	}
	members := c.view.Entries()
	known := make(map[string]bool, len(members))
	out := make([]insts.Instance, 0, len(members)+1)
	for _, e := range members {
		known[e.GetInstance()] = true
		if !e.GetLeaving() {
			out = append(out, entryInstance(e))
		}
	}
	for _, i := range listed {
		if !known[i.ID] {
			out = append(out, i)
		}
	}
	return out
}

// jitter returns d changed by a random fraction of up to share in either direction.
func (c *Client) jitter(d time.Duration, share float64) time.Duration {
	return time.Duration(float64(d) * c.jitterFactor(share))
}

// jitterFactor returns a random factor between 1-share and 1+share.
func (c *Client) jitterFactor(share float64) float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return 1 + share*(2*c.rand.Float64()-1)
}

func entryInstance(e *wire.EntryState) insts.Instance {
	return insts.Instance{
		ID: e.GetInstance(), Role: insts.RoleEntry, DataCentre: e.GetDataCentre(),
		Region: e.GetRegion(), Address: e.GetAddress(), State: insts.StateLive,
	}
}

// identity returns the ID and the location of the instance that a heartbeat describes.
func identity(req *wire.BeatRequest) (string, insts.Instance) {
	if e := req.GetEntry(); e != nil {
		return e.GetInstance(), entryInstance(e)
	}
	e := req.GetEndpoint()
	return e.GetInstance(), insts.Instance{
		ID: e.GetInstance(), Role: insts.RoleEndpoint, DataCentre: e.GetDataCentre(),
		Region: e.GetRegion(), Address: e.GetAddress(), State: insts.StateLive,
	}
}
