// Package sleep waits for a duration or for the end of a context.
package sleep

import (
	"context"
	"time"
)

// For waits for d, or until ctx ends, and reports whether d has passed. A d of zero or
// less passes at once unless ctx has ended.
//
//	for sleep.For(ctx, time.Second) {
//		sweep()
//	}
func For(ctx context.Context, d time.Duration) bool {
	if ctx.Err() != nil {
		return false
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}
