package simkv

import (
	"fmt"
	"net/http"
	"time"

	"github.com/gorilla/mux"
	"github.com/lavendermux/lavendermux/record"
	"github.com/lavendermux/lavendermux/sims/simsrv"
)

const (
	// maxWatchTime limits the duration of a watch.
	maxWatchTime = 5 * time.Minute
)

type (
	putRequest struct {
		Value  []byte `json:"value"`
		Expect int64  `json:"expect"`
		Lease  int64  `json:"lease"`
	}

	// revisionResponse is the response to a write, and to a conflicting one.
	revisionResponse struct {
		Revision int64 `json:"revision"`
	}

	rangeResponse struct {
		Revision int64           `json:"revision"`
		Records  []record.Record `json:"records"`
	}

	leaseMessage struct {
		ID    int64 `json:"id,omitempty"`
		TTLMs int64 `json:"ttlMs,omitempty"`
	}
)

func (s *Server) handleGet(w http.ResponseWriter, r *http.Request) {
	key := mux.Vars(r)["key"]
	s.mu.Lock()
	rec, found := s.store.records[key]
	s.mu.Unlock()
	if !found {
		simsrv.WriteError(w, http.StatusNotFound, key+" does not exist")
		return
	}
	simsrv.WriteJSON(w, http.StatusOK, rec)
}

func (s *Server) handleRange(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	resp := rangeResponse{
		Revision: s.store.revision,
		Records:  s.store.list(r.URL.Query().Get("prefix")),
	}
	s.mu.Unlock()
	simsrv.WriteJSON(w, http.StatusOK, resp)
}

func (s *Server) handlePut(w http.ResponseWriter, r *http.Request) {
	key := mux.Vars(r)["key"]
	var req putRequest
	if !simsrv.ReadJSON(w, r, &req) {
		return
	}
	if len(req.Value) > MaxValueBytes {
		problem := fmt.Sprintf("value: %d bytes, the limit is %d", len(req.Value), MaxValueBytes)
		simsrv.WriteError(w, http.StatusRequestEntityTooLarge, problem)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if req.Lease != 0 && s.store.leases[req.Lease] == nil {
		simsrv.WriteError(w, http.StatusPreconditionFailed, fmt.Sprintf("lease %d has lapsed", req.Lease))
		return
	}
	if current := s.store.records[key].Revision; current != req.Expect {
		simsrv.WriteJSON(w, http.StatusConflict, revisionResponse{Revision: current})
		return
	}
	rev := s.store.put(key, req.Value, req.Lease)
	simsrv.WriteJSON(w, http.StatusOK, revisionResponse{Revision: rev})
}

func (s *Server) handleDelete(w http.ResponseWriter, r *http.Request) {
	key := mux.Vars(r)["key"]
	expect, ok := parseDecimal(w, "expect", r.URL.Query().Get("expect"))
	if !ok {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	rec, found := s.store.records[key]
	if !found {
		simsrv.WriteError(w, http.StatusNotFound, key+" does not exist")
		return
	}
	if rec.Revision != expect {
		simsrv.WriteJSON(w, http.StatusConflict, revisionResponse{Revision: rec.Revision})
		return
	}
	s.store.remove(key)
	simsrv.WriteJSON(w, http.StatusOK, revisionResponse{Revision: s.store.revision})
}

func (s *Server) handleGrant(w http.ResponseWriter, r *http.Request) {
	var req leaseMessage
	if !simsrv.ReadJSON(w, r, &req) {
		return
	}
	if req.TTLMs <= 0 {
		simsrv.WriteError(w, http.StatusBadRequest, "ttlMs: must be above 0")
		return
	}
	ttl := time.Duration(req.TTLMs) * time.Millisecond
	s.mu.Lock()
	defer s.mu.Unlock()
	id := s.store.lastLeaseID + 1
	timer := time.AfterFunc(ttl, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.store.expire(id)
	})
	s.store.grant(func() { timer.Reset(ttl) }, func() { timer.Stop() })
	simsrv.WriteJSON(w, http.StatusOK, leaseMessage{ID: id, TTLMs: req.TTLMs})
}

func (s *Server) handleRenew(w http.ResponseWriter, r *http.Request) {
	id, ok := parseDecimal(w, "lease", mux.Vars(r)["lease"])
	if !ok {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.store.leases[id]
	if l == nil {
		simsrv.WriteError(w, http.StatusNotFound, fmt.Sprintf("lease %d has lapsed", id))
		return
	}
	l.renew()
	simsrv.WriteJSON(w, http.StatusOK, leaseMessage{ID: id})
}

func (s *Server) handleRevoke(w http.ResponseWriter, r *http.Request) {
	id, ok := parseDecimal(w, "lease", mux.Vars(r)["lease"])
	if !ok {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.store.expire(id) {
		simsrv.WriteError(w, http.StatusNotFound, fmt.Sprintf("lease %d has lapsed", id))
		return
	}
	simsrv.WriteJSON(w, http.StatusOK, leaseMessage{ID: id})
}

func (s *Server) handleWatch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, ok := parseDecimal(w, "after", q.Get("after"))
	if !ok {
		return
	}
	waitMs, ok := parseDecimal(w, "waitMs", q.Get("waitMs"))
	if !ok {
		return
	}
	wait := min(time.Duration(waitMs)*time.Millisecond, maxWatchTime)
	resp, kept := s.waitForChanges(r, q.Get("prefix"), after, wait)
	if s.faults.Get().Down {
		simsrv.Abort()
	}
	if !kept {
		simsrv.WriteError(w, http.StatusGone, compactedProblem)
		return
	}
	simsrv.WriteJSON(w, http.StatusOK, resp)
}

// waitForChanges waits up to wait for changes of keys with the given prefix after a
// revision. It returns false if some of them have been compacted.
func (s *Server) waitForChanges(r *http.Request, prefix string, after int64, wait time.Duration) (rangeResponse, bool) {
	timeout := time.NewTimer(wait)
	defer timeout.Stop()
	for last := false; ; {
		s.mu.Lock()
		changes, kept := s.store.changesSince(prefix, after)
		resp := rangeResponse{Revision: s.store.revision, Records: changes}
		changed := s.store.changed
		s.mu.Unlock()
		if last || !kept || len(changes) > 0 {
			return resp, kept
		}
		// No change up to this revision matches the prefix. Resume from here, so that
		// writes to other keys can't compact the history that this watch needs.
		after = resp.Revision
		select {
		case <-changed:
			last = s.faults.Get().Down
		case <-timeout.C:
			last = true
		case <-r.Context().Done():
			last = true
		}
	}
}
