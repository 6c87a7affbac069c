// Package simscr simulates a service that scores samples. A score is a hash of the
// prompt and the text.
package simscr

import (
	"net/http"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/gorilla/mux"
	"github.com/lavendermux/lavendermux/sims/simsrv"
)

const (
	// scoreLevels is the number of distinct scores.
	scoreLevels = 1000
)

type (
	// Server is a simulated scorer. See New.
	Server struct {
		delay  time.Duration
		faults *simsrv.Faults[faults]
		router *mux.Router

		mu     sync.Mutex
		scored int64
	}

	// Option configures a Server in New.
	Option func(*Server)

	// faults are the faults that a test can inject.
	faults struct {
		// Down aborts every request without a response.
		Down bool `json:"down"`
		// SlowMs delays every request, in milliseconds.
		SlowMs int64 `json:"slowMs"`
		// FailRequests is how many of the next requests fail with an error.
		FailRequests int `json:"fail"`
		// WrongSampleIDs is how many of the next responses carry another sample's ID.
		WrongSampleIDs int `json:"mixUp"`
	}

	scoreRequest struct {
		SampleID string `json:"sampleId"`
		Prompt   string `json:"prompt"`
		Text     string `json:"text"`
	}

	scoreResponse struct {
		SampleID string  `json:"sampleId"`
		Score    float64 `json:"score"`
	}
)

// New returns a scorer, which is an http.Handler.
//
//	sc := simscr.New(simscr.WithDelay(20 * time.Millisecond))
//	err := http.ListenAndServe(addr, sc)
func New(opts ...Option) *Server {
	s := &Server{}
	for _, opt := range opts {
		opt(s)
	}
	s.faults = simsrv.New[faults]()
	s.router = mux.NewRouter()
	s.router.Handle("/faults", s.faults).Methods(http.MethodGet, http.MethodPost)
	s.router.HandleFunc("/v1/score", s.handleScore).Methods(http.MethodPost)
	return s
}

// WithDelay sets how long scoring takes. The default is 0.
func WithDelay(d time.Duration) Option {
	return func(s *Server) { s.delay = d }
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.router.ServeHTTP(w, r)
}

// SetDown sets whether every request is aborted without a response.
func (s *Server) SetDown(down bool) {
	s.faults.Update(func(f *faults) { f.Down = down })
}

// SetDelay delays every request by d in addition to the scoring time; 0 removes
// the delay.
func (s *Server) SetDelay(d time.Duration) {
	s.faults.Update(func(f *faults) { f.SlowMs = d.Milliseconds() })
}

// FailRequests makes the next n requests fail with an error.
func (s *Server) FailRequests(n int) {
	s.faults.Update(func(f *faults) { f.FailRequests = n })
}

// SendWrongSampleIDs makes the next n responses carry another sample's ID.
func (s *Server) SendWrongSampleIDs(n int) {
	s.faults.Update(func(f *faults) { f.WrongSampleIDs = n })
}

// Scored returns the number of scored samples.
func (s *Server) Scored() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.scored
}

func (s *Server) handleScore(w http.ResponseWriter, r *http.Request) {
	var in scoreRequest
	if !simsrv.ReadJSON(w, r, &in) {
		return
	}
	slow := time.Duration(s.faults.Get().SlowMs) * time.Millisecond
	simsrv.Sleep(r.Context(), s.delay+slow)
	if s.faults.Get().Down {
		simsrv.Abort()
	}
	if s.faults.TakeOne(func(f *faults) *int { return &f.FailRequests }) {
		simsrv.WriteError(w, http.StatusInternalServerError, "scoring failed")
		return
	}
	s.mu.Lock()
	s.scored++
	s.mu.Unlock()
	resp := scoreResponse{SampleID: in.SampleID, Score: Score(in.Prompt, in.Text)}
	if s.faults.TakeOne(func(f *faults) *int { return &f.WrongSampleIDs }) {
		resp.SampleID += "-other"
	}
	simsrv.WriteJSON(w, http.StatusOK, resp)
}

// Score returns the score of a text in [0, 1).
func Score(prompt, text string) float64 {
	return float64(xxhash.Sum64String(prompt+"\x00"+text)%scoreLevels) / scoreLevels
}
