// Package side is the sidecar process of an endpoint: all work and all orders for
// the endpoint pass through it.
package side

import (
	"context"
	"fmt"
	"io"
	"math"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"
	"github.com/gorilla/mux"
	"github.com/lavendermux/lavendermux/accept"
	"github.com/lavendermux/lavendermux/admit"
	"github.com/lavendermux/lavendermux/beats"
	"github.com/lavendermux/lavendermux/bound"
	"github.com/lavendermux/lavendermux/caps"
	"github.com/lavendermux/lavendermux/confs"
	"github.com/lavendermux/lavendermux/dedup"
	"github.com/lavendermux/lavendermux/dial"
	"github.com/lavendermux/lavendermux/discov"
	"github.com/lavendermux/lavendermux/engine"
	"github.com/lavendermux/lavendermux/eproxy"
	"github.com/lavendermux/lavendermux/gate"
	"github.com/lavendermux/lavendermux/httpd"
	"github.com/lavendermux/lavendermux/idem"
	"github.com/lavendermux/lavendermux/keyval"
	"github.com/lavendermux/lavendermux/meter"
	"github.com/lavendermux/lavendermux/netset"
	"github.com/lavendermux/lavendermux/order"
	"github.com/lavendermux/lavendermux/owners"
	"github.com/lavendermux/lavendermux/plain"
	"github.com/lavendermux/lavendermux/pool"
	"github.com/lavendermux/lavendermux/prober"
	"github.com/lavendermux/lavendermux/scfg"
	"github.com/lavendermux/lavendermux/slots"
	"github.com/lavendermux/lavendermux/wire"
	"github.com/lavendermux/lavendermux/wire/wireconnect"
)

// rolePollInterval is how soon a change of the engine's role takes effect on
// admission; the proxy itself detects the change within a second.
const (
	rolePollInterval = time.Second
	// addressPeers is the name of the address in logs and metrics.
	addressPeers = "peers"
)

type (
	// Sidecar is one sidecar. See New and Run.
	Sidecar struct {
		cfg          scfg.Settings
		net          *netset.Network
		log          *log.Logger
		conf         *confs.Cache
		dial         *dial.Dialer
		store        *keyval.Client
		instanceList *discov.Client
		beats        *beats.Client
		gate         *gate.Limiter
		// engine is set for a model engine, executor for a plain service.
		engine      *eproxy.Proxy
		executor    *dedup.Executor
		owners      *owners.History
		incarnation int64
		meter       *meter.Meter
		// limiter bounds what clients may occupy.
		limiter *accept.Limiter
		// siblings is the number of live endpoints of the service; 0 if unknown.
		siblings atomic.Int64
		// answerSeq numbers the responses to orders; guarded by answerMu.
		answerMu  sync.Mutex
		answerSeq int64
		// poolMinimums has this endpoint's share of each pool's minimum for rollouts;
		// only used by watchConfig.
		poolMinimums map[string]int
	}

	// Option configures a Sidecar in New.
	Option func(*Sidecar)

	// endpointServer is implemented for model engines and for plain services.
	endpointServer interface {
		Drain()
		Leave(leaving bool)
		Idle(ctx context.Context) error
		Describe(st *wire.EndpointState)
		Load() *wire.DoorLoad
	}
)

// New returns the sidecar with its settings.
//
//	s := side.New(cfg, side.WithLog(logger))
//	err := s.Run(ctx)
func New(cfg scfg.Settings, opts ...Option) *Sidecar {
	s := &Sidecar{
		cfg:          cfg,
		net:          netset.New(),
		log:          log.New(io.Discard),
		conf:         confs.New(),
		incarnation:  time.Now().UnixNano(),
		meter:        meter.New(),
		poolMinimums: map[string]int{},
	}
	s.owners = owners.New(cfg.Instance)
	limits := caps.Of(int64(cfg.Memory), 0, false)
	s.limiter = accept.New(limits.PeerConnections, bound.New(limits.PeerRequests), accept.WithBodies(bound.New(limits.Bodies)))
	for _, opt := range opts {
		opt(s)
	}
	s.dial = dial.New(s.net.PeerClient())
	s.store = keyval.New(cfg.KeyValue, keyval.WithHTTP(s.net.Client()), keyval.WithTimeout(time.Duration(cfg.KeyValueTimeout)))
	s.instanceList = discov.New(cfg.InstanceList, discov.WithHTTP(s.net.Client()))
	s.beats = beats.New(s.heartbeat, s.instanceList.List, s.conf,
		beats.WithHTTP(s.net.ControlClient()), beats.WithSeed(uint64(s.incarnation)), beats.WithLogger(s.log),
		beats.WithOnLeaving(func(leaving bool) { s.endpointServer().Leave(leaving) }),
		beats.WithOnSiblings(s.siblings.Store))
	s.initEndpoint()
	return s
}

// WithNet sets the network of the sidecar. The default is TCP.
func WithNet(n *netset.Network) Option {
	return func(s *Sidecar) { s.net = n }
}

// WithLog sets the logger. By default nothing is logged.
func WithLog(l *log.Logger) Option {
	return func(s *Sidecar) { s.log = l }
}

func (s *Sidecar) initEndpoint() {
	if s.cfg.PlainService != "" {
		service := plain.New(s.cfg.PlainService, plain.WithHTTP(s.net.Client()))
		s.executor = dedup.New(service, idem.New(), dedup.WithOwner(s.ownsKey), dedup.WithProber(s.newProber(s.cfg.PlainService)))
		return
	}
	s.gate = gate.New(slots.New(s.cfg.Slots))
	model := engine.New(s.cfg.Engine, engine.WithHTTP(s.net.Client()))
	s.engine = eproxy.New(model, engineGate{s.gate}, eproxy.WithLog(s.log), eproxy.WithProber(s.newProber(s.cfg.Engine)))
}

// newProber returns the crash detector of the endpoint at base, or nil if it cannot
// be created.
func (s *Sidecar) newProber(base string) *prober.Checker {
	c, err := prober.New(fmt.Sprintf("%s/%d", s.cfg.Instance, s.incarnation), base, s.net.Dial)
	if err != nil {
		s.log.Error("prober not created: crashes of the endpoint are not told from lost answers", "address", base, "err", err)
		return nil
	}
	return c
}

func (s *Sidecar) endpointServer() endpointServer {
	if s.executor != nil {
		return s.executor
	}
	return s.engine
}

// ownsKey reports whether this endpoint owns an idempotency key, and since when.
func (s *Sidecar) ownsKey(key string) (bool, time.Time) {
	s.updateOwners()
	return s.owners.Owns(key)
}

func (s *Sidecar) updateOwners() {
	h := s.conf.Owners(s.cfg.Service)
	s.owners.Update(h.Sidecars, h.InitialIncarnations[s.cfg.Instance] == s.incarnation, time.Now())
}

// Run serves until ctx is done, then drains: it rejects new work immediately and
// returns when the last request in flight has completed, or after the settings'
// stopWithin.
func (s *Sidecar) Run(ctx context.Context) error {
	server, err := httpd.Start(s.cfg.Listen, s.router(), httpd.WithListen(s.net.ListenPeers), httpd.WithLimiter(s.limiter))
	if err != nil {
		return err
	}
	s.log.Info("listening", "address", server.Address(), "service", s.cfg.Service, "fencing", s.cfg.Fencing)
	// The background context outlives ctx: the sidecar continues to send heartbeats
	// while it drains, so that entry instances learn of it.
	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	s.start(background)
	select {
	case <-ctx.Done():
	case err := <-server.Done():
		return errors.Wrap(err, "serving")
	}
	return s.stop(server)
}

func (s *Sidecar) router() *mux.Router {
	r := mux.NewRouter()
	path, h := wireconnect.NewDoorServiceHandler(&handler{sidecar: s})
	r.PathPrefix(path).Handler(h)
	r.HandleFunc("/healthz", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("ok\n")) })
	s.meter.Register(r, s.setMetrics)
	return r
}

// setMetrics updates the gauges of the sidecar.
func (s *Sidecar) setMetrics() {
	st := s.heartbeat().GetEndpoint()
	s.limiter.SetMetrics(s.meter.Set, addressPeers)
	s.meter.Set("configuration_revision", float64(s.conf.Revision()))
	s.meter.Set("door_running", float64(st.GetLoad().GetRunning()))
	s.meter.Set("door_waiting", float64(st.GetLoad().GetWaiting()))
	s.meter.Set("door_ready", boolValue(st.GetReady()))
	s.meter.Set("door_draining", boolValue(st.GetDraining()))
}

func boolValue(on bool) float64 {
	if on {
		return 1
	}
	return 0
}

func (s *Sidecar) start(ctx context.Context) {
	go s.limiter.Watch(ctx, s.log, addressPeers)
	go s.beats.Run(ctx)
	if s.engine == nil {
		go s.watchKeyOwners(ctx)
		return
	}
	go s.engine.Watch(ctx)
	go s.learnFence(ctx)
	go s.watchConfig(ctx)
}

func (s *Sidecar) stop(server *httpd.Server) error {
	s.log.Info("draining")
	s.endpointServer().Drain()
	s.beats.Wake()
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(s.cfg.ShutdownTimeout))
	defer cancel()
	if err := s.endpointServer().Idle(ctx); err != nil {
		s.log.Warn("requests are cut off: they ran longer than stopWithin", "load", s.endpointServer().Load())
	}
	return server.Stop(ctx)
}

// heartbeat returns the content of the next heartbeat.
func (s *Sidecar) heartbeat() *wire.BeatRequest {
	st := &wire.EndpointState{
		Instance:   s.cfg.Instance,
		Service:    s.cfg.Service,
		DataCentre: s.cfg.DataCentre,
		Region:     s.cfg.Region,
		Address:    s.cfg.Listen,
		Boot:       s.incarnation,
	}
	s.endpointServer().Describe(st)
	return &wire.BeatRequest{Endpoint: st}
}

// watchConfig applies the reserve for live work and the callers' shares whenever
// they or the engine's role change. An engine in the live role runs no rollouts.
func (s *Sidecar) watchConfig(ctx context.Context) {
	tick := time.NewTicker(rolePollInterval)
	defer tick.Stop()
	for {
		changed := s.conf.Changed()
		s.gate.SetSlotOptions(s.slotOptions()...)
		for _, p := range s.conf.Policies() {
			for _, q := range p.Callers {
				q = q.WithDefaults()
				s.gate.SetShareOptions(admit.WithWeight(q.Caller, q.Weight), admit.WithMaxShare(q.Caller, q.MaxShare))
			}
		}
		select {
		case <-changed:
		case <-tick.C:
		case <-ctx.Done():
			return
		}
	}
}

// slotOptions returns the current partition of the slots: the greatest reserve for
// live work of any pool of this service, and this endpoint's share of each pool's
// minimum for rollouts. In the live role all slots are reserved for live work; the
// pool's leader ensures that the other endpoints meet the minimum.
func (s *Sidecar) slotOptions() []slots.Option {
	out := make([]slots.Option, 0, len(s.poolMinimums)+1)
	for name := range s.poolMinimums {
		s.poolMinimums[name] = 0
	}
	reserve := 0.0
	for name, p := range s.conf.Pools() {
		if p.Service == s.cfg.Service {
			reserve = max(reserve, p.LiveReserve)
			s.poolMinimums[name] = s.localMinimum(p)
			s.gate.SetLimit(p.QueueLimit)
		}
	}
	if s.engine.Role() == order.RoleLive {
		reserve = 1
	}
	for name, n := range s.poolMinimums {
		out = append(out, slots.WithPoolMinimum(slotPartition(name, wire.WorkKind_WORK_KIND_ROLLOUT), n))
	}
	return append(out, slots.WithLiveReserve(reserve))
}

// localMinimum returns this endpoint's share of a pool's minimum for rollouts. It
// excludes the slots reserved for live work: a minimum above the capacity would
// otherwise starve live work permanently.
func (s *Sidecar) localMinimum(p pool.Pool) int {
	siblings := s.siblings.Load()
	if siblings == 0 || s.engine.Role() == order.RoleLive {
		return 0
	}
	share := math.Ceil(float64(p.MinimumSlots) / float64(siblings))
	available := math.Floor(float64(s.cfg.Slots) * (1 - p.LiveReserve))
	return int(min(share, available))
}

// watchKeyOwners records each list of key owners when it arrives, so that the time
// since when this endpoint owns a key is known before a request needs it.
func (s *Sidecar) watchKeyOwners(ctx context.Context) {
	for {
		changed := s.conf.Changed()
		s.updateOwners()
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// pools returns the sorted names of the pools that this endpoint's service serves.
func (s *Sidecar) pools() []string {
	var names []string
	for name, p := range s.conf.Pools() {
		if p.Service == s.cfg.Service {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}
