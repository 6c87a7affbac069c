// Package simsvc simulates a plain service that takes bookings and returns the
// status of a case. It does not deduplicate: it runs each request and counts the
// runs, so that a test sees which booking ran twice.
package simsvc

import (
	"maps"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/gorilla/mux"
	"github.com/lavendermux/lavendermux/sims/simsrv"
)

const (
	idempotencyKeyHeader = "Idempotency-Key"
)

type (
	// Server is a simulated plain service. See New.
	Server struct {
		delay  time.Duration
		faults *simsrv.Faults[faults]
		router *mux.Router

		mu   sync.Mutex
		runs map[booking]int
		// status counts status responses by case ID.
		status map[string]int
	}

	// Option configures a Server in New.
	Option func(*Server)

	// faults are the faults that a test can inject.
	faults struct {
		// Down aborts every request without a response and without running it.
		Down bool `json:"down"`
		// SlowMs delays each request before it runs, in milliseconds.
		SlowMs int64 `json:"slowMs"`
		// FailRequests is how many of the next requests fail with an error without
		// running.
		FailRequests int `json:"fail"`
		// LoseResponses is how many of the next requests run without a
		// response.
		LoseResponses int `json:"loseAnswers"`
	}

	// booking identifies a booking. Two requests with the same slot, family and key
	// are one booking that ran twice.
	booking struct {
		Slot   string `json:"slot"`
		Family string `json:"family"`
		Key    string `json:"key,omitempty"`
	}

	bookingRuns struct {
		booking
		Runs int `json:"runs"`
	}

	runsResponse struct {
		// Bookings is sorted by slot, family and key.
		Bookings []bookingRuns  `json:"bookings"`
		Status   map[string]int `json:"status"`
	}

	bookingResponse struct {
		Slot   string `json:"slot"`
		Family string `json:"family"`
		Booked bool   `json:"booked"`
	}

	statusResponse struct {
		ID    string `json:"id"`
		State string `json:"state"`
	}
)

// New returns a service without bookings, which is an http.Handler.
//
//	svc := simsvc.New(simsvc.WithDelay(5 * time.Millisecond))
//	err := http.ListenAndServe(addr, svc)
func New(opts ...Option) *Server {
	s := &Server{runs: make(map[booking]int), status: make(map[string]int)}
	for _, opt := range opts {
		opt(s)
	}
	s.faults = simsrv.New[faults]()
	s.router = s.routes()
	return s
}

// WithDelay sets how long a request takes. The default is 0.
func WithDelay(d time.Duration) Option {
	return func(s *Server) { s.delay = d }
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.router.ServeHTTP(w, r)
}

// SetDown sets whether every request is aborted without a response and without
// running.
func (s *Server) SetDown(down bool) {
	s.faults.Update(func(f *faults) { f.Down = down })
}

// SetDelay delays every request by d in addition to its normal time; 0 removes the
// delay.
func (s *Server) SetDelay(d time.Duration) {
	s.faults.Update(func(f *faults) { f.SlowMs = d.Milliseconds() })
}

// FailRequests makes the next n requests fail with an error without running.
func (s *Server) FailRequests(n int) {
	s.faults.Update(func(f *faults) { f.FailRequests = n })
}

// LoseResponses makes the next n requests run without a response.
func (s *Server) LoseResponses(n int) {
	s.faults.Update(func(f *faults) { f.LoseResponses = n })
}

// Runs returns how often bookings of slot by family ran, with any key.
func (s *Server) Runs(slot, family string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for b, runs := range s.runs {
		if b.Slot == slot && b.Family == family {
			n += runs
		}
	}
	return n
}

func (s *Server) routes() *mux.Router {
	r := mux.NewRouter()
	r.Handle("/faults", s.faults).Methods(http.MethodGet, http.MethodPost)
	r.HandleFunc("/ran", s.handleRan).Methods(http.MethodGet)
	r.HandleFunc("/bookings", s.withFaults(s.handleBook)).Methods(http.MethodPost)
	r.HandleFunc("/status/{id}", s.withFaults(s.handleStatus)).Methods(http.MethodGet)
	return r
}

func (s *Server) withFaults(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		slow := time.Duration(s.faults.Get().SlowMs) * time.Millisecond
		simsrv.Sleep(r.Context(), s.delay+slow)
		if s.faults.Get().Down {
			simsrv.Abort()
		}
		if s.faults.TakeOne(func(f *faults) *int { return &f.FailRequests }) {
			simsrv.WriteError(w, http.StatusInternalServerError, "the service failed")
			return
		}
		next(w, r)
		if s.faults.TakeOne(func(f *faults) *int { return &f.LoseResponses }) {
			simsrv.Abort()
		}
	}
}

func (s *Server) handleBook(w http.ResponseWriter, r *http.Request) {
	var b booking
	if !simsrv.ReadJSON(w, r, &b) {
		return
	}
	if b.Slot == "" || b.Family == "" {
		simsrv.WriteError(w, http.StatusBadRequest, "slot and family: must be given")
		return
	}
	b.Key = r.Header.Get(idempotencyKeyHeader)
	s.mu.Lock()
	s.runs[b]++
	s.mu.Unlock()
	simsrv.WriteJSON(w, http.StatusCreated, bookingResponse{Slot: b.Slot, Family: b.Family, Booked: true})
}

func (s *Server) handleStatus(w http.ResponseWriter, r *http.Request) {
	id := mux.Vars(r)["id"]
	s.mu.Lock()
	s.status[id]++
	s.mu.Unlock()
	simsrv.WriteJSON(w, http.StatusOK, statusResponse{ID: id, State: "proof received"})
}

func (s *Server) handleRan(w http.ResponseWriter, _ *http.Request) {
	simsrv.WriteJSON(w, http.StatusOK, s.runReport())
}

func (s *Server) runReport() runsResponse {
	s.mu.Lock()
	defer s.mu.Unlock()
	resp := runsResponse{Bookings: []bookingRuns{}, Status: maps.Clone(s.status)}
	for b, n := range s.runs {
		resp.Bookings = append(resp.Bookings, bookingRuns{booking: b, Runs: n})
	}
	slices.SortFunc(resp.Bookings, func(a, b bookingRuns) int {
		return strings.Compare(a.Slot+"\x00"+a.Family+"\x00"+a.Key, b.Slot+"\x00"+b.Family+"\x00"+b.Key)
	})
	return resp
}
