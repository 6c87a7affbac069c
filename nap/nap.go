// Package nap waits for a time or for the end of a context.
package nap

import (
	"context"
	"time"
)

// For waits for d, or until ctx ends, and reports whether d has passed. A d of
// zero or less passes at once while ctx goes on.
//
//	for nap.For(ctx, time.Second) {
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
