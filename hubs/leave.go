package hubs

import (
	"context"
	"time"

	"github.com/lavendermux/lavendermux/insts"
	"github.com/lavendermux/lavendermux/wire"
)

const (
	// listInterval is how often a hub reads from the instance list which instances are
	// leaving, on behalf of all that send it heartbeats. If each instance did this
	// itself, it would make 500 calls a second at 1,050 instances; the hubs of seven
	// data centres make 7.
	listInterval = 2 * time.Second
	// listTimeout bounds one read of the list.
	listTimeout = 2 * time.Second
)

// watchLeaving keeps the set of leaving instances up to date until ctx ends. While the
// list can't be read the last set stays.
func (h *Hub) watchLeaving(ctx context.Context) {
	if h.listInstances == nil {
		return
	}
	tick := time.NewTicker(listInterval)
	defer tick.Stop()
	for {
		h.refreshLeaving(ctx)
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

func (h *Hub) refreshLeaving(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	all, err := h.listInstances(ctx)
	if err != nil {
		return
	}
	leaving := map[string]bool{}
	for _, i := range all {
		if i.State == insts.StateLeaving {
			leaving[i.ID] = true
		}
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.leaving = leaving
}

// isLeaving reports whether the sender of a heartbeat is leaving. The caller holds
// h.mu.
func (h *Hub) isLeaving(req *wire.BeatRequest) bool {
	if e := req.GetEntry(); e != nil {
		return h.leaving[e.GetInstance()]
	}
	return h.leaving[req.GetEndpoint().GetInstance()]
}
