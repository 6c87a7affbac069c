package brun

import (
	"time"

	"github.com/lavendermux/lavendermux/manif"
)

// The causes for which an item that could run isn't sent.
const (
	waitSlot      waitCause = "no free slot"
	waitVersion   waitCause = "no free slot with the same weights"
	waitRetry     waitCause = "delay before a retry"
	waitOwnership waitCause = "check of the batch's ownership"
)

// waitLogInterval is how often it is logged why the items of a batch wait.
const waitLogInterval = time.Second

type (
	waitCause string

	// waits counts the items of a batch that wait, by cause. Those behind the last free slot
	// aren't counted.
	waits map[waitCause]int
)

// logWaits logs why items of a batch wait although this instance knows of free slots. The caller
// holds r.mu.
func (r *Runner) logWaits(b *tracked, route *manif.Route, w waits, now time.Time) {
	if len(w) == 0 || now.Sub(b.waitsLoggedAt) < waitLogInterval {
		return
	}
	b.waitsLoggedAt = now
	var free, loading, outdated, avoided int
	for _, split := range route.Split {
		for _, v := range r.endpoints.Available(split.Service) {
			free += max(0, v.Slots-v.Running)
			switch {
			case v.Loading[b.sub.Model]:
				loading++
			case v.Versions[b.sub.Model] < b.sub.MinVersion:
				outdated++
			case now.Before(v.AvoidUntil):
				avoided++
			}
		}
	}
	if free > 0 {
		r.logger.Info("Items wait beside free slots.", "batch", b.sub.ID, "causes", w, "freeSlots", free, "loading", loading, "outdated", outdated, "avoided", avoided)
	}
}
