package hubs

import (
	"context"
	"time"

	"github.com/lavendermux/lavendermux/insts"
	"github.com/lavendermux/lavendermux/wire"
)

const (
	// listEvery is how often a hub looks in the instance list who is leaving, on
	// behalf of all who beat to it. Each instance looking for itself would make
	// 500 calls a second at 1,050 instances; the hubs of seven data centres make 7.
	listEvery = 2 * time.Second
	// listTimeout bounds one look.
	listTimeout = 2 * time.Second
)

// watchList keeps who is leaving up to date until ctx ends. While the list gives
// no answer the last word stays.
func (h *Hub) watchList(ctx context.Context) {
	if h.listed == nil {
		return
	}
	tick := time.NewTicker(listEvery)
	defer tick.Stop()
	for {
		h.lookAtList(ctx)
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

func (h *Hub) lookAtList(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	all, err := h.listed(ctx)
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

// isLeaving says whether the sender of a beat is leaving. The caller holds mu.
func (h *Hub) isLeaving(req *wire.BeatRequest) bool {
	if e := req.GetEntry(); e != nil {
		return h.leaving[e.GetInstance()]
	}
	return h.leaving[req.GetEndpoint().GetInstance()]
}
