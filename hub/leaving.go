package hub

import (
	"context"
	"time"

	"github.com/lavendermux/lavendermux/insts"
	"github.com/lavendermux/lavendermux/wire"
)

// listEvery is how often a hub reads the instance list. Two hubs in each of 7
// data centres then ask it 7 times a second, whatever the size of the fleet.
const listEvery = 2 * time.Second

// WithList sets the platform's instance list, which says who is leaving. By
// default nobody is.
func WithList(list func(ctx context.Context) ([]insts.Instance, error)) Option {
	return func(h *Hub) { h.instances = list }
}

// followLeaving reads the instance list until ctx ends. The process beside an
// endpoint need not know that the platform is about to take the endpoint away;
// were the list not read, the endpoint would get work until it is gone, and that
// work would be cut off.
func (h *Hub) followLeaving(ctx context.Context) {
	if h.instances == nil {
		return
	}
	ticker := time.NewTicker(listEvery)
	defer ticker.Stop()
	for {
		h.readLeaving(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// readLeaving keeps what it knows when the list does not answer.
func (h *Hub) readLeaving(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, listEvery)
	defer cancel()
	listed, err := h.instances(ctx)
	if err != nil {
		h.log.Debug("instance list not read", "err", err)
		return
	}
	leaving := map[string]bool{}
	for _, i := range listed {
		if i.State == insts.StateLeaving {
			leaving[i.ID] = true
		}
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.leaving = leaving
}

// mark makes the membership show an endpoint that is leaving as draining, so that
// every entry stops sending to it. The caller holds mu.
func (h *Hub) mark(ep *wire.EndpointState) {
	if ep != nil && h.leaving[ep.GetInstance()] {
		ep.Draining = true
	}
}
