// Package simlst is a stand-in for the platform's instance list. A change is
// seen only after a lag.
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
	// Server is the stand-in. See New.
	Server struct {
		lag    time.Duration
		faults *simsrv.Faults[faults]
		router *mux.Router

		mu      sync.Mutex
		visible map[string]insts.Instance
		// pending changes are in the order in which they were made.
		pending []change
	}

	// Option changes a Server as New makes it.
	Option func(*Server)

	change struct {
		at       time.Time
		instance insts.Instance
		gone     bool
	}

	// faults are what a test can switch on.
	faults struct {
		// Down makes every request end without an answer.
		Down bool `json:"down"`
		// SlowMs delays every request, in milliseconds.
		SlowMs int64 `json:"slowMs"`
		// Stale freezes what the list shows. Changes are still taken, and are
		// seen once the fault is over.
		Stale bool `json:"stale"`
	}

	listResponse struct {
		Instances []insts.Instance `json:"instances"`
	}
)

// New returns a list without instances. It serves HTTP.
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

// WithLag sets how long a change takes to be seen. The default is 3 s.
func WithLag(d time.Duration) Option {
	return func(s *Server) { s.lag = d }
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.router.ServeHTTP(w, r)
}

// Put adds an instance or changes it; the list shows it after the lag.
func (s *Server) Put(in insts.Instance) {
	s.add(change{at: time.Now(), instance: in})
}

// Delete removes an instance; the list goes on showing it for the lag.
func (s *Server) Delete(id string) {
	s.add(change{at: time.Now(), instance: insts.Instance{ID: id}, gone: true})
}

// SetDown makes every request end without an answer, or ends that.
func (s *Server) SetDown(down bool) {
	s.faults.Update(func(f *faults) { f.Down = down })
}

// SetDelay delays every request by d; 0 ends that.
func (s *Server) SetDelay(d time.Duration) {
	s.faults.Update(func(f *faults) { f.SlowMs = d.Milliseconds() })
}

// SetStale freezes what the list shows, or ends that.
func (s *Server) SetStale(stale bool) {
	s.faults.Update(func(f *faults) { f.Stale = stale })
}

func (s *Server) add(c change) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pending = append(s.pending, c)
}

// list returns what the list shows at a moment, in order of ids.
func (s *Server) list(now time.Time) []insts.Instance {
	stale := s.faults.Get().Stale
	s.mu.Lock()
	defer s.mu.Unlock()
	for !stale && len(s.pending) > 0 && !now.Before(s.pending[0].at.Add(s.lag)) {
		c := s.pending[0]
		s.pending = s.pending[1:]
		if c.gone {
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
	r.HandleFunc("/v1/instances", s.call(s.handleList)).Methods(http.MethodGet)
	r.HandleFunc(instance, s.call(s.handlePut)).Methods(http.MethodPut)
	r.HandleFunc(instance, s.call(s.handleDelete)).Methods(http.MethodDelete)
	return r
}

func (s *Server) call(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		simsrv.Pause(r.Context(), time.Duration(s.faults.Get().SlowMs)*time.Millisecond)
		if s.faults.Get().Down {
			simsrv.Drop()
		}
		next(w, r)
	}
}

func (s *Server) handleList(w http.ResponseWriter, _ *http.Request) {
	simsrv.Reply(w, http.StatusOK, listResponse{Instances: s.list(time.Now())})
}

func (s *Server) handlePut(w http.ResponseWriter, r *http.Request) {
	var in insts.Instance
	if !simsrv.Read(w, r, &in) {
		return
	}
	in.ID = mux.Vars(r)["id"]
	if in.State == "" {
		in.State = insts.StateLive
	}
	s.Put(in)
	simsrv.Reply(w, http.StatusOK, in)
}

func (s *Server) handleDelete(w http.ResponseWriter, r *http.Request) {
	s.Delete(mux.Vars(r)["id"])
	simsrv.Reply(w, http.StatusOK, struct{}{})
}
