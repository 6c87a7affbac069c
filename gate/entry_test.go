package gate

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/lavendermux/lavendermux/admit"
	"github.com/lavendermux/lavendermux/queue"
	"github.com/lavendermux/lavendermux/slots"
)

// Work that may go now or not at all, such as a hedged request, must not go before what
// waits, nor keep a slot that it did not get.
func TestTryEnterTakesOnlyWhatNobodyNeeds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		gate := New(slots.New(2))
		first, ok := gate.TryEnter(live())
		g.Expect(ok).To(BeTrue())
		second, ok := gate.TryEnter(live())
		g.Expect(ok).To(BeTrue())
		_, ok = gate.TryEnter(live())
		g.Expect(ok).To(BeFalse(), "no slot is free")
		gate.Pause(true)
		first(100)
		second(100)
		_, ok = gate.TryEnter(live())
		g.Expect(ok).To(BeFalse(), "nothing may start")
		go func() {
			leave, err := gate.Enter(t.Context(), live())
			g.Expect(err).NotTo(HaveOccurred())
			leave(100)
		}()
		synctest.Wait()
		g.Expect(gate.Waiting()).To(Equal(1))
		gate.Pause(false)
		synctest.Wait()
		g.Expect(gate.Waiting()).To(BeZero())
		g.Expect(gate.Load().GetRunning()).To(BeZero())
	})
}

// While no work may start, what can no longer finish in time is refused at that moment. Without
// any slots all is refused at once; otherwise callers would wait for endpoints that are gone.
func TestPauseAndNoSlots(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		gate := New(slots.New(1))
		gate.Pause(true)
		begin := time.Now()
		w := live()
		w.Deadline = begin.Add(20 * time.Second)
		_, err := gate.Enter(t.Context(), w)
		g.Expect(causeOf(err)).To(Equal(queue.CauseSaturated))
		g.Expect(time.Since(begin)).To(And(BeNumerically(">", 10*time.Second), BeNumerically("<", 20*time.Second)))
		begin = time.Now()
		time.AfterFunc(time.Minute, func() { gate.Resize(0) })
		_, err = gate.Enter(t.Context(), live())
		g.Expect(causeOf(err)).To(Equal(queue.CauseSaturated))
		g.Expect(time.Since(begin)).To(Equal(time.Minute))
	})
}

// An endpoint refuses work, which returns. It must keep its place before work that came later,
// and its caller must be charged once: otherwise callers whose requests are refused most often
// seem to be above their share.
func TestWorkThatReturnsKeepsItsPlaceAndCharge(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		gate := New(slots.New(1), WithShares(admit.WithPenalty(1)))
		w := live()
		for range 10 {
			leave, err := gate.Enter(t.Context(), w)
			g.Expect(err).NotTo(HaveOccurred())
			leave(NotRun)
		}
		other := live()
		other.Caller = "other"
		leave, err := gate.Enter(t.Context(), other)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(gate.admit.Excess(w, time.Now())).To(BeZero())
		served := make(chan string, 3)
		enter := func(name string, arrived time.Time) {
			w := other
			w.Arrived = arrived
			leave, err := gate.Enter(context.Background(), w)
			g.Expect(err).NotTo(HaveOccurred())
			served <- name
			leave(100)
		}
		arrived := time.Now()
		time.Sleep(time.Second)
		go enter("later", time.Time{})
		synctest.Wait()
		go enter("returned", arrived)
		synctest.Wait()
		leave(100)
		g.Expect(<-served).To(Equal("returned"))
		g.Expect(<-served).To(Equal("later"))
	})
}
