package brun

import (
	"math"
	"time"

	"github.com/lavendermux/lavendermux/batch"
)

const (
	// sortInterval is the interval at which the items of a step are sorted again: engines come
	// and go, and each finished item improves the estimate whether the step meets its due time.
	sortInterval = time.Second
	// eventIntervalTTL is how long a measured event interval is used: an engine that was slow
	// and has been idle since may be as fast as any other.
	eventIntervalTTL = 800 * time.Millisecond
)

// sortItems sets the order in which the items of a batch should start. The caller holds r.mu.
func (r *Runner) sortItems(b *tracked, now time.Time) {
	b.sortItems(r.stride(b.sub), r.capacity(b, now), now)
}

// capacity is the number of tokens that the engines can generate for a batch until its
// results are due, math.MaxInt if there is no due time or it has passed. It counts all engines
// that serve the model, whatever weight version they have now, shares them with other models,
// and subtracts what earlier batches of the model still need. The caller holds r.mu.
func (r *Runner) capacity(b *tracked, now time.Time) int {
	remaining := r.dueAfter(b.sub) - b.record.Age(now)
	if remaining <= 0 {
		return math.MaxInt
	}
	tokenRate := r.tokenRate(b.sub, now)
	if tokenRate == 0 {
		return math.MaxInt
	}
	capacity := int(tokenRate * remaining.Seconds())
	for _, other := range r.tracked {
		if other != b && !other.ended && other.sub.Model == b.sub.Model && other.record.AcceptedAt.Before(b.record.AcceptedAt) {
			capacity -= other.remaining(r.stride(other.sub))
		}
	}
	return max(0, capacity)
}

// tokenRate is the number of tokens per second that engines generate for the model of a batch
// when all their slots are in use; 0 if no engine is known.
func (r *Runner) tokenRate(sub *batch.Submission, now time.Time) float64 {
	route, ok := r.route(sub)
	if !ok {
		return 0
	}
	stride, tokenRate := float64(r.stride(sub)), 0.0
	for _, v := range r.endpoints.Available(route.PickService(sub.ID)) {
		if _, serves := v.Versions[sub.Model]; !serves || now.Before(v.AvoidUntil) {
			continue
		}
		interval := defaultEventInterval.Seconds()
		if now.Sub(v.MeasuredAt) < eventIntervalTTL {
			interval = eventInterval(v)
		}
		tokenRate += float64(v.Slots) * stride / interval / float64(len(v.Versions))
	}
	return tokenRate
}

// remaining is the expected remaining output of all items, in tokens.
func (b *tracked) remaining(stride int) int {
	n := 0
	for _, it := range b.items {
		n += it.remaining(stride)
	}
	return n
}
