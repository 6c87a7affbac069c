package sched_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lavendermux/lavendermux/demand"
	"github.com/lavendermux/lavendermux/sched"
)

var now = time.Unix(10000, 0)

func TestSched(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "sched")
}

// training returns a trainer that published two minutes ago, publishes every four
// and has most of its next step.
func training(name string) demand.Demand {
	return demand.Demand{
		Trainer: name, Bound: 2, Version: 7, Loaded: 7, Published: now.Add(-2 * time.Minute),
		Every: 4 * time.Minute, Step: 100, Held: 90, Ready: 50, Waiting: 40,
		Duration: time.Minute, IdleWeight: 0.5, StalenessWeight: 0.5,
	}
}

// waiting returns a trainer that has waited for its step.
func waiting(name string, since time.Duration, held int) demand.Demand {
	d := training(name)
	d.Idle = now.Add(-since)
	d.Published = d.Idle
	d.Held = held
	return d
}

var _ = Describe("the choice between trainers", func() {
	It("takes the trainer that needs its step sooner", func() {
		early, late := training("early"), training("late")
		early.Published = early.Published.Add(-time.Minute)
		i, ok := sched.New().Choose([]demand.Demand{late, early}, now)
		Expect(ok).To(BeTrue())
		Expect(i).To(Equal(1))
	})

	// Engines are far over capacity and all trainers wait. The one with the
	// largest step would take every slot, and three trainers with little to make
	// would idle with it.
	It("does not keep a short step behind a long one", func() {
		long, short := waiting("long", 2*time.Minute, 0), waiting("short", 2*time.Minute, 90)
		i, _ := sched.New().Choose([]demand.Demand{long, short}, now)
		Expect(i).To(Equal(1))
	})

	// The same, but short steps come one after another. Served first each time,
	// they would keep the trainer with the long step waiting for ever.
	It("does not keep a long step for ever", func() {
		long, short := waiting("long", time.Hour, 0), waiting("short", time.Second, 90)
		i, _ := sched.New().Choose([]demand.Demand{short, long}, now)
		Expect(i).To(Equal(1))
	})

	It("starts nothing for nobody", func() {
		d := training("done")
		d.Waiting = 0
		_, ok := sched.New().Choose([]demand.Demand{d}, now)
		Expect(ok).To(BeFalse())
		_, ok = sched.New().Choose(nil, now)
		Expect(ok).To(BeFalse())
	})

	// Two steps are made already and the trainer trains on a third. What begins now
	// is three versions old when the trainer takes it, and is thrown away: the
	// tokens are lost while other trainers wait for a slot.
	It("does not begin what will be older than the bound", func() {
		d := training("ahead")
		d.IdleWeight, d.StalenessWeight = 1, 0
		d.Held = 2 * d.Step
		Expect(sched.New().Age(&d)).To(Equal(int64(3)))
		_, ok := sched.New().Choose([]demand.Demand{d}, now)
		Expect(ok).To(BeFalse())
		d.Held--
		_, ok = sched.New().Choose([]demand.Demand{d}, now)
		Expect(ok).To(BeTrue())
	})

	It("counts the versions that engines lag behind", func() {
		d := waiting("lagging", time.Minute, 0)
		d.Loaded = 4
		_, ok := sched.New().Choose([]demand.Demand{d}, now)
		Expect(ok).To(BeFalse())
	})

	DescribeTable("begins early or late as the operators weigh it",
		func(idle, staleness float64, begins bool) {
			d := training("ahead")
			d.IdleWeight, d.StalenessWeight = idle, staleness
			d.Held = d.Step
			_, ok := sched.New().Choose([]demand.Demand{d}, now)
			Expect(ok).To(Equal(begins))
		},
		Entry("only idle time matters", 1.0, 0.0, true),
		Entry("both matter", 0.5, 0.5, true),
		Entry("only staleness matters", 0.0, 1.0, false),
		Entry("nothing is said", 0.0, 0.0, true),
	)
})

func BenchmarkChoose(b *testing.B) {
	trainers := []demand.Demand{
		training("a"), training("b"), waiting("c", time.Minute, 10), waiting("d", time.Hour, 0),
	}
	c := sched.New()
	b.ReportAllocs()
	for b.Loop() {
		c.Choose(trainers, now)
	}
}
