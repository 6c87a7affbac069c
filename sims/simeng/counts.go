package simeng

import (
	"maps"
	"net/http"

	"github.com/lavendermux/lavendermux/sims/simsrv"
)

const (
	// maxRunIDs limits the number of request IDs with a run count.
	maxRunIDs = 1 << 20
)

type (
	// countsResponse holds counters since the start of the stand-in; they survive
	// simulated crashes.
	countsResponse struct {
		// Streams that got a slot and, of these, completed and cancelled ones; the
		// others were aborted or still run.
		Streams   int64 `json:"streams"`
		Completed int64 `json:"whole"`
		Cancelled int64 `json:"cancelled"`
		// Tokens counts generated tokens.
		Tokens int64 `json:"tokens"`
		// PromptTokens counts prompt tokens, CachedTokens those of them that were
		// prefix cache hits.
		PromptTokens int64 `json:"promptTokens"`
		CachedTokens int64 `json:"cachedTokens"`
		// Orders that were executed or failed, and orders rejected for a stale
		// fencing token.
		Orders       int64 `json:"orders"`
		FencedOrders int64 `json:"oldOrders"`
	}
)

// Counts returns the counters, which survive crashes.
func (s *Server) Counts() countsResponse {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// RunCounts returns how often each request got a slot, by request ID. The counts
// survive crashes. A request that was reported as not run must not be among
// them.
func (s *Server) RunCounts() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.runCounts)
}

// countStream counts st when it first runs. The caller holds s.mu.
func (s *Server) countStream(st *stream) {
	if st.counted {
		return
	}
	st.counted = true
	s.counts.Streams++
	if len(s.runCounts) < maxRunIDs {
		s.runCounts[st.req.ID]++
	}
}

func (s *Server) handleCounts(w http.ResponseWriter, _ *http.Request) {
	simsrv.WriteJSON(w, http.StatusOK, s.Counts())
}

func (s *Server) handleRan(w http.ResponseWriter, _ *http.Request) {
	simsrv.WriteJSON(w, http.StatusOK, s.RunCounts())
}
