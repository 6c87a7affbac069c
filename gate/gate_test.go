package gate

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/lavendermux/lavendermux/fault"
	"github.com/lavendermux/lavendermux/queue"
	"github.com/lavendermux/lavendermux/slots"
	"github.com/lavendermux/lavendermux/wire"
	. "github.com/onsi/gomega"
)

func live() *wire.RunRequest {
	return &wire.RunRequest{Pool: "drafts", Caller: "clerk", Kind: wire.WorkKind_WORK_KIND_LIVE, ExpectedTokens: 100}
}

func rollout() *wire.RunRequest {
	return &wire.RunRequest{Pool: "drafts", Caller: "trainer", Kind: wire.WorkKind_WORK_KIND_ROLLOUT, ExpectedTokens: 100}
}

func causeOf(err error) string {
	var notRun *fault.NotRunError
	if errors.As(err, &notRun) {
		return notRun.Cause
	}
	return "none"
}

// The only slot is taken for longer than a clerk can wait, and nothing else
// happens at the door. Without a timer the clerk would hear at the deadline or
// never; so the refusal comes while there is time to ask elsewhere.
func TestHopelessRequestIsRefusedAtThatMoment(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		gate := New(slots.New(1))
		leave, err := gate.Enter(t.Context(), live())
		g.Expect(err).NotTo(HaveOccurred())
		const patience = 20 * time.Second
		ctx, cancel := context.WithTimeout(t.Context(), patience)
		defer cancel()
		begun := time.Now()
		_, err = gate.Enter(ctx, live())
		g.Expect(causeOf(err)).To(Equal(queue.CauseSaturated))
		g.Expect(ctx.Err()).NotTo(HaveOccurred())
		g.Expect(time.Since(begun)).To(And(BeNumerically(">", 0), BeNumerically("<", patience)))
		g.Expect(gate.Load().GetWaiting()).To(BeZero())
		leave(100)
		g.Expect(gate.Load().GetRunning()).To(BeZero())
	})
}

// A parent closes the page while the request waits. Its place goes to the next;
// a slot given to nobody would be lost until the door restarts.
func TestCallerThatHangsUpFreesItsPlace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		gate := New(slots.New(1))
		leave, err := gate.Enter(t.Context(), live())
		g.Expect(err).NotTo(HaveOccurred())
		ctx, hangUp := context.WithCancel(t.Context())
		gone := make(chan error, 1)
		go func() {
			_, err := gate.Enter(ctx, live())
			gone <- err
		}()
		synctest.Wait()
		g.Expect(gate.Load().GetWaiting()).To(Equal(int64(1)))
		hangUp()
		g.Expect(causeOf(<-gone)).To(Equal(CauseGone))
		g.Expect(gate.Load().GetWaiting()).To(BeZero())
		leave(100)
		_, err = gate.Enter(t.Context(), live())
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(gate.Load().GetRunning()).To(Equal(int64(1)))
	})
}

// A slot falls free in the moment in which its caller hangs up, a hundred times
// over. Whichever comes first, the slot is there for the next.
func TestSlotGrantedToACallerWhoLeavesComesBack(t *testing.T) {
	for range 100 {
		synctest.Test(t, func(t *testing.T) {
			g := NewWithT(t)
			gate := New(slots.New(1))
			leave, err := gate.Enter(t.Context(), live())
			g.Expect(err).NotTo(HaveOccurred())
			ctx, hangUp := context.WithCancel(t.Context())
			go func() {
				if got, err := gate.Enter(ctx, live()); err == nil {
					got(0)
				}
			}()
			synctest.Wait()
			leave(100)
			hangUp()
			synctest.Wait()
			g.Expect(gate.Load().GetRunning()).To(BeZero())
		})
	}
}

// An operator keeps half of the slots for live work while rollouts wait. From
// then on no more of them start, and those that run are left alone.
func TestDivideHoldsFromThenOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		gate := New(slots.New(2))
		var leaves []func(int64)
		for range 2 {
			leave, err := gate.Enter(t.Context(), rollout())
			g.Expect(err).NotTo(HaveOccurred())
			leaves = append(leaves, leave)
		}
		started := make(chan func(int64), 1)
		go func() {
			leave, err := gate.Enter(t.Context(), rollout())
			g.Expect(err).NotTo(HaveOccurred())
			started <- leave
		}()
		synctest.Wait()
		gate.Divide(slots.WithLiveReserve(0.5))
		g.Expect(gate.Load().GetRunning()).To(Equal(int64(2)))
		leaves[0](100)
		synctest.Wait()
		g.Expect(started).NotTo(Receive())
		leave, err := gate.Enter(t.Context(), live())
		g.Expect(err).NotTo(HaveOccurred())
		leave(100)
		gate.Divide(slots.WithLiveReserve(0))
		synctest.Wait()
		g.Expect(started).To(Receive())
	})
}
