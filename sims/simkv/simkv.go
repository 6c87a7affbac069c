// Package simkv simulates the platform's key-value service in memory: revisions,
// leases, watches, rate limits, call counts and fault injection.
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
	// MaxValueBytes is the maximum size of a value in bytes.
	MaxValueBytes = 1 << 20

	defaultHistory    = 10_000
	defaultWriteRate  = 300
	defaultReadRate   = 2000
	keyRoute          = "/v1/keys/{key:.+}"
	leaseRoute        = "/v1/leases/{lease:[0-9]+}"
	compactedProblem  = "the changes after this revision are no longer all kept"
	notDecimalProblem = "is not a decimal number"
)

type (
	// Server is a simulated key-value service. See New.
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

	// Option configures a Server in New.
	Option func(*Server)

	// faults are the faults that a test can inject.
	faults struct {
		// Down aborts every request without a response.
		Down bool `json:"down"`
		// SlowMs delays every request, in milliseconds.
		SlowMs int64 `json:"slowMs"`
		// LoseResponses is how many of the next writes take effect without a
		// response.
		LoseResponses int `json:"loseAnswers"`
		// Compact compacts the history of changes once, so that each watch must list
		// again.
		Compact bool `json:"gap"`
		// ExpireAllLeases expires all leases once.
		ExpireAllLeases bool `json:"lapseAll"`
		// ExpireLease is the ID of a lease to expire once; 0 means none.
		ExpireLease int64 `json:"lapse"`
	}
)

// New returns a service without keys, which is an http.Handler. A test with
// testing/synctest must call New inside the bubble: waiting on a channel from
// outside the bubble stops virtual time.
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
	s.faults = simsrv.New(simsrv.WithOnChange(s.applyOneShotFaults))
	s.router = s.routes()
	return s
}

// WithRates sets the rate limits of writes and reads per second, each with a burst
// of one second. The defaults are 300 and 2000.
func WithRates(writes, reads float64) Option {
	return func(s *Server) {
		s.writes = rate.NewLimiter(rate.Limit(writes), max(1, int(writes)))
		s.reads = rate.NewLimiter(rate.Limit(reads), max(1, int(reads)))
	}
}

// WithLatency sets the latency of each call, in addition to the waiting time of a
// watch. The default is 0.
func WithLatency(d time.Duration) Option {
	return func(s *Server) { s.latency = d }
}

// WithHistory sets how many changes the service retains for watches. The default
// is 10000.
func WithHistory(n int) Option {
	return func(s *Server) { s.history = n }
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.router.ServeHTTP(w, r)
}

// SetDown sets whether every request is aborted without a response.
func (s *Server) SetDown(down bool) {
	s.faults.Update(func(f *faults) { f.Down = down })
}

// SetDelay delays every request by d; 0 removes the delay.
func (s *Server) SetDelay(d time.Duration) {
	s.faults.Update(func(f *faults) { f.SlowMs = d.Milliseconds() })
}

// LoseResponses makes the next n writes take effect without a response.
func (s *Server) LoseResponses(n int) {
	s.faults.Update(func(f *faults) { f.LoseResponses = n })
}

// Compact compacts the history, so that each watch must list again.
func (s *Server) Compact() {
	s.faults.Update(func(f *faults) { f.Compact = true })
}

// ExpireAllLeases expires all leases now and deletes their keys.
func (s *Server) ExpireAllLeases() {
	s.faults.Update(func(f *faults) { f.ExpireAllLeases = true })
}

// ExpireLease expires one lease now and deletes its keys.
func (s *Server) ExpireLease(lease int64) {
	s.faults.Update(func(f *faults) { f.ExpireLease = lease })
}

// Counts returns the number of calls by kind: "reads", "writes", "watches", and
// "limited" for rate-limited ones. A waiting watch counts once.
func (s *Server) Counts() map[string]int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[string]int64, len(s.counts))
	for kind, n := range s.counts {
		out[kind] = n
	}
	return out
}

// applyOneShotFaults applies the one-shot faults and resets them.
func (s *Server) applyOneShotFaults(f faults) {
	if f.Down {
		// Wake waiting watches, which an outage must end too.
		s.mu.Lock()
		s.store.notify()
		s.mu.Unlock()
	}
	if !f.Compact && !f.ExpireAllLeases && f.ExpireLease == 0 {
		return
	}
	s.mu.Lock()
	if f.Compact {
		s.store.compact()
	}
	if f.ExpireAllLeases {
		s.store.expireAll()
	}
	s.store.expire(f.ExpireLease)
	s.mu.Unlock()
	s.faults.Update(func(f *faults) {
		f.Compact = false
		f.ExpireAllLeases = false
		f.ExpireLease = 0
	})
}

func (s *Server) routes() *mux.Router {
	r := mux.NewRouter().SkipClean(true)
	r.Handle("/faults", s.faults).Methods(http.MethodGet, http.MethodPost)
	r.HandleFunc("/counts", s.handleCounts).Methods(http.MethodGet)
	r.HandleFunc(keyRoute, s.withFaults("reads", s.handleGet)).Methods(http.MethodGet)
	r.HandleFunc("/v1/range", s.withFaults("reads", s.handleRange)).Methods(http.MethodGet)
	r.HandleFunc("/v1/watch", s.withFaults("watches", s.handleWatch)).Methods(http.MethodGet)
	r.HandleFunc(keyRoute, s.withFaults("writes", s.handlePut)).Methods(http.MethodPut)
	r.HandleFunc(keyRoute, s.withFaults("writes", s.handleDelete)).Methods(http.MethodDelete)
	r.HandleFunc("/v1/leases", s.withFaults("writes", s.handleGrant)).Methods(http.MethodPost)
	r.HandleFunc(leaseRoute+"/renew", s.withFaults("writes", s.handleRenew)).Methods(http.MethodPost)
	r.HandleFunc(leaseRoute, s.withFaults("writes", s.handleRevoke)).Methods(http.MethodDelete)
	return r
}

// withFaults counts a request, enforces the rate limits and applies the faults that
// affect every request.
func (s *Server) withFaults(kind string, next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		f := s.faults.Get()
		simsrv.Sleep(r.Context(), s.latency+time.Duration(f.SlowMs)*time.Millisecond)
		if s.faults.Get().Down {
			simsrv.Abort()
		}
		s.count(kind)
		if !s.limiter(kind).Allow() {
			s.count("limited")
			simsrv.WriteError(w, http.StatusTooManyRequests, "more "+kind+" a second than the service takes")
			return
		}
		next(w, r)
		if kind == "writes" && s.faults.TakeOne(func(f *faults) *int { return &f.LoseResponses }) {
			simsrv.Abort()
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
	simsrv.WriteJSON(w, http.StatusOK, s.Counts())
}

// parseDecimal parses a decimal parameter; an empty one is 0. On failure it writes
// an error response and returns false.
func parseDecimal(w http.ResponseWriter, name, value string) (int64, bool) {
	if value == "" {
		return 0, true
	}
	n, err := strconv.ParseInt(value, 10, 64)
	if err != nil {
		simsrv.WriteError(w, http.StatusBadRequest, name+": "+strconv.Quote(value)+" "+notDecimalProblem)
	}
	return n, err == nil
}
