package slots

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lavendermux/lavendermux/wire"
	"github.com/lavendermux/lavendermux/work"
)

func TestSlots(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "slots")
}

func rollout(pool string) work.Work {
	return work.Work{Pool: pool, Kind: wire.WorkKind_WORK_KIND_ROLLOUT}
}

func live(pool string) work.Work {
	return work.Work{Pool: pool, Kind: wire.WorkKind_WORK_KIND_LIVE}
}

// fill starts work as long as it fits and returns how many pieces did.
func fill(s *Slots, w work.Work) int {
	n := 0
	for s.Fits(w) {
		s.Start(w)
		n++
	}
	return n
}

var _ = Describe("Slots", func() {
	// Trainers always have more rollouts than there are slots. When they take
	// all of them, a creditor's question waits until a rollout of a minute ends.
	It("keeps the reserve free for live work", func() {
		s := New(8, WithLiveReserve(0.2))
		Expect(fill(s, rollout("filing"))).To(Equal(6), "a fifth of 8 slots, rounded up, is 2")
		Expect(fill(s, live("filing"))).To(Equal(2))
	})

	It("gives back to rollouts what live work of the reserve takes", func() {
		s := New(8, WithLiveReserve(0.25))
		s.Start(live("filing"))
		s.Start(live("filing"))
		Expect(fill(s, rollout("filing"))).To(Equal(6))
	})

	// Two trainers share the engines and one asks for a hundred times more. The
	// other gets nothing until work ends, and its step stalls.
	It("keeps each pool's minimum against all others", func() {
		s := New(10, WithMinimum("small", 3))
		Expect(fill(s, rollout("big"))).To(Equal(7))
		Expect(fill(s, live("big"))).To(Equal(0), "live work of another pool does not take a minimum")
		Expect(fill(s, rollout("small"))).To(Equal(3))
	})

	It("lets a pool below its minimum take reserved slots", func() {
		s := New(4, WithLiveReserve(0.5), WithMinimum("small", 3))
		Expect(fill(s, rollout("small"))).To(Equal(3))
		Expect(s.Fits(rollout("small"))).To(BeFalse())
		Expect(s.Fits(live("small"))).To(BeTrue())
	})

	It("frees what ends, and follows a change of size", func() {
		s := New(2)
		Expect(fill(s, rollout("a"))).To(Equal(2))
		s.Finish(rollout("a"))
		Expect(s.Running()).To(Equal(1))
		s.Resize(1)
		Expect(s.Fits(live("a"))).To(BeFalse())
		s.Resize(3)
		Expect(fill(s, rollout("a"))).To(Equal(2))
	})
})
