package node

import (
	"encoding/json"
	"net/http"
	"slices"
	"time"

	"github.com/lavendermux/lavendermux/epset"
	"github.com/lavendermux/lavendermux/views"
)

// serveView responds with this process's view of the deployment.
func (n *Node) serveView(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(n.view()); err != nil {
		n.logger.Debug("View not sent.", "error", err)
	}
}

func (n *Node) view() views.View {
	v := views.View{Instance: n.cfg.Instance, DataCentre: n.cfg.DataCentre, Stopping: n.stopping.Load()}
	if n.loader != nil {
		n.addSidecarView(&v)
		return v
	}
	v.Role = views.RoleData
	if n.cfg.FrontAddr != "" {
		v.Role = views.RoleEntry
	}
	if m := n.state.Manifest(); m != nil {
		v.Manifest, v.Routes = m.Version, len(m.Routes)
	}
	v.Incarnation = n.mesh.Self().Boot
	v.Ready = n.isReady()
	v.StoreReachable = n.store.DirectAvailable() || len(n.mesh.ReachingStore()) > 0
	v.CPUStarved = n.cpuLag.Strained()
	v.LeaderEpoch = n.leaderEpoch()
	v.Batches = n.runner.Holding()
	for _, p := range n.mesh.Alive() {
		v.Peers = append(v.Peers, p.Name)
	}
	now := time.Now()
	for _, e := range n.state.Registry.All() {
		v.Endpoints = append(v.Endpoints, endpointView(e, now))
	}
	v.PoisonRequests = n.guard.List()
	return v
}

func (n *Node) addSidecarView(v *views.View) {
	v.Role, v.LocalEndpoint = views.RoleSidecar, n.cfg.Endpoint
	state := n.loader.Snapshot()
	v.Versions = state.Versions
	for model, loading := range state.Loading {
		if loading {
			v.Loading = append(v.Loading, model)
		}
	}
	slices.Sort(v.Loading)
}

func endpointView(e epset.View, now time.Time) views.Endpoint {
	return views.Endpoint{
		ID: e.ID, Service: e.Service, Addr: e.Addr, Running: e.Running, Slots: e.Slots, Draining: e.Draining,
		Avoided: now.Before(e.AvoidUntil), UnitTimeMs: float64(e.UnitTime.Microseconds()) / 1000, Versions: e.Versions,
	}
}
