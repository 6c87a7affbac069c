package simeng

import (
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/gorilla/mux"
	"github.com/lavendermux/lavendermux/genev"
	"github.com/lavendermux/lavendermux/genreq"
	"github.com/lavendermux/lavendermux/sims/simsrv"
)

type (
	eventsResponse struct {
		Events []event `json:"events"`
	}

	cacheMessage struct {
		Cache []byte `json:"cache"`
	}
)

func (s *Server) handleGenerate(w http.ResponseWriter, r *http.Request, p *process) {
	var req genreq.Request
	if !simsrv.ReadJSON(w, r, &req) {
		return
	}
	if req.ID == "" || req.MaxTokens <= 0 {
		simsrv.WriteError(w, http.StatusBadRequest, "id and maxTokens: must be given")
		return
	}
	st := newStream(&s.config, req)
	if status, problem := s.admit(p, st); status != http.StatusOK {
		simsrv.WriteError(w, status, problem)
		return
	}
	defer func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		p.remove(st)
	}()
	w.Header().Set("Content-Type", "text/event-stream")
	s.streamTokens(w, r, p, st)
}

func (s *Server) admit(p *process, st *stream) (int, string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if p.models[st.req.Model] == nil {
		return http.StatusNotFound, "model: " + strconv.Quote(st.req.Model) + " is not loaded"
	}
	if p.streams[st.req.ID] != nil {
		return http.StatusBadRequest, "id: " + strconv.Quote(st.req.ID) + " runs already"
	}
	if !p.admit(st) {
		return http.StatusTooManyRequests, "all slots are taken and too many wait"
	}
	return http.StatusOK, ""
}

// streamTokens writes events until the stream completes, is cancelled or its
// connection ends.
func (s *Server) streamTokens(w http.ResponseWriter, r *http.Request, p *process, st *stream) {
	tick := time.NewTicker(s.config.tick)
	defer tick.Stop()
	for {
		s.waitForSlot(r, p, st)
		select {
		case <-tick.C:
		case <-st.cancelled:
		case <-p.crashed:
			simsrv.Abort()
		case <-r.Context().Done():
			return
		}
		t, done := s.stepStream(p, st)
		if t.Tokens > 0 && writeEvent(w, t) != nil {
			return
		}
		if done {
			s.waitWhileHung(r, p)
			_ = writeEvent(w, genev.Event{Done: true, TotalTokens: st.generated, Finish: st.finish})
			return
		}
	}
}

// waitForSlot returns when st has a slot or is cancelled, the engine crashes or
// the client disconnects.
func (s *Server) waitForSlot(r *http.Request, p *process, st *stream) {
	s.mu.Lock()
	granted := st.granted
	s.mu.Unlock()
	select {
	case <-granted:
		return
	default:
	}
	select {
	case <-granted:
	case <-st.cancelled:
	case <-p.crashed:
	case <-r.Context().Done():
	}
}

// stepStream generates the tokens that are due and reports whether the stream
// has ended.
func (s *Server) stepStream(p *process, st *stream) (genev.Event, bool) {
	f := s.faults.Get()
	s.mu.Lock()
	defer s.mu.Unlock()
	select {
	case <-st.cancelled:
		st.finish = finishCancelled
		s.counts.Cancelled++
		return genev.Event{}, true
	case <-st.granted:
	default:
		return genev.Event{}, false
	}
	s.countStream(st)
	promptTokens, cachedTokens := st.promptTokens, st.cachedTokens
	t := p.advance(st, time.Now(), f)
	s.counts.PromptTokens += st.promptTokens - promptTokens
	s.counts.CachedTokens += st.cachedTokens - cachedTokens
	s.counts.Tokens += t.Tokens
	done := st.generated >= st.length
	if done {
		s.counts.Completed++
	}
	return t, done
}

func (s *Server) handleCancel(w http.ResponseWriter, r *http.Request, p *process) {
	id, err := url.PathUnescape(mux.Vars(r)["id"])
	if err != nil {
		simsrv.WriteError(w, http.StatusBadRequest, err.Error())
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if st := p.streams[id]; st != nil {
		select {
		case <-st.cancelled:
		default:
			close(st.cancelled)
		}
	}
	simsrv.WriteJSON(w, http.StatusOK, struct{}{})
}

func (s *Server) handleState(w http.ResponseWriter, _ *http.Request, p *process) {
	checks := s.checksFence()
	s.mu.Lock()
	st := p.state(time.Now(), checks)
	s.mu.Unlock()
	simsrv.WriteJSON(w, http.StatusOK, st)
}

func (s *Server) checksFence() bool {
	return s.config.checksFence && !s.faults.Get().IgnoreFence
}

// handleExport responds with a request's model, version and text, which stand for
// its KV cache and let an import rebuild it.
func (s *Server) handleExport(w http.ResponseWriter, r *http.Request, p *process) {
	id, err := url.PathUnescape(mux.Vars(r)["id"])
	if err != nil {
		simsrv.WriteError(w, http.StatusBadRequest, err.Error())
		return
	}
	cache, found := s.export(p, id)
	if !found {
		simsrv.WriteError(w, http.StatusNotFound, id+" does not run")
		return
	}
	_, _ = io.WriteString(w, cache)
}

func (s *Server) export(p *process, id string) (string, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := p.streams[id]
	if st == nil {
		return "", false
	}
	version := p.models[st.req.Model].version
	return st.req.Model + "@" + version + ":" + st.req.Prompt + st.req.Prior, true
}

// handleImport adds an exported KV cache to the prefix cache. It rejects one
// computed by weights that are not in use.
func (s *Server) handleImport(w http.ResponseWriter, r *http.Request, p *process) {
	var in cacheMessage
	if !simsrv.ReadJSON(w, r, &in) {
		return
	}
	name, version, text, ok := parseCache(string(in.Cache))
	if !ok {
		simsrv.WriteError(w, http.StatusBadRequest, "cache: is not an exported KV cache")
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	m := p.models[name]
	if m == nil || m.version != version || version == "" {
		simsrv.WriteError(w, http.StatusConflict, "the KV cache is of weights that are not in use here")
		return
	}
	p.cache.lookupAndStore(prefixHashes(name, version, text), time.Now())
	simsrv.WriteJSON(w, http.StatusOK, struct{}{})
}

func (s *Server) handleEvents(w http.ResponseWriter, r *http.Request, p *process) {
	after, _ := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	s.mu.Lock()
	events := p.cache.eventsSince(after, time.Now().Add(-s.config.eventLag))
	s.mu.Unlock()
	simsrv.WriteJSON(w, http.StatusOK, eventsResponse{Events: events})
}
