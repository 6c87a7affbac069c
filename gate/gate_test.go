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
	"github.com/lavendermux/lavendermux/work"
	. "github.com/onsi/gomega"
)

func live() work.Work {
	return work.Work{Pool: "pool", Caller: "user", Kind: wire.WorkKind_WORK_KIND_LIVE, ExpectedTokens: 100}
}

func rollout() work.Work {
	return work.Work{Pool: "pool/rollouts", Caller: "trainer", Kind: wire.WorkKind_WORK_KIND_ROLLOUT, ExpectedTokens: 100}
}

func causeOf(err error) string {
	var notRun *fault.NotRunError
	if errors.As(err, &notRun) {
		return notRun.Cause
	}
	return "none"
}

// The only slot is taken beyond the deadline of a waiting request, and nothing
// else happens. Without a timer the request would be refused at its deadline or
// never, too late to try another endpoint.
func TestHopelessRequestIsRefusedAtThatMoment(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		gate := New(slots.New(1))
		release, err := gate.Enter(t.Context(), live())
		g.Expect(err).NotTo(HaveOccurred())
		const timeout = 20 * time.Second
		ctx, cancel := context.WithTimeout(t.Context(), timeout)
		defer cancel()
		begin := time.Now()
		late := live()
		late.Deadline = begin.Add(timeout)
		_, err = gate.Enter(ctx, late)
		g.Expect(causeOf(err)).To(Equal(queue.CauseSaturated))
		g.Expect(ctx.Err()).NotTo(HaveOccurred())
		g.Expect(time.Since(begin)).To(And(BeNumerically(">", 0), BeNumerically("<", timeout)))
		g.Expect(gate.Load().GetWaiting()).To(BeZero())
		release(100)
		g.Expect(gate.Load().GetRunning()).To(BeZero())
	})
}

// A caller disconnects while its request waits, and the slot goes to the next. A
// slot granted to it would be lost until the sidecar restarts.
func TestCallerThatHangsUpFreesItsPlace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		gate := New(slots.New(1))
		release, err := gate.Enter(t.Context(), live())
		g.Expect(err).NotTo(HaveOccurred())
		ctx, disconnect := context.WithCancel(t.Context())
		result := make(chan error, 1)
		go func() {
			_, err := gate.Enter(ctx, live())
			result <- err
		}()
		synctest.Wait()
		g.Expect(gate.Load().GetWaiting()).To(Equal(int64(1)))
		disconnect()
		g.Expect(causeOf(<-result)).To(Equal(CauseCallerGone))
		g.Expect(gate.Load().GetWaiting()).To(BeZero())
		release(100)
		_, err = gate.Enter(t.Context(), live())
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(gate.Load().GetRunning()).To(Equal(int64(1)))
	})
}

// Guards against losing a slot that becomes free at the moment its caller
// disconnects. The order of the two events is random; hence 100 runs.
func TestSlotGrantedToACallerWhoLeavesComesBack(t *testing.T) {
	for range 100 {
		synctest.Test(t, func(t *testing.T) {
			g := NewWithT(t)
			gate := New(slots.New(1))
			release, err := gate.Enter(t.Context(), live())
			g.Expect(err).NotTo(HaveOccurred())
			ctx, disconnect := context.WithCancel(t.Context())
			go func() {
				if got, err := gate.Enter(ctx, live()); err == nil {
					got(0)
				}
			}()
			synctest.Wait()
			release(100)
			disconnect()
			synctest.Wait()
			g.Expect(gate.Load().GetRunning()).To(BeZero())
		})
	}
}

// Half of the slots are reserved for live work while rollouts wait. From then on
// no more rollouts start, and running ones go on.
func TestDivideHoldsFromThenOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		gate := New(slots.New(2))
		var releases []func(int64)
		for range 2 {
			release, err := gate.Enter(t.Context(), rollout())
			g.Expect(err).NotTo(HaveOccurred())
			releases = append(releases, release)
		}
		started := make(chan func(int64), 1)
		go func() {
			release, err := gate.Enter(t.Context(), rollout())
			g.Expect(err).NotTo(HaveOccurred())
			started <- release
		}()
		synctest.Wait()
		gate.SetSlotOptions(slots.WithLiveReserve(0.5))
		g.Expect(gate.Load().GetRunning()).To(Equal(int64(2)))
		releases[0](100)
		synctest.Wait()
		g.Expect(started).NotTo(Receive())
		release, err := gate.Enter(t.Context(), live())
		g.Expect(err).NotTo(HaveOccurred())
		release(100)
		gate.SetSlotOptions(slots.WithLiveReserve(0))
		synctest.Wait()
		g.Expect(started).To(Receive())
	})
}
