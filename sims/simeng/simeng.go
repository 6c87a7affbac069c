// Package simeng is a stand-in for a model engine. It batches continuously in a
// limited number of slots, keeps the prefixes of prompts in a limited cache,
// takes orders about weights, and fails as a test asks it to. Time is that of
// package time, so testing/synctest makes it virtual.
package simeng

import (
	"net/http"
	"sync"
	"time"

	"github.com/gorilla/mux"
	"github.com/lavendermux/lavendermux/sims/simsrv"
)

const (
	defaultSlots       = 16
	defaultQueue       = 256
	defaultStreamRate  = 60.0
	defaultTotalRate   = 600.0
	defaultPrefillRate = 8000.0
	defaultTick        = 50 * time.Millisecond
	defaultStageTime   = 200 * time.Millisecond
	defaultSwitchTime  = 300 * time.Millisecond
	defaultLoadLag     = time.Second
	defaultEventLag    = 2 * time.Second
	defaultEventGap    = 0.05
	defaultCacheBlocks = 4096
	defaultMinLength   = 40.0
	defaultTail        = 1.5
	defaultRole        = "rollout"
)

type (
	// Server is the stand-in. See New.
	Server struct {
		config config
		faults *simsrv.Faults[faults]
		router *mux.Router
		// ordering holds one value while an order changes weights in use: the
		// engine changes them one at a time.
		ordering chan struct{}

		mu      sync.Mutex
		process *process
		// What follows outlives a crash: it is what a test knows, not the engine.
		counts countsResponse
		ran    map[string]int
	}

	// Option changes a Server as New makes it.
	Option func(*config)

	config struct {
		models      map[string]string
		role        string
		seed        uint64
		slots       int
		queue       int
		preempt     bool
		streamRate  float64
		totalRate   float64
		prefillRate float64
		tick        time.Duration
		minLength   float64
		tail        float64
		cacheBlocks int
		stageTime   time.Duration
		switchTime  time.Duration
		memory      int
		loadLag     time.Duration
		eventLag    time.Duration
		eventGap    float64
		weights     string
		http        *http.Client
		checksFence bool
		silent      bool
	}

	// faults are what a test can switch on.
	faults struct {
		// Down makes every request end without an answer. What runs goes on.
		Down bool `json:"down"`
		// SlowMs delays every request, in milliseconds.
		SlowMs int64 `json:"slowMs"`
		// Slowness divides the rate of tokens; 0 and 1 leave it.
		Slowness float64 `json:"slowness"`
		// Hang stops streams and leaves requests without an answer, on open
		// connections.
		Hang bool `json:"hang"`
		// Silent makes tokens carry no version.
		Silent bool `json:"silent"`
		// IgnoreFence makes the engine take orders with old fencing numbers.
		IgnoreFence bool `json:"ignoreFence"`
		// FailSwitches is how many of the next switches fail halfway: the
		// engine says so, and does not know its weights until the next switch.
		FailSwitches int `json:"failSwitches"`
		// FailStages is how many of the next stagings fail.
		FailStages int `json:"failStages"`
		// LoseOrders is how many of the next orders are carried out and end
		// without an answer.
		LoseOrders int `json:"loseOrders"`
		// Crash ends all connections once and forgets all but the settings; the
		// engine answers nobody for RestartMs, then holds its first versions.
		Crash     bool  `json:"crash"`
		RestartMs int64 `json:"restartMs"`
	}
)

// New returns an engine. It serves HTTP. In a test with testing/synctest it is
// made inside the bubble: waiting on what was made outside of it stops virtual
// time.
//
//	e := simeng.New(simeng.WithModel("draft", "1"), simeng.WithSlots(32))
//	err := http.ListenAndServe(addr, e)
func New(opts ...Option) *Server {
	s := &Server{
		config:   defaults(),
		ordering: make(chan struct{}, 1),
		ran:      make(map[string]int),
	}
	for _, opt := range opts {
		opt(&s.config)
	}
	s.faults = simsrv.New(simsrv.WithAction(s.strike))
	s.process = newProcess(&s.config)
	s.router = s.routes()
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.router.ServeHTTP(w, r)
}

// Crash drops all connections and forgets all that the engine held. For the
// time of restart it answers nobody; then it serves its first versions.
func (s *Server) Crash(restart time.Duration) {
	s.mu.Lock()
	old := s.process
	s.process = newProcess(&s.config)
	s.process.starts = time.Now().Add(restart)
	s.mu.Unlock()
	close(old.crashed)
}

// SetDown makes every request end without an answer, or ends that.
func (s *Server) SetDown(down bool) {
	s.faults.Update(func(f *faults) { f.Down = down })
}

// SetHang stops all streams and answers nobody, or ends that.
func (s *Server) SetHang(hang bool) {
	s.faults.Update(func(f *faults) { f.Hang = hang })
}

// SetSlowness divides the rate of tokens by x; 1 ends that.
func (s *Server) SetSlowness(x float64) {
	s.faults.Update(func(f *faults) { f.Slowness = x })
}

// SetSilent makes tokens carry no version, or ends that.
func (s *Server) SetSilent(silent bool) {
	s.faults.Update(func(f *faults) { f.Silent = silent })
}

// FailSwitches makes the next n switches fail halfway.
func (s *Server) FailSwitches(n int) {
	s.faults.Update(func(f *faults) { f.FailSwitches = n })
}

// FailStages makes the next n stagings fail.
func (s *Server) FailStages(n int) {
	s.faults.Update(func(f *faults) { f.FailStages = n })
}

// LoseOrders makes the next n orders take effect and end without an answer.
func (s *Server) LoseOrders(n int) {
	s.faults.Update(func(f *faults) { f.LoseOrders = n })
}

func (s *Server) strike(f faults) {
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
	r.HandleFunc("/v1/generate", s.call(s.handleGenerate)).Methods(http.MethodPost)
	r.HandleFunc("/v1/generate/{id}/cancel", s.call(s.handleCancel)).Methods(http.MethodPost)
	r.HandleFunc("/v1/orders", s.call(s.handleOrder)).Methods(http.MethodPost)
	r.HandleFunc("/v1/state", s.call(s.handleState)).Methods(http.MethodGet)
	r.HandleFunc("/v1/kvcache/{id}", s.call(s.handleExport)).Methods(http.MethodGet)
	r.HandleFunc("/v1/kvcache/{id}", s.call(s.handleImport)).Methods(http.MethodPut)
	r.HandleFunc("/v1/cacheEvents", s.call(s.handleEvents)).Methods(http.MethodGet)
	return r
}

// call applies the faults that strike any request, and hands the request to the
// engine's present process, which a crash in the middle of it ends.
func (s *Server) call(next func(http.ResponseWriter, *http.Request, *process)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		f := s.faults.Get()
		simsrv.Pause(r.Context(), time.Duration(f.SlowMs)*time.Millisecond)
		s.mu.Lock()
		p := s.process
		s.mu.Unlock()
		if s.faults.Get().Down || time.Now().Before(p.starts) {
			simsrv.Drop()
		}
		s.hang(r, p)
		next(w, r, p)
	}
}

// hang waits until the engine no longer hangs. A caller who gives up, or a
// crash, ends the request.
func (s *Server) hang(r *http.Request, p *process) {
	for s.faults.Get().Hang {
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			_ = s.faults.Wait(r.Context(), func(f faults) bool { return !f.Hang })
		}()
		select {
		case <-ended:
		case <-p.crashed:
			simsrv.Drop()
		}
		if r.Context().Err() != nil {
			simsrv.Drop()
		}
	}
}
