package node

import (
	"github.com/lavendermux/lavendermux/accept"
	"github.com/lavendermux/lavendermux/bound"
	"github.com/lavendermux/lavendermux/clocks"
	"github.com/lavendermux/lavendermux/proxy"
	"github.com/lavendermux/lavendermux/usage"
)

// reportsUsage reports whether the platform collects the usage of customers.
func (n *Node) reportsUsage() bool { return n.cfg.Metering && n.adapters.ReportUsage != nil }

// countsCustomers reports whether requests are attributed to customers by API key and their
// usage is reported.
func (n *Node) countsCustomers() bool {
	m := n.state.Manifest()
	return m != nil && m.Keys != nil && n.reportsUsage()
}

// usageOptions returns the options that count the requests of customers if usage is reported.
func (n *Node) usageOptions(counter *usage.Counter, clock *clocks.Clock) []proxy.Option {
	if !n.reportsUsage() {
		return nil
	}
	return []proxy.Option{proxy.WithUsage(func(customer string) func() {
		window := counter.CountStart(customer, clock.Now())
		return func() { counter.Undo(customer, window) }
	})}
}

// forwarderOptions returns the options of the forwarder that depend on the configuration.
func (n *Node) forwarderOptions(counter *usage.Counter, clock *clocks.Clock) []proxy.Option {
	opts := append(n.usageOptions(counter, clock), proxy.WithAnswerMemory(n.limits.Answers, n.payload))
	if n.cfg.QueueRequests {
		opts = append(opts, proxy.WithQueue(n.cfg.MemoryBytes))
	}
	return opts
}

// setMetrics updates the gauges of the process.
func (n *Node) setMetrics() {
	n.limiters.Range(func(name, lim any) bool {
		lim.(*accept.Limiter).SetMetrics(n.meter.Set, name.(string))
		return true
	})
	for name, pool := range map[string]*bound.Pool{"payload": n.payload, "bodies": n.bodies, "batches": n.batches, "answers": n.answers} {
		n.meter.Set("memory_used_bytes", float64(pool.Used()), "for", name)
		n.meter.Set("memory_limit_bytes", float64(pool.Total()), "for", name)
	}
	if n.forwarder != nil {
		n.forwarder.SetMetrics()
	}
	if n.distributor != nil {
		n.distributor.SetMetrics(n.meter)
	}
}

// leaderEpoch returns the epoch of this instance while it is the leader, and 0 otherwise.
func (n *Node) leaderEpoch() int64 {
	if n.leader == nil {
		return 0
	}
	return n.leader.Epoch()
}
