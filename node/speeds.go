package node

import (
	"time"
)

// judgeSpeeds updates which endpoints are believed slow, and logs the changes. reported maps
// those with a metric to their services; the new ones are returned.
func (n *Node) judgeSpeeds(now time.Time, reported map[string]string) map[string]string {
	const metric = "endpoint_factor"
	changes, slow := n.state.Registry.JudgeSpeeds(now)
	for _, c := range changes {
		message := "Slow spell of an endpoint."
		if c.IsLasting {
			message = "Belief about the speed of an endpoint changed."
		}
		n.logger.Info(message, "endpoint", c.Incarnation(), "service", c.Service, "slow", c.Factor > 1, "factor", c.Factor,
			"spell", c.InSpell, "ownObservations", c.OwnSamples, "neighboursObservations", c.NeighbourSamples)
	}
	out := make(map[string]string, len(slow))
	for _, v := range slow {
		out[v.ID] = v.Service
		n.meter.Set(metric, v.Factor, "service", v.Service, "endpoint", v.ID)
	}
	for id, service := range reported {
		if out[id] != service {
			n.meter.Remove(metric, "service", service, "endpoint", id)
		}
	}
	return out
}
