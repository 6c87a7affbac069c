package strag_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lavendermux/lavendermux/slot"
	"github.com/lavendermux/lavendermux/start"
	"github.com/lavendermux/lavendermux/strag"
)

var now = time.Unix(1000, 0)

func TestStrag(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "strag")
}

// running returns five slots of one group whose attempts have run for a minute at
// the usual speed.
func running() []slot.Slot {
	slots := make([]slot.Slot, 5)
	for i := range slots {
		slots[i] = slot.Slot{Expected: 3000, Attempts: 1}
		slots[i].Run("worker-"+string(rune('a'+i)), now.Add(-time.Minute), 1500, 40)
	}
	return slots
}

var _ = Describe("the order of starts", func() {
	It("begins one of each group, then the longest", func() {
		slots := []slot.Slot{
			{Group: 0, Expected: 100}, {Group: 0, Expected: 100},
			{Group: 1, Expected: 900}, {Group: 1, Expected: 900},
		}
		starts := strag.New().Next(slots, 3, now)
		Expect(starts).To(Equal([]start.Start{{Slot: 2}, {Slot: 0}, {Slot: 3}}))
	})

	It("learns from siblings that have finished and that have outgrown the guess", func() {
		slots := []slot.Slot{
			{Group: 0, Expected: 500, Done: true, Tokens: 100}, {Group: 0, Expected: 500},
			{Group: 1, Expected: 300}, {Group: 1, Expected: 300},
		}
		slots[2].Run("worker-a", now, 2000, 40)
		starts := strag.New().Next(slots, 1, now)
		Expect(starts).To(Equal([]start.Start{{Slot: 3}}))
	})

	It("picks the same few of many as by sorting all", func() {
		slots := make([]slot.Slot, 512)
		for i := range slots {
			slots[i] = slot.Slot{Group: i / 8, Expected: int64(i * 7919 % 4001)}
		}
		p := strag.New()
		all := p.Next(slots, 512, now)
		Expect(p.Next(slots, 5, now)).To(Equal(all[:5]))
		Expect(p.Next(slots, 0, now)).To(BeEmpty())
	})
})

var _ = Describe("stragglers", func() {
	// A worker runs at a quarter of the speed of the others, and the last samples
	// of a step are on it. The trainer would wait for them for minutes beside
	// idle workers.
	It("moves an attempt from a slow worker, with what it has made", func() {
		slots := running()
		slots[2].Runs[0].Speed = 10
		starts := strag.New().Next(slots, 4, now)
		Expect(starts).To(Equal([]start.Start{{Slot: 2, Stop: "worker-c", Avoid: "worker-c"}}))
	})

	// A worker stands still: its stream is open and brings nothing. The step would
	// stay one sample short until somebody looks.
	It("moves an attempt that stands still, and only after some seconds", func() {
		slots := running()
		slots[1].Runs[0].Speed = 0
		Expect(strag.New().Next(slots, 4, now)).To(HaveLen(1))
		slots[1].Runs[0].Since = now.Add(-time.Second)
		Expect(strag.New().Next(slots, 4, now)).To(BeEmpty())
	})

	// The sample is long and its worker as fast as any. To begin it anew would
	// only pay when it comes out shorter, and the trainer would then learn from
	// short samples.
	It("leaves a sample that is merely long", func() {
		slots := running()
		slots[4].Runs[0].Made = 30000
		Expect(strag.New().Next(slots, 4, now)).To(BeEmpty())
	})

	// Every worker that a sample meets is slow. Moved without end, it would be
	// prefilled again and again and never finish.
	It("stops moving a sample after some moves", func() {
		slots := running()
		slots[2].Runs[0].Speed = 10
		slots[2].Attempts = 5
		Expect(strag.New().Next(slots, 4, now)).To(BeEmpty())
	})

	It("waits until all samples have begun", func() {
		slots := append(running(), slot.Slot{Expected: 10})
		slots[2].Runs[0].Speed = 10
		Expect(strag.New().Next(slots, 1, now)).To(Equal([]start.Start{{Slot: 5}}))
	})
})

func BenchmarkNext(b *testing.B) {
	slots := make([]slot.Slot, 4096)
	for i := range slots {
		slots[i] = slot.Slot{Group: i / 8, Expected: int64(i * 7919 % 4001)}
		if i < 960 {
			slots[i].Run("worker", now, 100, 40)
		}
	}
	p := strag.New()
	b.ReportAllocs()
	for b.Loop() {
		p.Next(slots, 1, now)
	}
}

func BenchmarkStragglers(b *testing.B) {
	slots := make([]slot.Slot, 4096)
	for i := range slots {
		slots[i] = slot.Slot{Group: i / 8, Expected: 3000, Done: i >= 960, Tokens: 3000, Attempts: 1}
		if i < 960 {
			slots[i].Run("worker", now.Add(-time.Minute), 100, float64(i%40))
		}
	}
	p := strag.New()
	b.ReportAllocs()
	for b.Loop() {
		p.Next(slots, 64, now)
	}
}
