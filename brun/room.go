package brun

import (
	"math"
	"time"

	"github.com/lavendermux/lavendermux/batch"
)

const (
	// sortEvery is how often the items of a step are put in order again: engines come and
	// go, and whether the step fits is known better with each item that ends.
	sortEvery = time.Second
	// paceFresh is how long the pace of an engine counts: engines that were slow and have
	// had nothing to do since are as fast as any for all that is known.
	paceFresh = 800 * time.Millisecond
)

// sortItems puts the items of a submission in the order in which they should start. The
// runner's lock is held.
func (r *Runner) sortItems(h *held, now time.Time) {
	h.sortItems(r.stride(h.sub), r.room(h, now), now)
}

// room is how many tokens the engines can make for a submission until its results are
// due, math.MaxInt if there is no such time or it has passed: those that serve its model,
// whatever version they have just now, shared with other models, less what earlier
// submissions of the model still need. The runner's lock is held.
func (r *Runner) room(h *held, now time.Time) int {
	left := r.due(h.sub) - h.kept.Age(now)
	if left <= 0 {
		return math.MaxInt
	}
	speed := r.speed(h.sub, now)
	if speed == 0 {
		return math.MaxInt
	}
	room := int(speed * left.Seconds())
	for _, o := range r.held {
		if o != h && !o.ended && o.sub.Model == h.sub.Model && o.kept.Since.Before(h.kept.Since) {
			room -= o.left(r.stride(o.sub))
		}
	}
	return max(0, room)
}

// speed is the tokens a second that engines make for the model of a submission when all
// their places are taken; 0 if no engine is known.
func (r *Runner) speed(sub *batch.Submission, now time.Time) float64 {
	route, ok := r.route(sub)
	if !ok {
		return 0
	}
	stride, speed := float64(r.stride(sub)), 0.0
	for _, v := range r.set.Service(route.Service(sub.ID)) {
		if _, serves := v.Versions[sub.Model]; !serves || now.Before(v.AvoidUntil) {
			continue
		}
		took := unknownPace.Seconds()
		if now.Sub(v.WorkedAt) < paceFresh {
			took = pace(v)
		}
		speed += float64(v.Slots) * stride / took / float64(len(v.Versions))
	}
	return speed
}

// left is the output that the items are expected to make yet, in tokens.
func (h *held) left(stride int) int {
	n := 0
	for _, it := range h.items {
		n += it.left(stride)
	}
	return n
}
