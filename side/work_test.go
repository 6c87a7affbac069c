package side

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/lavendermux/lavendermux/wire"
	"github.com/lavendermux/lavendermux/work"
)

// A request whose deadline, pool or priority were lost in the conversion would wait for
// longer than its caller does, in the share of another pool.
func TestToWork(t *testing.T) {
	g := NewWithT(t)
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	deadline, _ := ctx.Deadline()
	req := &wire.RunRequest{Pool: "filing", Caller: "trainer", Kind: wire.WorkKind_WORK_KIND_ROLLOUT, Priority: 3, ExpectedTokens: 100}
	g.Expect(toWork(ctx, req)).To(Equal(work.Work{Pool: "filing/rollouts", Caller: "trainer", Kind: wire.WorkKind_WORK_KIND_ROLLOUT,
		Priority: 3, ExpectedTokens: 100, Deadline: deadline}))
	req.Kind = wire.WorkKind_WORK_KIND_LIVE
	w := toWork(t.Context(), req)
	g.Expect(w.Pool).To(Equal("filing"))
	g.Expect(w.Deadline).To(BeZero())
}
