// Package simkv is a stand-in for the platform's key-value service. It keeps
// all in memory, counts each call, turns away what exceeds its rates, and fails
// as a test asks it to.
package simkv

import (
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/gorilla/mux"
	"github.com/lavendermux/lavendermux/sims/simsrv"
	"golang.org/x/time/rate"
)

const (
	// MaxValue bounds one value, in bytes.
	MaxValue = 1 << 20

	defaultHistory    = 10_000
	defaultWriteRate  = 300
	defaultReadRate   = 2000
	keyRoute          = "/v1/keys/{key:.+}"
	leaseRoute        = "/v1/leases/{lease:[0-9]+}"
	compactedProblem  = "the changes after this revision are no longer all kept"
	outOfRangeProblem = "is not a decimal number"
)

type (
	// Server is the stand-in. See New.
	Server struct {
		faults  *simsrv.Faults[faults]
		router  *mux.Router
		history int
		latency time.Duration
		writes  *rate.Limiter
		reads   *rate.Limiter

		mu     sync.Mutex
		store  *store
		counts map[string]int64
	}

	// Option changes a Server as New makes it.
	Option func(*Server)

	// faults are what a test can switch on.
	faults struct {
		// Down makes every request end without an answer.
		Down bool `json:"down"`
		// SlowMs delays every request, in milliseconds.
		SlowMs int64 `json:"slowMs"`
		// LoseAnswers is how many of the next writes take effect and then end
		// without an answer.
		LoseAnswers int `json:"loseAnswers"`
		// Gap makes the service forget its history of changes once, so that
		// each watch must start again.
		Gap bool `json:"gap"`
		// LapseAll ends all leases once, as if their terms had passed.
		LapseAll bool `json:"lapseAll"`
		// Lapse ends one lease once; 0 ends none.
		Lapse int64 `json:"lapse"`
	}
)

// New returns a service without keys. It serves HTTP. In a test with
// testing/synctest it is made inside the bubble: waiting on what was made
// outside of it stops virtual time.
//
//	kv := simkv.New(simkv.WithRates(300, 2000))
//	err := http.ListenAndServe(addr, kv)
func New(opts ...Option) *Server {
	s := &Server{
		history: defaultHistory,
		counts:  make(map[string]int64),
	}
	WithRates(defaultWriteRate, defaultReadRate)(s)
	for _, opt := range opts {
		opt(s)
	}
	s.store = newStore(s.history)
	s.faults = simsrv.New(simsrv.WithAction(s.strike))
	s.router = s.routes()
	return s
}

// WithRates sets how many writes and reads a second the service takes; a second
// of them may come at once. The default is 300 and 2000.
func WithRates(writes, reads float64) Option {
	return func(s *Server) {
		s.writes = rate.NewLimiter(rate.Limit(writes), max(1, int(writes)))
		s.reads = rate.NewLimiter(rate.Limit(reads), max(1, int(reads)))
	}
}

// WithLatency sets how long each call takes, beside a watch's waiting. The
// default is no time.
func WithLatency(d time.Duration) Option {
	return func(s *Server) { s.latency = d }
}

// WithHistory sets how many changes the service keeps for watches. The default
// is 10000.
func WithHistory(n int) Option {
	return func(s *Server) { s.history = n }
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.router.ServeHTTP(w, r)
}

// SetDown makes every request end without an answer, or ends that.
func (s *Server) SetDown(down bool) {
	s.faults.Update(func(f *faults) { f.Down = down })
}

// SetDelay delays every request by d; 0 ends that.
func (s *Server) SetDelay(d time.Duration) {
	s.faults.Update(func(f *faults) { f.SlowMs = d.Milliseconds() })
}

// LoseAnswers makes the next n writes take effect and end without an answer.
func (s *Server) LoseAnswers(n int) {
	s.faults.Update(func(f *faults) { f.LoseAnswers = n })
}

// Gap makes the service forget its history, so that each watch must start again.
func (s *Server) Gap() {
	s.faults.Update(func(f *faults) { f.Gap = true })
}

// LapseAll ends all leases now and removes their keys.
func (s *Server) LapseAll() {
	s.faults.Update(func(f *faults) { f.LapseAll = true })
}

// Lapse ends one lease now and removes its keys.
func (s *Server) Lapse(lease int64) {
	s.faults.Update(func(f *faults) { f.Lapse = lease })
}

// Counts returns the calls so far: "reads", "writes", "watches", and "limited"
// for those that the rates turned away. A waiting watch counts once.
func (s *Server) Counts() map[string]int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[string]int64, len(s.counts))
	for kind, n := range s.counts {
		out[kind] = n
	}
	return out
}

// strike carries out the faults that happen once, and takes them back.
func (s *Server) strike(f faults) {
	if f.Down {
		// Watches that wait already would otherwise outlive the start of an
		// outage, which no real one does.
		s.mu.Lock()
		s.store.wake()
		s.mu.Unlock()
	}
	if !f.Gap && !f.LapseAll && f.Lapse == 0 {
		return
	}
	s.mu.Lock()
	if f.Gap {
		s.store.compact()
	}
	if f.LapseAll {
		s.store.lapseAll()
	}
	s.store.lapse(f.Lapse)
	s.mu.Unlock()
	s.faults.Update(func(f *faults) {
		f.Gap = false
		f.LapseAll = false
		f.Lapse = 0
	})
}

func (s *Server) routes() *mux.Router {
	r := mux.NewRouter().SkipClean(true)
	r.Handle("/faults", s.faults).Methods(http.MethodGet, http.MethodPost)
	r.HandleFunc("/counts", s.handleCounts).Methods(http.MethodGet)
	r.HandleFunc(keyRoute, s.call("reads", s.handleGet)).Methods(http.MethodGet)
	r.HandleFunc("/v1/range", s.call("reads", s.handleRange)).Methods(http.MethodGet)
	r.HandleFunc("/v1/watch", s.call("watches", s.handleWatch)).Methods(http.MethodGet)
	r.HandleFunc(keyRoute, s.call("writes", s.handlePut)).Methods(http.MethodPut)
	r.HandleFunc(keyRoute, s.call("writes", s.handleDelete)).Methods(http.MethodDelete)
	r.HandleFunc("/v1/leases", s.call("writes", s.handleGrant)).Methods(http.MethodPost)
	r.HandleFunc(leaseRoute+"/renew", s.call("writes", s.handleRenew)).Methods(http.MethodPost)
	r.HandleFunc(leaseRoute, s.call("writes", s.handleRevoke)).Methods(http.MethodDelete)
	return r
}

// call counts a request, holds it to the rates and applies the faults that
// strike any request.
func (s *Server) call(kind string, next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		f := s.faults.Get()
		simsrv.Pause(r.Context(), s.latency+time.Duration(f.SlowMs)*time.Millisecond)
		if s.faults.Get().Down {
			simsrv.Drop()
		}
		s.count(kind)
		if !s.limiter(kind).Allow() {
			s.count("limited")
			simsrv.Fail(w, http.StatusTooManyRequests, "more "+kind+" a second than the service takes")
			return
		}
		next(w, r)
		if kind == "writes" && s.faults.Take(func(f *faults) *int { return &f.LoseAnswers }) {
			simsrv.Drop()
		}
	}
}

func (s *Server) limiter(kind string) *rate.Limiter {
	if kind == "writes" {
		return s.writes
	}
	return s.reads
}

func (s *Server) count(kind string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts[kind]++
}

func (s *Server) handleCounts(w http.ResponseWriter, _ *http.Request) {
	simsrv.Reply(w, http.StatusOK, s.Counts())
}

// number reads a decimal parameter; one that is missing is 0.
func number(w http.ResponseWriter, name, value string) (int64, bool) {
	if value == "" {
		return 0, true
	}
	n, err := strconv.ParseInt(value, 10, 64)
	if err != nil {
		simsrv.Fail(w, http.StatusBadRequest, name+": "+strconv.Quote(value)+" "+outOfRangeProblem)
	}
	return n, err == nil
}
