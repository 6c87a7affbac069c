package side

import (
	"context"

	"github.com/lavendermux/lavendermux/gate"
	"github.com/lavendermux/lavendermux/wire"
	"github.com/lavendermux/lavendermux/work"
)

// engineGate is the gate of the engine's slots for requests in the form in which entry
// instances send them.
type engineGate struct {
	*gate.Limiter
}

// Enter waits for a slot, as gate.Limiter does. The work is due at the deadline of ctx.
func (g engineGate) Enter(ctx context.Context, req *wire.RunRequest) (leave func(tokens int64), err error) {
	return g.Limiter.Enter(ctx, toWork(ctx, req))
}

func toWork(ctx context.Context, req *wire.RunRequest) work.Work {
	w := work.Work{
		Caller:         req.GetCaller(),
		Pool:           slotPartition(req.GetPool(), req.GetKind()),
		Kind:           req.GetKind(),
		Priority:       req.GetPriority(),
		ExpectedTokens: req.GetExpectedTokens(),
	}
	if deadline, ok := ctx.Deadline(); ok {
		w.Deadline = deadline
	}
	return w
}

// slotPartition names the partition of a pool's slots to which work of a kind counts, as
// when minima are set: the live work and the rollouts of a pool each have their own.
func slotPartition(pool string, kind wire.WorkKind) string {
	if kind == wire.WorkKind_WORK_KIND_ROLLOUT {
		return pool + "/rollouts"
	}
	return pool
}
