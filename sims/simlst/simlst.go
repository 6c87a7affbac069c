// Package simlst simulates the platform's instance list, which shows a change only
// after a lag.
package simlst

import (
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/gorilla/mux"
	"github.com/lavendermux/lavendermux/insts"
	"github.com/lavendermux/lavendermux/sims/simsrv"
)

const (
	defaultLag = 3 * time.Second
)

type (
	// Server is a simulated instance list. See New.
	Server struct {
		lag    time.Duration
		faults *simsrv.Faults[faults]
		router *mux.Router

		mu      sync.Mutex
		visible map[string]insts.Instance
		// pending changes are in chronological order.
		pending []change
	}

	// Option configures a Server in New.
	Option func(*Server)

	change struct {
		madeAt   time.Time
		instance insts.Instance
		deleted  bool
	}

	// faults are the faults that a test can inject.
	faults struct {
		// Down aborts every request without a response.
		Down bool `json:"down"`
		// SlowMs delays every request, in milliseconds.
		SlowMs int64 `json:"slowMs"`
		// Stale freezes the visible list. Changes are still accepted and become
		// visible after the fault.
		Stale bool `json:"stale"`
	}

	listResponse struct {
		Instances []insts.Instance `json:"instances"`
	}
)

// New returns a list without instances, which is an http.Handler.
//
//	l := simlst.New(simlst.WithLag(3 * time.Second))
//	l.Put(insts.Instance{ID: "e1", Role: insts.RoleEntry, Address: "127.0.0.1:8000"})
func New(opts ...Option) *Server {
	s := &Server{lag: defaultLag, visible: make(map[string]insts.Instance)}
	for _, opt := range opts {
		opt(s)
	}
	s.faults = simsrv.New[faults]()
	s.router = s.routes()
	return s
}

// WithLag sets the time until a change is visible. The default is 3 s.
func WithLag(d time.Duration) Option {
	return func(s *Server) { s.lag = d }
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.router.ServeHTTP(w, r)
}

// Put adds or changes an instance, which is visible after the lag.
func (s *Server) Put(in insts.Instance) {
	s.enqueue(change{madeAt: time.Now(), instance: in})
}

// Delete removes an instance, which stays visible for the lag.
func (s *Server) Delete(id string) {
	s.enqueue(change{madeAt: time.Now(), instance: insts.Instance{ID: id}, deleted: true})
}

// SetDown sets whether every request is aborted without a response.
func (s *Server) SetDown(down bool) {
	s.faults.Update(func(f *faults) { f.Down = down })
}

// SetDelay delays every request by d; 0 removes the delay.
func (s *Server) SetDelay(d time.Duration) {
	s.faults.Update(func(f *faults) { f.SlowMs = d.Milliseconds() })
}

// SetStale sets whether the visible list is frozen.
func (s *Server) SetStale(stale bool) {
	s.faults.Update(func(f *faults) { f.Stale = stale })
}

func (s *Server) enqueue(c change) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pending = append(s.pending, c)
}

// list applies the pending changes visible at now and returns the instances in
// order of ID.
func (s *Server) list(now time.Time) []insts.Instance {
	stale := s.faults.Get().Stale
	s.mu.Lock()
	defer s.mu.Unlock()
	for !stale && len(s.pending) > 0 && !now.Before(s.pending[0].madeAt.Add(s.lag)) {
		c := s.pending[0]
		s.pending = s.pending[1:]
		if c.deleted {
			delete(s.visible, c.instance.ID)
			continue
		}
		s.visible[c.instance.ID] = c.instance
	}
	out := make([]insts.Instance, 0, len(s.visible))
	for _, in := range s.visible {
		out = append(out, in)
	}
	slices.SortFunc(out, func(a, b insts.Instance) int { return strings.Compare(a.ID, b.ID) })
	return out
}

func (s *Server) routes() *mux.Router {
	const instance = "/v1/instances/{id}"
	r := mux.NewRouter()
	r.Handle("/faults", s.faults).Methods(http.MethodGet, http.MethodPost)
	r.HandleFunc("/v1/instances", s.withFaults(s.handleList)).Methods(http.MethodGet)
	r.HandleFunc(instance, s.withFaults(s.handlePut)).Methods(http.MethodPut)
	r.HandleFunc(instance, s.withFaults(s.handleDelete)).Methods(http.MethodDelete)
	return r
}

func (s *Server) withFaults(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		simsrv.Sleep(r.Context(), time.Duration(s.faults.Get().SlowMs)*time.Millisecond)
		if s.faults.Get().Down {
			simsrv.Abort()
		}
		next(w, r)
	}
}

func (s *Server) handleList(w http.ResponseWriter, _ *http.Request) {
	simsrv.WriteJSON(w, http.StatusOK, listResponse{Instances: s.list(time.Now())})
}

func (s *Server) handlePut(w http.ResponseWriter, r *http.Request) {
	var in insts.Instance
	if !simsrv.ReadJSON(w, r, &in) {
		return
	}
	in.ID = mux.Vars(r)["id"]
	if in.State == "" {
		in.State = insts.StateLive
	}
	s.Put(in)
	simsrv.WriteJSON(w, http.StatusOK, in)
}

func (s *Server) handleDelete(w http.ResponseWriter, r *http.Request) {
	s.Delete(mux.Vars(r)["id"])
	simsrv.WriteJSON(w, http.StatusOK, struct{}{})
}
