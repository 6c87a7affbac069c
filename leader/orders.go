package leader

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lavendermux/lavendermux/sleep"
)

const (
	// loadInterval is how often an instance sends its load if endpoints are ordered.
	loadInterval = time.Second
	// loadTTL is how long the load of an instance stays valid.
	loadTTL = 4 * loadInterval

	outcomeTaken = "taken"
)

// orderAll orders all due numbers of endpoints from the platform.
func (l *Leader) orderAll(ctx context.Context) {
	if l.scaler.Load() == nil {
		return
	}
	load, isComplete := l.load()
	due := l.scaler.DueOrders(load, isComplete)
	for _, service := range slices.Sorted(maps.Keys(due)) {
		for _, dc := range slices.Sorted(maps.Keys(due[service])) {
			if !l.placeOrder(ctx, service, dc, due[service][dc], load[service], isComplete) {
				return
			}
		}
	}
}

// placeOrder sends one order and reports whether the next one may follow immediately.
func (l *Leader) placeOrder(ctx context.Context, service, dataCentre string, count int, load float64, isComplete bool) bool {
	start := time.Now()
	epoch, acted, err := l.callPlatform(ctx, func(ctx context.Context, holder string, epoch int64) error {
		return l.scaler.Order(ctx, holder, epoch, service, dataCentre, count)
	})
	if !acted {
		return false
	}
	var rejected *RejectedError
	outcome := outcomeTaken
	switch {
	case errors.As(err, &rejected):
		outcome = outcomeRejected
	case err != nil:
		outcome = outcomeFailed
	}
	l.meter.Count("scaling_orders_total", 1, "service", service, "outcome", outcome)
	l.logger.Info("Endpoints ordered.", "service", service, "dataCentre", dataCentre, "count", count, "load", load,
		"whole", isComplete, "epoch", epoch, "outcome", outcome, "error", err, "took", time.Since(start).Round(time.Millisecond))
	if outcome == outcomeFailed {
		sleep.For(ctx, retryDelay)
		return false
	}
	return true
}

// load returns the load of all instances by service, and whether every live instance
// with callers has sent its own recently.
func (l *Leader) load() (load map[string]float64, isComplete bool) {
	load, isComplete = l.scaler.Load(), true
	peers := l.mesh.Alive()
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range l.received {
		if now.Sub(c.at) > loadTTL {
			continue
		}
		for service, n := range c.Load {
			load[service] += n
		}
	}
	for _, p := range peers {
		c, received := l.received[p.Holder()]
		isComplete = isComplete && (!p.Plans || received && now.Sub(c.at) <= loadTTL)
	}
	return load, isComplete
}

func (noScaler) Load() map[string]float64 { return nil }

func (noScaler) DueOrders(map[string]float64, bool) map[string]map[string]int { return nil }

func (noScaler) Order(context.Context, string, int64, string, string, int) error { return nil }
