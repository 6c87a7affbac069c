package entry

import (
	"github.com/lavendermux/lavendermux/wire"
)

// setMetrics sets the gauges of the instance.
func (e *Entry) setMetrics(set func(name string, v float64, labels ...string)) {
	set("hub_active", boolValue(e.hub.Active()))
	set("ready", boolValue(e.beats.Ready() && !e.leaving()))
	set("jobs_held", float64(len(e.jobs.Held())))
	set("members_entries", float64(len(e.view.Entries())))
	for service, n := range countAvailable(e.view.Endpoints("")) {
		set("members_endpoints", float64(n), "service", service)
	}
	e.callerLimiter.SetMetrics(set, addressCallers)
	e.peerLimiter.SetMetrics(set, addressPeers)
	if e.disk != nil {
		set("disk_held_bytes", float64(e.disk.UsedBytes()))
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	for pool, h := range e.holders {
		set("job_fence", float64(h.Fence()), "pool", pool)
		for _, f := range h.Feeds() {
			f.Values(set)
		}
	}
}

// countAvailable counts the endpoints that accept work, by service.
func countAvailable(all []*wire.EndpointState) map[string]int {
	out := map[string]int{}
	for _, ep := range all {
		if ep.GetReady() && !ep.GetDraining() && !ep.GetGone() {
			out[ep.GetService()]++
		}
	}
	return out
}

func boolValue(on bool) float64 {
	if on {
		return 1
	}
	return 0
}
