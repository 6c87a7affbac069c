package simeng

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/lavendermux/lavendermux/order"
	"github.com/lavendermux/lavendermux/sims/simsrv"
)

type (
	fenceResponse struct {
		Fence int64 `json:"fence"`
	}

	// failure is the error response to an order that failed.
	failure struct {
		status  int
		problem string
	}
)

func (s *Server) handleOrder(w http.ResponseWriter, r *http.Request, p *process) {
	var o order.Order
	if !simsrv.ReadJSON(w, r, &o) {
		return
	}
	if current, ok := s.checkFence(p, o.Fence); !ok {
		simsrv.WriteJSON(w, http.StatusConflict, fenceResponse{Fence: current})
		return
	}
	f := s.execute(r.Context(), p, o)
	if s.faults.TakeOne(func(f *faults) *int { return &f.LoseOrderResponses }) {
		simsrv.Abort()
	}
	if f != nil {
		simsrv.WriteError(w, f.status, f.problem)
		return
	}
	s.handleState(w, r, p)
}

// checkFence records fence, the fencing token of an order. It returns the highest
// token so far, and false if fence is lower than that.
func (s *Server) checkFence(p *process, fence int64) (int64, bool) {
	checks := s.checksFence()
	s.mu.Lock()
	defer s.mu.Unlock()
	if checks && fence < p.fence {
		s.counts.FencedOrders++
		return p.fence, false
	}
	s.counts.Orders++
	p.fence = max(p.fence, fence)
	return p.fence, true
}

func (s *Server) execute(ctx context.Context, p *process, o order.Order) *failure {
	switch o.Kind {
	case order.Stage:
		return s.stage(ctx, p, o)
	case order.Switch:
		return s.switchVersion(p, o)
	case order.Unload:
		return s.unload(p, o)
	case order.Role:
		s.mu.Lock()
		defer s.mu.Unlock()
		p.role = o.Role
		return nil
	}
	return &failure{http.StatusBadRequest, "kind: " + o.Kind + " is not known"}
}

// stage fetches a version. It adds a model that the engine doesn't have yet,
// without a version in use.
func (s *Server) stage(ctx context.Context, p *process, o order.Order) *failure {
	if o.Model == "" || o.Version == "" {
		return &failure{http.StatusBadRequest, "model and version: must be given"}
	}
	if err := s.fetch(ctx, o.Model, o.Version); err != nil {
		return &failure{http.StatusBadGateway, err.Error()}
	}
	s.sleep(p, s.config.stageTime)
	if s.faults.TakeOne(func(f *faults) *int { return &f.FailStages }) {
		return &failure{http.StatusInternalServerError, "staging failed"}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	m := p.models[o.Model]
	if m == nil {
		m = &model{staged: make(map[string]bool)}
		p.models[o.Model] = m
	}
	if s.config.maxVersions > 0 && !m.staged[o.Version] && len(m.staged) >= s.config.maxVersions {
		return &failure{http.StatusInsufficientStorage, "memory is full of versions of " + o.Model}
	}
	m.staged[o.Version] = true
	return nil
}

// fetch downloads a version from the weight store and discards the data.
func (s *Server) fetch(ctx context.Context, model, version string) error {
	if s.config.weightStore == "" {
		return nil
	}
	path := "/v1/models/" + url.PathEscape(model) + "/versions/" + url.PathEscape(version) + "/data"
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, strings.TrimRight(s.config.weightStore, "/")+path, nil)
	if err != nil {
		return err
	}
	resp, err := s.config.http.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("weight store answered %d for %s version %s", resp.StatusCode, model, version)
	}
	_, err = io.Copy(io.Discard, resp.Body)
	return err
}

// switchVersion puts a staged version in use. The model's streams pause during
// the switch and continue with the new weights.
func (s *Server) switchVersion(p *process, o order.Order) *failure {
	s.switchSem <- struct{}{}
	defer func() { <-s.switchSem }()
	s.mu.Lock()
	m := p.models[o.Model]
	if m == nil || !m.staged[o.Version] {
		s.mu.Unlock()
		return &failure{http.StatusNotFound, o.Model + " version " + o.Version + " is not staged"}
	}
	m.version = ""
	m.switching = true
	p.epoch++
	s.mu.Unlock()

	s.sleep(p, s.config.switchTime)
	failed := s.faults.TakeOne(func(f *faults) *int { return &f.FailSwitches })

	s.mu.Lock()
	defer s.mu.Unlock()
	m.switching = false
	p.epoch++
	if failed {
		return &failure{http.StatusInternalServerError, "the switch failed halfway"}
	}
	m.version = o.Version
	return nil
}

func (s *Server) unload(p *process, o order.Order) *failure {
	s.mu.Lock()
	defer s.mu.Unlock()
	m := p.models[o.Model]
	if m == nil || !m.staged[o.Version] {
		return nil
	}
	if m.version == o.Version {
		return &failure{http.StatusPreconditionFailed, o.Model + " version " + o.Version + " is in use"}
	}
	delete(m.staged, o.Version)
	return nil
}

// sleep waits for d and aborts the request if the engine crashes meanwhile.
func (s *Server) sleep(p *process, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-p.crashed:
		simsrv.Abort()
	}
}

// parseCache splits an exported KV cache into model, version and text.
func parseCache(raw string) (model, version, text string, ok bool) {
	head, text, ok := strings.Cut(raw, ":")
	model, version, at := strings.Cut(head, "@")
	return model, version, text, ok && at
}
