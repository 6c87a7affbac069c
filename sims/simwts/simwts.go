// Package simwts is a stand-in for the platform's weight store. All transfers
// together share one rate. The bytes of weights do not matter to anyone here,
// so a transfer takes its time and carries only a few.
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
	// parts is how many turns a transfer takes at the shared rate: the more,
	// the more evenly transfers at the same time share it.
	parts = 64
)

type (
	// Server is the stand-in. See New.
	Server struct {
		rate   float64
		faults *simsrv.Faults[faults]
		router *mux.Router

		mu       sync.Mutex
		versions map[versionKey]int64
		// free is when the store's line has carried all that was asked so far.
		free   time.Time
		counts countsResponse
	}

	// Option changes a Server as New makes it.
	Option func(*Server)

	versionKey struct {
		model   string
		version string
	}

	// faults are what a test can switch on.
	faults struct {
		// Down makes every request end without an answer, and cuts transfers.
		Down bool `json:"down"`
		// SlowMs delays every request, in milliseconds.
		SlowMs int64 `json:"slowMs"`
	}

	versionMessage struct {
		Bytes int64 `json:"bytes"`
	}

	countsResponse struct {
		// Sizes, Transfers and Registered count requests.
		Sizes      int64 `json:"sizes"`
		Transfers  int64 `json:"transfers"`
		Registered int64 `json:"registered"`
		// Whole counts transfers that came to their end.
		Whole int64 `json:"whole"`
		// Bytes were carried, in whole transfers and others.
		Bytes int64 `json:"bytes"`
	}
)

// New returns a store without weights. It serves HTTP.
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

// WithRate sets how many bytes a second all transfers share. The default is 1e9.
func WithRate(bytes float64) Option {
	return func(s *Server) { s.rate = bytes }
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.router.ServeHTTP(w, r)
}

// Put registers a version of a model.
func (s *Server) Put(model, version string, bytes int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Registered++
	s.versions[versionKey{model, version}] = bytes
}

// SetDown makes every request end without an answer and cuts transfers, or ends
// that.
func (s *Server) SetDown(down bool) {
	s.faults.Update(func(f *faults) { f.Down = down })
}

// SetDelay delays every request by d; 0 ends that.
func (s *Server) SetDelay(d time.Duration) {
	s.faults.Update(func(f *faults) { f.SlowMs = d.Milliseconds() })
}

// Transfers returns how many transfers of weights came to their end.
func (s *Server) Transfers() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts.Whole
}

func (s *Server) routes() *mux.Router {
	const version = "/v1/models/{model}/versions/{version}"
	r := mux.NewRouter().SkipClean(true).UseEncodedPath()
	r.Handle("/faults", s.faults).Methods(http.MethodGet, http.MethodPost)
	r.HandleFunc("/counts", s.handleCounts).Methods(http.MethodGet)
	r.HandleFunc(version, s.call(s.handlePut)).Methods(http.MethodPut)
	r.HandleFunc(version, s.call(s.handleSize)).Methods(http.MethodGet)
	r.HandleFunc(version+"/data", s.call(s.handleData)).Methods(http.MethodGet)
	return r
}

func (s *Server) call(next func(http.ResponseWriter, *http.Request, versionKey)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		simsrv.Pause(r.Context(), time.Duration(s.faults.Get().SlowMs)*time.Millisecond)
		s.dropIfDown()
		vars := mux.Vars(r)
		model, err := url.PathUnescape(vars["model"])
		if err != nil {
			simsrv.Fail(w, http.StatusBadRequest, err.Error())
			return
		}
		version, err := url.PathUnescape(vars["version"])
		if err != nil {
			simsrv.Fail(w, http.StatusBadRequest, err.Error())
			return
		}
		next(w, r, versionKey{model, version})
	}
}

func (s *Server) dropIfDown() {
	if s.faults.Get().Down {
		simsrv.Drop()
	}
}

func (s *Server) handleCounts(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	counts := s.counts
	s.mu.Unlock()
	simsrv.Reply(w, http.StatusOK, counts)
}

func (s *Server) handlePut(w http.ResponseWriter, r *http.Request, key versionKey) {
	var in versionMessage
	if !simsrv.Read(w, r, &in) {
		return
	}
	if in.Bytes < 0 {
		simsrv.Fail(w, http.StatusBadRequest, "bytes: must not be below 0")
		return
	}
	s.Put(key.model, key.version, in.Bytes)
	simsrv.Reply(w, http.StatusOK, in)
}

func (s *Server) handleSize(w http.ResponseWriter, _ *http.Request, key versionKey) {
	s.mu.Lock()
	s.counts.Sizes++
	bytes, found := s.versions[key]
	s.mu.Unlock()
	if !found {
		failUnknown(w, key)
		return
	}
	simsrv.Reply(w, http.StatusOK, versionMessage{Bytes: bytes})
}

// handleData answers with one byte for each part of the transfer, at the pace
// of the whole. A transfer that is cut off ends without the end of its body.
func (s *Server) handleData(w http.ResponseWriter, r *http.Request, key versionKey) {
	s.mu.Lock()
	s.counts.Transfers++
	bytes, found := s.versions[key]
	s.mu.Unlock()
	if !found {
		failUnknown(w, key)
		return
	}
	w.Header().Set("Content-Length", strconv.Itoa(parts))
	for range parts {
		simsrv.Pause(r.Context(), time.Until(s.reserve(bytes)))
		s.dropIfDown()
		if r.Context().Err() != nil {
			return
		}
		if _, err := w.Write([]byte{0}); err != nil {
			return
		}
	}
	s.mu.Lock()
	s.counts.Whole++
	s.mu.Unlock()
}

// reserve takes the next turn on the line, for one part of a transfer, and
// returns when that part has been carried.
func (s *Server) reserve(bytes int64) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now := time.Now(); s.free.Before(now) {
		s.free = now
	}
	part := float64(bytes) / parts
	s.free = s.free.Add(time.Duration(part / s.rate * float64(time.Second)))
	s.counts.Bytes += int64(part)
	return s.free
}

func failUnknown(w http.ResponseWriter, key versionKey) {
	simsrv.Fail(w, http.StatusNotFound, "there is no version "+key.version+" of "+key.model)
}
