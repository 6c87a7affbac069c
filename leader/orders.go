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
	// loadEvery is how often an instance tells its load where endpoints are ordered.
	loadEvery = time.Second
	// loadFresh is how long a load counts that an instance told.
	loadFresh = 4 * loadEvery

	outcomeTaken = "taken"
)

// orderAll has the platform run as many endpoints as are wanted.
func (l *Leader) orderAll(ctx context.Context) {
	if l.scale.Load() == nil {
		return
	}
	load, isWhole := l.load()
	due := l.scale.Due(load, isWhole)
	for _, service := range slices.Sorted(maps.Keys(due)) {
		for _, dc := range slices.Sorted(maps.Keys(due[service])) {
			if !l.order(ctx, service, dc, due[service][dc], load[service], isWhole) {
				return
			}
		}
	}
}

// order makes one order, and reports whether the next one may follow at once.
func (l *Leader) order(ctx context.Context, service, dataCentre string, count int, load float64, isWhole bool) bool {
	start := time.Now()
	epoch, acted, err := l.act(ctx, func(ctx context.Context, holder string, epoch int64) error {
		return l.scale.Order(ctx, holder, epoch, service, dataCentre, count)
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
		"whole", isWhole, "epoch", epoch, "outcome", outcome, "error", err, "took", time.Since(start).Round(time.Millisecond))
	if outcome == outcomeFailed {
		sleep.For(ctx, againAfter)
		return false
	}
	return true
}

// load is the load of all instances by service, and whether all that live have told theirs.
func (l *Leader) load() (load map[string]float64, isWhole bool) {
	load, isWhole = l.scale.Load(), true
	peers := l.mesh.Alive()
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range l.told {
		if now.Sub(c.at) > loadFresh {
			continue
		}
		for service, n := range c.Load {
			load[service] += n
		}
	}
	for _, p := range peers {
		c, told := l.told[p.Holder()]
		isWhole = isWhole && (!p.Plans || told && now.Sub(c.at) <= loadFresh)
	}
	return load, isWhole
}

func (unscaled) Load() map[string]float64 { return nil }

func (unscaled) Due(map[string]float64, bool) map[string]map[string]int { return nil }

func (unscaled) Order(context.Context, string, int64, string, string, int) error { return nil }
