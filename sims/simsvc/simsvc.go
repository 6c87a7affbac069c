// Package simsvc is a stand-in for a plain service that takes bookings and
// tells the status of a case. It does not recognise a repeated booking: it
// runs each request that reaches it, and counts the runs, so that a test sees
// what ran twice.
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
	keyHeader = "Idempotency-Key"
)

type (
	// Server is the stand-in. See New.
	Server struct {
		delay  time.Duration
		faults *simsrv.Faults[faults]
		router *mux.Router

		mu   sync.Mutex
		runs map[booking]int
		// status counts the answers about each case.
		status map[string]int
	}

	// Option changes a Server as New makes it.
	Option func(*Server)

	// faults are what a test can switch on.
	faults struct {
		// Down makes every request end without an answer and without running.
		Down bool `json:"down"`
		// SlowMs delays every request before it runs, in milliseconds.
		SlowMs int64 `json:"slowMs"`
		// Fail is how many of the next requests get an error and do not run.
		Fail int `json:"fail"`
		// LoseAnswers is how many of the next requests run and end without an
		// answer.
		LoseAnswers int `json:"loseAnswers"`
	}

	// booking is what one request asks for. Two requests that ask for the same
	// with the same key are one booking that ran twice.
	booking struct {
		Slot   string `json:"slot"`
		Family string `json:"family"`
		Key    string `json:"key,omitempty"`
	}

	run struct {
		booking
		Runs int `json:"runs"`
	}

	ranResponse struct {
		// Bookings is in order of slot, family and key.
		Bookings []run          `json:"bookings"`
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

// New returns a service without bookings. It serves HTTP.
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

// WithDelay sets how long a request takes. The default is no time.
func WithDelay(d time.Duration) Option {
	return func(s *Server) { s.delay = d }
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.router.ServeHTTP(w, r)
}

// SetDown makes every request end without an answer and without running, or
// ends that.
func (s *Server) SetDown(down bool) {
	s.faults.Update(func(f *faults) { f.Down = down })
}

// SetDelay delays every request by d beside what it takes; 0 ends that.
func (s *Server) SetDelay(d time.Duration) {
	s.faults.Update(func(f *faults) { f.SlowMs = d.Milliseconds() })
}

// Fail makes the next n requests end in an error without running.
func (s *Server) Fail(n int) {
	s.faults.Update(func(f *faults) { f.Fail = n })
}

// LoseAnswers makes the next n requests run and end without an answer.
func (s *Server) LoseAnswers(n int) {
	s.faults.Update(func(f *faults) { f.LoseAnswers = n })
}

// Runs returns how often a booking of slot by family ran, with any key.
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
	r.HandleFunc("/bookings", s.call(s.handleBook)).Methods(http.MethodPost)
	r.HandleFunc("/status/{id}", s.call(s.handleStatus)).Methods(http.MethodGet)
	return r
}

func (s *Server) call(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		slow := time.Duration(s.faults.Get().SlowMs) * time.Millisecond
		simsrv.Pause(r.Context(), s.delay+slow)
		if s.faults.Get().Down {
			simsrv.Drop()
		}
		if s.faults.Take(func(f *faults) *int { return &f.Fail }) {
			simsrv.Fail(w, http.StatusInternalServerError, "the service failed")
			return
		}
		next(w, r)
		if s.faults.Take(func(f *faults) *int { return &f.LoseAnswers }) {
			simsrv.Drop()
		}
	}
}

func (s *Server) handleBook(w http.ResponseWriter, r *http.Request) {
	var b booking
	if !simsrv.Read(w, r, &b) {
		return
	}
	if b.Slot == "" || b.Family == "" {
		simsrv.Fail(w, http.StatusBadRequest, "slot and family: must be given")
		return
	}
	b.Key = r.Header.Get(keyHeader)
	s.mu.Lock()
	s.runs[b]++
	s.mu.Unlock()
	simsrv.Reply(w, http.StatusCreated, bookingResponse{Slot: b.Slot, Family: b.Family, Booked: true})
}

func (s *Server) handleStatus(w http.ResponseWriter, r *http.Request) {
	id := mux.Vars(r)["id"]
	s.mu.Lock()
	s.status[id]++
	s.mu.Unlock()
	simsrv.Reply(w, http.StatusOK, statusResponse{ID: id, State: "proof received"})
}

func (s *Server) handleRan(w http.ResponseWriter, _ *http.Request) {
	simsrv.Reply(w, http.StatusOK, s.ran())
}

func (s *Server) ran() ranResponse {
	s.mu.Lock()
	defer s.mu.Unlock()
	resp := ranResponse{Bookings: []run{}, Status: maps.Clone(s.status)}
	for b, n := range s.runs {
		resp.Bookings = append(resp.Bookings, run{booking: b, Runs: n})
	}
	slices.SortFunc(resp.Bookings, func(a, b run) int {
		return strings.Compare(a.Slot+"\x00"+a.Family+"\x00"+a.Key, b.Slot+"\x00"+b.Family+"\x00"+b.Key)
	})
	return resp
}
