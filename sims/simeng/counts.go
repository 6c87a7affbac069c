package simeng

import (
	"maps"
	"net/http"

	"github.com/lavendermux/lavendermux/sims/simsrv"
)

const (
	// maxRan bounds how many requests the engine remembers.
	maxRan = 1 << 20
)

type (
	// countsResponse tells what the engine did since its process started,
	// through all crashes.
	countsResponse struct {
		// Streams had a slot; Whole came to their own end, Cancelled were
		// cancelled, and the others were cut off or still run.
		Streams   int64 `json:"streams"`
		Whole     int64 `json:"whole"`
		Cancelled int64 `json:"cancelled"`
		// Tokens were made.
		Tokens int64 `json:"tokens"`
		// PromptTokens were read or found in the prefix cache, CachedTokens of
		// them found.
		PromptTokens int64 `json:"promptTokens"`
		CachedTokens int64 `json:"cachedTokens"`
		// Orders were carried out or failed, OldOrders refused for their number.
		Orders    int64 `json:"orders"`
		OldOrders int64 `json:"oldOrders"`
	}
)

// Counts returns what the engine did so far, through all crashes.
func (s *Server) Counts() countsResponse {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// Ran returns how often each request got a slot, by its id, through all
// crashes. A request that somebody was told did not run must not be among them.
func (s *Server) Ran() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.ran)
}

// begin counts a stream that makes its first step. The caller holds the lock.
func (s *Server) begin(st *stream) {
	if st.begun {
		return
	}
	st.begun = true
	s.counts.Streams++
	if len(s.ran) < maxRan {
		s.ran[st.req.ID]++
	}
}

func (s *Server) handleCounts(w http.ResponseWriter, _ *http.Request) {
	simsrv.Reply(w, http.StatusOK, s.Counts())
}

func (s *Server) handleRan(w http.ResponseWriter, _ *http.Request) {
	simsrv.Reply(w, http.StatusOK, s.Ran())
}
