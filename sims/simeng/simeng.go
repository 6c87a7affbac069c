// Package simeng simulates a model engine over HTTP: continuous batching with a
// limited number of slots, an LRU prefix cache, orders that stage and switch
// weights, and fault injection. It uses only package time, so testing/synctest
// can run it in virtual time.
package simeng

import (
	"net/http"
	"sync"
	"time"

	"github.com/gorilla/mux"
	"github.com/lavendermux/lavendermux/sims/simsrv"
)

const (
	defaultSlots        = 16
	defaultQueue        = 256
	defaultStreamRate   = 60.0
	defaultTotalRate    = 600.0
	defaultPrefillRate  = 8000.0
	defaultTick         = 50 * time.Millisecond
	defaultStageTime    = 200 * time.Millisecond
	defaultSwitchTime   = 300 * time.Millisecond
	defaultLoadLag      = time.Second
	defaultEventLag     = 2 * time.Second
	defaultEventLoss    = 0.05
	defaultCacheBlocks  = 4096
	defaultMinLength    = 40.0
	defaultTailExponent = 1.5
	defaultRole         = "rollout"
)

type (
	// Server is a simulated engine. See New.
	Server struct {
		config config
		faults *simsrv.Faults[faults]
		router *mux.Router
		// switchSem is a semaphore that serializes switches: the engine runs one at
		// a time.
		switchSem chan struct{}

		mu      sync.Mutex
		process *process
		// The counters survive a crash: they are for tests and unknown to the
		// engine.
		counts    countsResponse
		runCounts map[string]int
	}

	// Option configures a Server in New.
	Option func(*config)

	config struct {
		models       map[string]string
		role         string
		seed         uint64
		slots        int
		queue        int
		preempt      bool
		streamRate   float64
		totalRate    float64
		prefillRate  float64
		tick         time.Duration
		minLength    float64
		tailExponent float64
		cacheBlocks  int
		stageTime    time.Duration
		switchTime   time.Duration
		maxVersions  int
		loadLag      time.Duration
		eventLag     time.Duration
		eventLoss    float64
		weightStore  string
		http         *http.Client
		checksFence  bool
		omitVersions bool
	}

	// faults are the faults that a test can inject.
	faults struct {
		// Down aborts every new request without a response. Running streams
		// continue.
		Down bool `json:"down"`
		// SlowMs delays every request, in milliseconds.
		SlowMs int64 `json:"slowMs"`
		// Slowdown divides the token rate; 0 and 1 have no effect.
		Slowdown float64 `json:"slowness"`
		// Hang stops streams and leaves requests unanswered while their
		// connections stay open.
		Hang bool `json:"hang"`
		// OmitVersions omits the weight version from events.
		OmitVersions bool `json:"silent"`
		// IgnoreFence makes the engine accept orders with stale fencing tokens.
		IgnoreFence bool `json:"ignoreFence"`
		// FailSwitches is how many of the next switches fail halfway: the engine
		// responds with an error and reports no version until the next switch.
		FailSwitches int `json:"failSwitches"`
		// FailStages is how many of the next stagings fail.
		FailStages int `json:"failStages"`
		// LoseOrderResponses is how many of the next orders are executed without a
		// response.
		LoseOrderResponses int `json:"loseOrders"`
		// Crash drops all connections once and loses all state but the
		// configuration. The engine is down for RestartMs, in milliseconds, and
		// restarts with its initial versions.
		Crash     bool  `json:"crash"`
		RestartMs int64 `json:"restartMs"`
	}
)

// New returns an engine, which is an http.Handler. A test with testing/synctest
// must call New inside the bubble: waiting on a channel from outside the bubble
// stops virtual time.
//
//	e := simeng.New(simeng.WithModel("draft", "1"), simeng.WithSlots(32))
//	err := http.ListenAndServe(addr, e)
func New(opts ...Option) *Server {
	s := &Server{
		config:    defaults(),
		switchSem: make(chan struct{}, 1),
		runCounts: make(map[string]int),
	}
	for _, opt := range opts {
		opt(&s.config)
	}
	s.faults = simsrv.New(simsrv.WithOnChange(s.applyCrash))
	s.process = newProcess(&s.config)
	s.router = s.routes()
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.router.ServeHTTP(w, r)
}

// Crash drops all connections and loses all state. The engine is down for
// restart, then serves its initial versions.
func (s *Server) Crash(restart time.Duration) {
	s.mu.Lock()
	old := s.process
	s.process = newProcess(&s.config)
	s.process.readyAt = time.Now().Add(restart)
	s.mu.Unlock()
	close(old.crashed)
}

// SetDown sets whether every request is aborted without a response.
func (s *Server) SetDown(down bool) {
	s.faults.Update(func(f *faults) { f.Down = down })
}

// SetHang sets whether all streams stop and requests stay unanswered.
func (s *Server) SetHang(hang bool) {
	s.faults.Update(func(f *faults) { f.Hang = hang })
}

// SetSlowdown divides the token rate by x; 1 restores it.
func (s *Server) SetSlowdown(x float64) {
	s.faults.Update(func(f *faults) { f.Slowdown = x })
}

// SetOmitVersions sets whether events omit the weight version.
func (s *Server) SetOmitVersions(silent bool) {
	s.faults.Update(func(f *faults) { f.OmitVersions = silent })
}

// FailSwitches makes the next n switches fail halfway.
func (s *Server) FailSwitches(n int) {
	s.faults.Update(func(f *faults) { f.FailSwitches = n })
}

// FailStages makes the next n stagings fail.
func (s *Server) FailStages(n int) {
	s.faults.Update(func(f *faults) { f.FailStages = n })
}

// LoseOrderResponses makes the next n orders take effect without a response.
func (s *Server) LoseOrderResponses(n int) {
	s.faults.Update(func(f *faults) { f.LoseOrderResponses = n })
}

func (s *Server) applyCrash(f faults) {
	if !f.Crash {
		return
	}
	s.Crash(time.Duration(f.RestartMs) * time.Millisecond)
	s.faults.Update(func(f *faults) { f.Crash = false })
}

func (s *Server) routes() *mux.Router {
	r := mux.NewRouter().SkipClean(true).UseEncodedPath()
	r.Handle("/faults", s.faults).Methods(http.MethodGet, http.MethodPost)
	r.HandleFunc("/counts", s.handleCounts).Methods(http.MethodGet)
	r.HandleFunc("/ran", s.handleRan).Methods(http.MethodGet)
	r.HandleFunc("/v1/generate", s.withFaults(s.handleGenerate)).Methods(http.MethodPost)
	r.HandleFunc("/v1/generate/{id}/cancel", s.withFaults(s.handleCancel)).Methods(http.MethodPost)
	r.HandleFunc("/v1/orders", s.withFaults(s.handleOrder)).Methods(http.MethodPost)
	r.HandleFunc("/v1/state", s.withFaults(s.handleState)).Methods(http.MethodGet)
	r.HandleFunc("/v1/kvcache/{id}", s.withFaults(s.handleExport)).Methods(http.MethodGet)
	r.HandleFunc("/v1/kvcache/{id}", s.withFaults(s.handleImport)).Methods(http.MethodPut)
	r.HandleFunc("/v1/cacheEvents", s.withFaults(s.handleEvents)).Methods(http.MethodGet)
	return r
}

// withFaults applies the faults that affect every request and passes the current
// process to next. A crash ends that process while the request runs.
func (s *Server) withFaults(next func(http.ResponseWriter, *http.Request, *process)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		f := s.faults.Get()
		simsrv.Sleep(r.Context(), time.Duration(f.SlowMs)*time.Millisecond)
		s.mu.Lock()
		p := s.process
		s.mu.Unlock()
		if s.faults.Get().Down || time.Now().Before(p.readyAt) {
			simsrv.Abort()
		}
		s.waitWhileHung(r, p)
		next(w, r, p)
	}
}

// waitWhileHung blocks while the engine hangs. It aborts the request if the client
// disconnects or the engine crashes.
func (s *Server) waitWhileHung(r *http.Request, p *process) {
	for s.faults.Get().Hang {
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			_ = s.faults.Wait(r.Context(), func(f faults) bool { return !f.Hang })
		}()
		select {
		case <-ended:
		case <-p.crashed:
			simsrv.Abort()
		}
		if r.Context().Err() != nil {
			simsrv.Abort()
		}
	}
}
