// Package entry implements an entry instance. Callers, trainers and operators reach
// the system through any entry instance; jobs that need a single leader run on the
// one that holds the job's lease.
package entry

import (
	"context"
	"crypto/tls"
	"io"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"
	"github.com/gorilla/mux"
	"github.com/lavendermux/lavendermux/accept"
	"github.com/lavendermux/lavendermux/audit"
	"github.com/lavendermux/lavendermux/auth"
	"github.com/lavendermux/lavendermux/beats"
	"github.com/lavendermux/lavendermux/blobdb"
	"github.com/lavendermux/lavendermux/bound"
	"github.com/lavendermux/lavendermux/caps"
	"github.com/lavendermux/lavendermux/change"
	"github.com/lavendermux/lavendermux/confs"
	"github.com/lavendermux/lavendermux/counts"
	"github.com/lavendermux/lavendermux/dial"
	"github.com/lavendermux/lavendermux/discov"
	"github.com/lavendermux/lavendermux/ecfg"
	"github.com/lavendermux/lavendermux/fault"
	"github.com/lavendermux/lavendermux/fleet"
	"github.com/lavendermux/lavendermux/front"
	"github.com/lavendermux/lavendermux/gossip"
	"github.com/lavendermux/lavendermux/guard"
	"github.com/lavendermux/lavendermux/httpd"
	"github.com/lavendermux/lavendermux/hubs"
	"github.com/lavendermux/lavendermux/insts"
	"github.com/lavendermux/lavendermux/jobrun"
	"github.com/lavendermux/lavendermux/jobs"
	"github.com/lavendermux/lavendermux/keyval"
	"github.com/lavendermux/lavendermux/lease"
	"github.com/lavendermux/lavendermux/meter"
	"github.com/lavendermux/lavendermux/netset"
	"github.com/lavendermux/lavendermux/observ"
	"github.com/lavendermux/lavendermux/opapi"
	"github.com/lavendermux/lavendermux/pctrl"
	"github.com/lavendermux/lavendermux/qadmin"
	"github.com/lavendermux/lavendermux/qstore"
	"github.com/lavendermux/lavendermux/relay"
	"github.com/lavendermux/lavendermux/spread"
	"github.com/lavendermux/lavendermux/train"
	"github.com/lavendermux/lavendermux/wire"
	"github.com/lavendermux/lavendermux/wire/wireconnect"
	"github.com/lavendermux/lavendermux/wstore"
)

const (
	// minCompressBytes is the size from which responses to peers are compressed. The
	// response to a heartbeat has 20 bytes and would grow.
	minCompressBytes = 512
	// causeNotLoaded means that the instance has no configuration that is proved current.
	causeNotLoaded = "notLoaded"
	// notLoadedRetry is the Retry-After of such a rejection. Other entries can serve the
	// request at once; this one tries to load the configuration every three seconds.
	notLoadedRetry = 3 * time.Second
	// addressCallers and addressPeers are the names of the addresses in logs and metrics.
	addressCallers = "callers"
	addressPeers   = "peers"
)

type (
	// Entry is one entry instance. See New and Run.
	Entry struct {
		cfg         ecfg.Settings
		net         *netset.Network
		log         *log.Logger
		incarnation int64
		conf        *confs.Cache
		view        *fleet.View
		dial        *dial.Dialer
		store       *keyval.Client
		list        *discov.Client
		// weights is the client of the weight store.
		weights     *wstore.Client
		beats       *beats.Client
		hub         *hubs.Hub
		relay       *relay.Client
		meter       *meter.Meter
		guard       *guard.Tracker
		gossip      *gossip.Agent
		qstore      *qstore.Syncer
		front       *front.API
		train       *train.API
		operatorAPI *opapi.API
		jobs        *jobrun.Runner
		observer    *observ.Observer
		// disk is nil without a data directory.
		disk      *blobdb.Store
		tokenKeys *auth.TokenSet
		tls       *tls.Config
		// callerLimiter and peerLimiter bound what clients at the two addresses may occupy.
		callerLimiter, peerLimiter *accept.Limiter

		// stopping is true once a planned stop has begun, leavingListed while the
		// instance list marks this instance as leaving.
		stopping, leavingListed atomic.Bool

		mu      sync.Mutex
		holders map[string]*pctrl.Controller
	}

	// Option configures an Entry in New.
	Option func(*Entry)
)

// New returns the instance with its settings.
//
//	e := entry.New(cfg, entry.WithLog(logger))
//	err := e.Run(ctx)
func New(cfg ecfg.Settings, opts ...Option) *Entry {
	e := &Entry{
		cfg:         cfg,
		net:         netset.New(),
		log:         log.New(io.Discard),
		incarnation: time.Now().UnixNano(),
		conf:        confs.New(),
		view:        fleet.New(),
		meter:       meter.New(),
		holders:     map[string]*pctrl.Controller{},
	}
	for _, opt := range opts {
		opt(e)
	}
	e.observer = observ.New(e.conf, counts.New(cfg.Instance, e.conf), e.meter,
		audit.New(cfg.Instance, audit.WithLog(e.log)))
	e.initLimiters()
	e.initClients()
	e.initMembership()
	e.initAPIs()
	return e
}

// WithNet sets the network of the instance. The default is TCP.
func WithNet(n *netset.Network) Option {
	return func(e *Entry) { e.net = n }
}

// WithLog sets the logger. By default nothing is logged.
func WithLog(l *log.Logger) Option {
	return func(e *Entry) { e.log = l }
}

// WithKeys sets the tokens that the public listener requires of callers, trainers
// and operators. By default no token is required.
func WithKeys(k *auth.TokenSet) Option {
	return func(e *Entry) { e.tokenKeys = k }
}

// WithTLS enables TLS on the public listener. The default, also for nil, is plain
// text.
func WithTLS(cfg *tls.Config) Option {
	return func(e *Entry) { e.tls = cfg }
}

func (e *Entry) initLimiters() {
	limits := caps.Of(int64(e.cfg.Memory), 0, true)
	bodies := accept.WithBodies(bound.New(limits.Bodies))
	e.callerLimiter = accept.New(limits.CallerConnections, bound.New(limits.CallerRequests), bodies)
	e.peerLimiter = accept.New(limits.PeerConnections, bound.New(limits.PeerRequests), bodies)
}

func (e *Entry) initClients() {
	timeout := time.Duration(e.cfg.KeyValueTimeout)
	e.dial = dial.New(e.net.PeerClient())
	e.store = keyval.New(e.cfg.KeyValue, keyval.WithHTTP(e.net.Client()), keyval.WithTimeout(timeout))
	e.list = discov.New(e.cfg.InstanceList, discov.WithHTTP(e.net.Client()))
	e.weights = wstore.New(e.cfg.WeightStore, wstore.WithHTTP(e.net.Client()))
}

func (e *Entry) initMembership() {
	seed := uint64(e.incarnation)
	e.hub = hubs.New(e.heartbeat, e.conf, e.store,
		hubs.WithHTTP(e.net.ControlClient()),
		hubs.WithShouldBeHub(func() bool { return e.beats.ShouldBeHub() }),
		hubs.WithCandidates(func() []insts.Instance { return e.beats.Candidates() }),
		hubs.WithView(e.view), hubs.WithInstanceList(e.list.List), hubs.WithSeed(seed), hubs.WithLogger(e.log))
	e.beats = beats.New(func() *wire.BeatRequest { return &wire.BeatRequest{Entry: e.heartbeat()} },
		e.list.List, e.conf,
		beats.WithHTTP(e.net.ControlClient()), beats.WithView(e.view), beats.WithLocal(e.hub),
		beats.WithSeed(seed), beats.WithLogger(e.log), beats.WithOnLeaving(e.leavingListed.Store))
	e.jobs = jobrun.New(e.desiredJobs, e.newElector, e.runJob, jobrun.WithLog(e.log))
}

func (e *Entry) initAPIs() {
	e.guard = guard.New(e.log, e.meter, guard.WithoutProbe())
	// Entry instances do not detect network partitions, so that crash records are
	// always synchronized through the metadata store.
	e.qstore = qstore.New(&storeAdapter{kv: e.store}, e.guard, e.log, qstore.WithPartitioned(func() bool { return true }))
	e.gossip = gossip.New(&gossipPeers{entry: e}, e.guard, e.log, gossip.WithPollInterval(gossipPollInterval))
	e.relay = relay.New(e.cfg.Instance, e.view, e.dial,
		relay.WithLocality(e.cfg.DataCentre, e.cfg.Region), relay.WithRetryRatio(e.minRetryRatio), relay.WithGuard(e.guard))
	e.front = front.New(e.relay, e.conf,
		front.WithRecorder(e.observer), front.WithLog(e.log), front.WithMaxBody(int64(e.cfg.MaxBody)),
		front.WithTimeout(time.Duration(e.cfg.LiveTimeout)))
	e.train = train.New(e.conf, e, e.view, e.dial, train.WithLog(e.log))
	e.operatorAPI = opapi.New(change.New(e.store), e.conf, opapi.WithLog(e.log), opapi.WithConditions(e.conditions),
		opapi.WithPropagation(func(_ context.Context, revision int64) (spread.Report, error) {
			return e.beats.InForce(revision), nil
		}))
}

// leaving reports whether the instance accepts no new work.
func (e *Entry) leaving() bool {
	return e.stopping.Load() || e.leavingListed.Load()
}

// heartbeat returns the content of the next heartbeat.
func (e *Entry) heartbeat() *wire.EntryState {
	return &wire.EntryState{
		Instance:   e.cfg.Instance,
		DataCentre: e.cfg.DataCentre,
		Region:     e.cfg.Region,
		Address:    e.cfg.PeerListen,
		Boot:       e.incarnation,
		HasDisk:    e.cfg.DataDir != "",
		Leaving:    e.leaving(),
		Jobs:       e.jobs.Held(),
	}
}

// Run serves until ctx is done, and then stops gracefully: it reports "not ready"
// and continues to serve for the settings' readyGrace, so that the load balancer
// removes it, stops its jobs and releases their leases, and returns when the last
// request in flight has completed.
func (e *Entry) Run(ctx context.Context) error {
	if e.cfg.DataDir != "" {
		disk, err := blobdb.Open(e.cfg.DataDir, blobdb.WithLimit(int64(e.cfg.DataLimit)))
		if err != nil {
			return err
		}
		e.disk = disk
		defer func() { _ = disk.Close() }()
	}
	peers, err := httpd.Start(e.cfg.PeerListen, e.peerHandler(), httpd.WithListen(e.net.ListenPeers), httpd.WithLimiter(e.peerLimiter))
	if err != nil {
		return err
	}
	public, err := httpd.Start(e.cfg.Listen, e.handler(), httpd.WithListen(e.net.Listen), httpd.WithTLS(e.tls), httpd.WithLimiter(e.callerLimiter))
	if err != nil {
		return errors.CombineErrors(err, peers.Stop(ctx))
	}
	e.log.Info("listening", "address", public.Address(), "peers", peers.Address())
	background, stopBackground := context.WithCancel(context.WithoutCancel(ctx))
	defer stopBackground()
	jobsDone := e.start(ctx, background)
	select {
	case <-ctx.Done():
	case err := <-public.Done():
		return errors.Wrap(err, "serving callers")
	case err := <-peers.Done():
		return errors.Wrap(err, "serving peers")
	}
	return e.stop(public, peers, jobsDone)
}

func (e *Entry) start(ctx, background context.Context) <-chan struct{} {
	go e.callerLimiter.Watch(background, e.log, addressCallers)
	go e.peerLimiter.Watch(background, e.log, addressPeers)
	go e.beats.Run(background)
	go e.hub.Run(background)
	go e.guard.Run(background)
	go e.gossip.Run(background)
	go e.qstore.Run(background)
	done := make(chan struct{})
	go func() {
		defer close(done)
		e.jobs.Run(ctx)
	}()
	return done
}

func (e *Entry) stop(public, peers *httpd.Server, jobsDone <-chan struct{}) error {
	e.log.Info("stopping", "grace", time.Duration(e.cfg.ReadyGrace))
	e.stopping.Store(true)
	e.beats.Wake()
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(e.cfg.ReadyGrace+e.cfg.ShutdownTimeout))
	defer cancel()
	<-jobsDone
	select {
	case <-time.After(time.Duration(e.cfg.ReadyGrace)):
	case <-ctx.Done():
	}
	err := public.Stop(ctx)
	return errors.CombineErrors(err, peers.Stop(ctx))
}

func (e *Entry) handler() http.Handler {
	r := mux.NewRouter()
	r.UseEncodedPath()
	r.HandleFunc("/healthz", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("ok\n")) })
	r.HandleFunc("/readyz", e.ready)
	configured := r.NewRoute().Subrouter()
	configured.Use(e.requireConfig)
	e.front.Register(configured)
	e.train.Register(configured)
	e.operatorAPI.Register(r)
	e.observer.Register(r, e.setMetrics)
	qadmin.New(e.cfg.Instance, e.guard).Register(r)
	if e.tokenKeys == nil {
		return r
	}
	return e.tokenKeys.Middleware(r, auth.WithCallerHeader(front.CallerHeader))
}

// ready serves the readiness check of the platform's load balancer.
func (e *Entry) ready(w http.ResponseWriter, _ *http.Request) {
	switch {
	case e.leaving():
		http.Error(w, "leaving", http.StatusServiceUnavailable)
	case !e.beats.Ready():
		http.Error(w, "no configuration yet", http.StatusServiceUnavailable)
	default:
		_, _ = w.Write([]byte("ready\n"))
	}
}

// requireConfig rejects the requests of callers and trainers while this instance has no
// configuration. Without it they would be told that their model, service or subscription
// does not exist, and would not come back.
func (e *Entry) requireConfig(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !e.conf.Loaded() {
			e.meter.Count("not_loaded_rejections_total", 1)
			e.log.Debug("Request rejected: no configuration proved current yet.", "path", r.URL.Path)
			front.WriteError(w, "", &fault.NotRunError{
				Cause: causeNotLoaded, Reason: "this entry has no configuration yet", RetryAfter: notLoadedRetry,
			})
			return
		}
		next.ServeHTTP(w, r)
	})
}

func (e *Entry) peerHandler() http.Handler {
	m := http.NewServeMux()
	m.Handle(wireconnect.NewPeerServiceHandler(&peerHandler{Hub: e.hub, entry: e},
		connect.WithCompressMinBytes(minCompressBytes)))
	m.Handle(e.gossip.Handler())
	return m
}

// minRetryRatio returns the smallest retry budget of any policy.
func (e *Entry) minRetryRatio() float64 {
	ratio := -1.0
	for _, p := range e.conf.Policies() {
		if ratio < 0 || p.RetryBudget < ratio {
			ratio = p.RetryBudget
		}
	}
	if ratio < 0 {
		p, _ := e.conf.Policy("")
		return p.RetryBudget
	}
	return ratio
}

// desiredJobs returns the names of the jobs that the configuration requires. An
// instance that is leaving runs none.
func (e *Entry) desiredJobs() []string {
	if e.leaving() {
		return nil
	}
	out := []string{jobs.TombstoneGC}
	for name := range e.conf.Pools() {
		out = append(out, jobs.Pool(name))
	}
	for _, s := range e.conf.Services() {
		out = append(out, jobs.KeyOwners(s.Service))
	}
	slices.Sort(out)
	return slices.Compact(out)
}

func (e *Entry) newElector(job string, change func()) *lease.Elector {
	return lease.New(e.store, job, e.cfg.Instance,
		lease.WithAddress(e.cfg.PeerListen),
		lease.WithCandidates(e.candidates),
		lease.WithHolderLookup(e.view.ConfirmedHolder),
		lease.WithOnChange(change),
		lease.WithSeed(uint64(e.incarnation)),
		lease.WithLogger(e.log))
}

// candidates returns the entry instances that may lead jobs. The instance list is
// one of their sources, since an instance that has just started knows few members:
// after a restart of the fleet, all instances would consider themselves the first
// candidate of every job and query the metadata store at once.
func (e *Entry) candidates() []string {
	var out []string
	for _, c := range e.beats.Candidates() {
		out = append(out, c.ID)
	}
	if !slices.Contains(out, e.cfg.Instance) {
		out = append(out, e.cfg.Instance)
	}
	return out
}
