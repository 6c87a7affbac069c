// Package simwts simulates the platform's weight store. All transfers share one
// rate. The content of weights is irrelevant here, so a transfer takes its full
// time but carries only a few bytes.
package simwts

import (
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"

	"github.com/gorilla/mux"
	"github.com/lavendermux/lavendermux/sims/simsrv"
)

const (
	defaultRate = 1e9
	// transferChunks is the number of chunks per transfer; more chunks share the
	// rate more evenly among concurrent transfers.
	transferChunks = 64
)

type (
	// Server is a simulated weight store. See New.
	Server struct {
		rate   float64
		faults *simsrv.Faults[faults]
		router *mux.Router

		mu       sync.Mutex
		versions map[versionKey]int64
		// busyUntil is when all chunks reserved so far have been transferred.
		busyUntil time.Time
		counts    countsResponse
	}

	// Option configures a Server in New.
	Option func(*Server)

	versionKey struct {
		model   string
		version string
	}

	// faults are the faults that a test can inject.
	faults struct {
		// Down aborts every request without a response, and running transfers.
		Down bool `json:"down"`
		// SlowMs delays every request, in milliseconds.
		SlowMs int64 `json:"slowMs"`
	}

	versionMessage struct {
		Bytes int64 `json:"bytes"`
	}

	countsResponse struct {
		// Requests for a size, for data, and to register a version.
		SizeRequests int64 `json:"sizes"`
		DataRequests int64 `json:"transfers"`
		Registered   int64 `json:"registered"`
		// Completed counts completed transfers.
		Completed int64 `json:"whole"`
		// Bytes counts transferred bytes, including those of incomplete transfers.
		Bytes int64 `json:"bytes"`
	}
)

// New returns a store without weights, which is an http.Handler.
//
//	st := simwts.New(simwts.WithRate(1e9))
//	st.Put("draft", "12", 5e8)
func New(opts ...Option) *Server {
	s := &Server{rate: defaultRate, versions: make(map[versionKey]int64)}
	for _, opt := range opts {
		opt(s)
	}
	s.faults = simsrv.New[faults]()
	s.router = s.routes()
	return s
}

// WithRate sets the total rate of all transfers in bytes per second. The default is
// 1e9.
func WithRate(bytes float64) Option {
	return func(s *Server) { s.rate = bytes }
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.router.ServeHTTP(w, r)
}

// Put registers a version of a model and its size in bytes.
func (s *Server) Put(model, version string, bytes int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Registered++
	s.versions[versionKey{model, version}] = bytes
}

// SetDown sets whether every request, running transfers included, is aborted
// without a response.
func (s *Server) SetDown(down bool) {
	s.faults.Update(func(f *faults) { f.Down = down })
}

// SetDelay delays every request by d; 0 removes the delay.
func (s *Server) SetDelay(d time.Duration) {
	s.faults.Update(func(f *faults) { f.SlowMs = d.Milliseconds() })
}

// CompletedTransfers returns the number of completed transfers.
func (s *Server) CompletedTransfers() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts.Completed
}

func (s *Server) routes() *mux.Router {
	const version = "/v1/models/{model}/versions/{version}"
	r := mux.NewRouter().SkipClean(true).UseEncodedPath()
	r.Handle("/faults", s.faults).Methods(http.MethodGet, http.MethodPost)
	r.HandleFunc("/counts", s.handleCounts).Methods(http.MethodGet)
	r.HandleFunc(version, s.withFaults(s.handlePut)).Methods(http.MethodPut)
	r.HandleFunc(version, s.withFaults(s.handleSize)).Methods(http.MethodGet)
	r.HandleFunc(version+"/data", s.withFaults(s.handleData)).Methods(http.MethodGet)
	return r
}

func (s *Server) withFaults(next func(http.ResponseWriter, *http.Request, versionKey)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		simsrv.Sleep(r.Context(), time.Duration(s.faults.Get().SlowMs)*time.Millisecond)
		s.abortIfDown()
		vars := mux.Vars(r)
		model, err := url.PathUnescape(vars["model"])
		if err != nil {
			simsrv.WriteError(w, http.StatusBadRequest, err.Error())
			return
		}
		version, err := url.PathUnescape(vars["version"])
		if err != nil {
			simsrv.WriteError(w, http.StatusBadRequest, err.Error())
			return
		}
		next(w, r, versionKey{model, version})
	}
}

func (s *Server) abortIfDown() {
	if s.faults.Get().Down {
		simsrv.Abort()
	}
}

func (s *Server) handleCounts(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	counts := s.counts
	s.mu.Unlock()
	simsrv.WriteJSON(w, http.StatusOK, counts)
}

func (s *Server) handlePut(w http.ResponseWriter, r *http.Request, key versionKey) {
	var in versionMessage
	if !simsrv.ReadJSON(w, r, &in) {
		return
	}
	if in.Bytes < 0 {
		simsrv.WriteError(w, http.StatusBadRequest, "bytes: must not be below 0")
		return
	}
	s.Put(key.model, key.version, in.Bytes)
	simsrv.WriteJSON(w, http.StatusOK, in)
}

func (s *Server) handleSize(w http.ResponseWriter, _ *http.Request, key versionKey) {
	s.mu.Lock()
	s.counts.SizeRequests++
	bytes, found := s.versions[key]
	s.mu.Unlock()
	if !found {
		writeVersionNotFound(w, key)
		return
	}
	simsrv.WriteJSON(w, http.StatusOK, versionMessage{Bytes: bytes})
}

// handleData writes one byte per chunk at the rate of the full transfer. An aborted
// transfer has a truncated body.
func (s *Server) handleData(w http.ResponseWriter, r *http.Request, key versionKey) {
	s.mu.Lock()
	s.counts.DataRequests++
	bytes, found := s.versions[key]
	s.mu.Unlock()
	if !found {
		writeVersionNotFound(w, key)
		return
	}
	w.Header().Set("Content-Length", strconv.Itoa(transferChunks))
	for range transferChunks {
		simsrv.Sleep(r.Context(), time.Until(s.reserve(bytes)))
		s.abortIfDown()
		if r.Context().Err() != nil {
			return
		}
		if _, err := w.Write([]byte{0}); err != nil {
			return
		}
	}
	s.mu.Lock()
	s.counts.Completed++
	s.mu.Unlock()
}

// reserve schedules the next chunk of a transfer of the given total bytes and
// returns when that chunk has been transferred.
func (s *Server) reserve(bytes int64) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now := time.Now(); s.busyUntil.Before(now) {
		s.busyUntil = now
	}
	chunk := float64(bytes) / transferChunks
	s.busyUntil = s.busyUntil.Add(time.Duration(chunk / s.rate * float64(time.Second)))
	s.counts.Bytes += int64(chunk)
	return s.busyUntil
}

func writeVersionNotFound(w http.ResponseWriter, key versionKey) {
	simsrv.WriteError(w, http.StatusNotFound, "there is no version "+key.version+" of "+key.model)
}
