package accept

import (
	"context"
	"time"

	"github.com/charmbracelet/log"

	"github.com/lavendermux/lavendermux/bound"
	"github.com/lavendermux/lavendermux/sleep"
)

// watchInterval is how often the log says that clients were cut off, if any were.
const watchInterval = 5 * time.Second

// SetMetrics sets the gauges of the address that the limiter is for.
func (lim *Limiter) SetMetrics(set func(name string, v float64, labels ...string), address string) {
	for what, pool := range lim.pools() {
		set("clients_"+what+"_used", float64(pool.Used()), "address", address)
		set("clients_"+what+"_evicted", float64(pool.Evictions()), "address", address)
		set("clients_"+what+"_refused", float64(pool.Refusals()), "address", address)
	}
}

// Watch logs, every five seconds at most, that clients were cut off or refused, until ctx is done.
func (lim *Limiter) Watch(ctx context.Context, logger *log.Logger, address string) {
	known := make(map[string]int64)
	for sleep.For(ctx, watchInterval) {
		for what, pool := range lim.pools() {
			evicted, refused := pool.Evictions(), pool.Refusals()
			if evicted+refused == known[what] {
				continue
			}
			known[what] = evicted + refused
			logger.Warn("Clients cut off to make room.", "address", address, "for", what, "used", pool.Used(), "of", pool.Total(),
				"evicted", evicted, "refused", refused)
		}
	}
}

func (lim *Limiter) pools() map[string]*bound.Pool {
	pools := map[string]*bound.Pool{"connections": lim.connections, "heads": lim.requests}
	if lim.bodies != nil {
		pools["bodies"] = lim.bodies
	}
	return pools
}
