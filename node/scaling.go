package node

import (
	"context"

	"maps"
	"slices"
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/lavendermux/lavendermux/epset"
	"github.com/lavendermux/lavendermux/leader"
	"github.com/lavendermux/lavendermux/manif"
	"github.com/lavendermux/lavendermux/scaler"
)

type (
	// endpointScaler decides the number of endpoints of the services that are scaled
	// automatically. It implements the interface of leader.WithScaler.
	endpointScaler struct {
		node *Node

		mu sync.Mutex
		// recommenders is keyed by service. lastOrders has the counts last sent to the
		// platform, initially the counts that this instance first observed.
		recommenders map[string]*scaler.Recommender
		lastOrders   map[scalingKey]int
	}

	// scalingKey identifies the target of a scaling order.
	scalingKey struct {
		service, dataCentre string
	}
)

func newEndpointScaler(n *Node) *endpointScaler {
	return &endpointScaler{node: n, recommenders: make(map[string]*scaler.Recommender), lastOrders: make(map[scalingKey]int)}
}

// ordersScaling reports whether the platform accepts scaling orders.
func (n *Node) ordersScaling() bool { return n.cfg.Scaling && n.adapters.Scale != nil }

// scaledServices returns the services that are scaled automatically, sorted by name.
func (s *endpointScaler) scaledServices() []manif.Service {
	m := s.node.state.Manifest()
	if m == nil || !s.node.ordersScaling() {
		return nil
	}
	var out []manif.Service
	for _, name := range slices.Sorted(maps.Keys(m.Services)) {
		if m.Services[name].Scaling != nil {
			out = append(out, m.Services[name])
		}
	}
	return out
}

// Load returns the queued and running items of each scaled service, as seen by this
// instance.
func (s *endpointScaler) Load() map[string]float64 {
	services := s.scaledServices()
	if len(services) == 0 {
		return nil
	}
	queued, load := s.node.runner.QueuedItems(), make(map[string]float64, len(services))
	for _, svc := range services {
		load[svc.Name] = float64(queued[svc.Name])
	}
	for _, v := range s.node.state.Registry.All() {
		if _, ok := load[v.Service]; ok {
			load[v.Service] += float64(v.Running)
		}
	}
	return load
}

// DueOrders returns the endpoint counts to order, by service and data centre. The load is
// partial unless isComplete is set.
func (s *endpointScaler) DueOrders(load map[string]float64, isComplete bool) map[string]map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	views := s.node.state.Registry.All()
	due := make(map[string]map[string]int)
	for _, svc := range s.scaledServices() {
		st := observe(svc, views)
		st.Now, st.Load, st.Partial = s.node.monotonic(), load[svc.Name], !isComplete
		rec := s.recommenders[svc.Name]
		if rec == nil {
			rec = scaler.New()
			s.recommenders[svc.Name] = rec
		}
		targets := rec.Targets(*svc.Scaling, st)
		due[svc.Name] = make(map[string]int)
		for dc, n := range targets {
			key := scalingKey{service: svc.Name, dataCentre: dc}
			if _, ok := s.lastOrders[key]; !ok {
				s.lastOrders[key] = st.Endpoints[dc]
			}
			if n != s.lastOrders[key] {
				due[svc.Name][dc] = n
			}
		}
	}
	return due
}

// observe returns the known state of a service's endpoints.
func observe(svc manif.Service, views []epset.View) scaler.Observation {
	st := scaler.Observation{Slots: svc.Slots, Endpoints: make(map[string]int)}
	for _, v := range views {
		if v.Service == svc.Name && !v.Draining {
			st.Endpoints[v.DataCentre]++
			st.Slots = max(st.Slots, v.Slots)
		}
	}
	return st
}

// Order sends one scaling order to the platform. An order that the platform rejects is not
// repeated until the target changes.
func (s *endpointScaler) Order(ctx context.Context, holder string, epoch int64, service, dataCentre string, count int) error {
	err := s.node.adapters.Scale(ctx, holder, epoch, service, dataCentre, count)
	var rejected *leader.RejectedError
	if err == nil || errors.As(err, &rejected) {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.lastOrders[scalingKey{service: service, dataCentre: dataCentre}] = count
	}
	return err
}
