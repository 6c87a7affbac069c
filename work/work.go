// Package work describes one piece of work to the decisions under load.
package work

import (
	"time"

	"github.com/lavendermux/lavendermux/wire"
)

// Work is what admission, the queue and the division of slots know of one
// request or one rollout attempt.
type Work struct {
	// Caller is who asked; fairness counts by it.
	Caller string
	// Pool is the rollout pool or plain service that the work belongs to.
	Pool string
	// Kind is live or rollout; live work goes first.
	Kind wire.WorkKind
	// Priority orders work of one kind; greater goes first.
	Priority int32
	// Deadline is when the whole answer is worth nothing any more; the zero
	// time for none.
	Deadline time.Time
	// Tokens is how many tokens the work is expected to make. A call of a plain
	// service counts 1. 0 when nobody can tell; the queue then takes the mean
	// of what it has seen.
	Tokens int64
}

// Live reports whether a live user waits for the work.
func (w Work) Live() bool {
	return w.Kind == wire.WorkKind_WORK_KIND_LIVE
}
