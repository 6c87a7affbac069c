// Package work describes a unit of work for admission control, queueing and slot
// allocation.
package work

import (
	"time"

	"github.com/lavendermux/lavendermux/wire"
)

// Work is one request or one rollout attempt.
type Work struct {
	// Caller identifies the caller, the unit of fair queueing.
	Caller string
	// Pool is the rollout pool or plain service that the work belongs to.
	Pool string
	// Kind is live or rollout; live work goes first.
	Kind wire.WorkKind
	// Priority orders work of the same kind; greater goes first.
	Priority int32
	// Deadline is when the complete response becomes worthless; zero for none.
	Deadline time.Time
	// Objective is when the response should be complete: work that can still end by then
	// goes before other work of its priority. Zero for none.
	Objective time.Time
	// ExpectedTokens is the expected output in tokens. A call of a plain service counts 1.
	// If it is 0, unknown, the queue uses the mean of the work it has seen.
	ExpectedTokens int64
	// Arrived is when work arrived that an endpoint has refused and that returns to the
	// queue; zero for new work.
	Arrived time.Time
	// Bytes is the memory that the work takes while it waits; 0 if that is not limited.
	Bytes int64
}

// Live reports whether an interactive user waits for the work.
func (w Work) Live() bool {
	return w.Kind == wire.WorkKind_WORK_KIND_LIVE
}
