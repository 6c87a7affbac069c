package admit

import (
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lavendermux/lavendermux/fault"
	"github.com/lavendermux/lavendermux/work"
)

func TestAdmit(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "admit")
}

var start = time.Unix(1000, 0)

func of(caller string) work.Work {
	return work.Work{Caller: caller}
}

var _ = Describe("Admit", func() {
	// One school's script sends nine tenths of the load. Without shares, nine
	// tenths of what is done is the script's, and a parent's question is refused
	// as often as the script's.
	It("measures by how much a caller exceeds its fair share", func() {
		a := New(WithPenalty(1))
		a.Charge(of("script"), 9*time.Second, start)
		a.Charge(of("parent"), time.Second, start)
		Expect(a.Excess(of("script"), start)).To(BeNumerically("~", 0.8, 1e-9), "9 s where 5 s are fair")
		Expect(a.Excess(of("parent"), start)).To(BeZero())
		Expect(a.Excess(of("stranger"), start)).To(BeZero())
	})

	It("gives a caller that is alone everything", func() {
		a := New()
		a.Charge(of("script"), time.Hour, start)
		Expect(a.Excess(of("script"), start)).To(BeZero())
	})

	It("divides by weight", func() {
		a := New(WithWeight("court", 3), WithPenalty(1))
		a.Charge(of("court"), 3*time.Second, start)
		a.Charge(of("other"), time.Second, start)
		Expect(a.Excess(of("court"), start)).To(BeZero())
		a.Charge(of("other"), 2*time.Second, start)
		Expect(a.Excess(of("other"), start)).To(BeNumerically("~", 1, 1e-9), "3 s of 6 s where a quarter is fair")
	})

	It("follows a change of weight at once", func() {
		a := New(WithPenalty(1))
		a.Charge(of("court"), 3*time.Second, start)
		a.Charge(of("other"), time.Second, start)
		Expect(a.Excess(of("court"), start)).To(BeNumerically(">", 0))
		WithWeight("court", 3)(a)
		later := start.Add(time.Second)
		Expect(a.Excess(of("court"), later)).To(BeZero())
		WithWeight("court", 0)(a)
		Expect(a.Excess(of("court"), later.Add(time.Second))).To(BeNumerically("~", 0.5, 1e-9))
	})

	// A policy that names a caller without a bound must not bound it.
	It("does not bound a caller whose greatest share is all", func() {
		a := New(WithMaxShare("script", 1))
		a.Charge(of("script"), time.Hour, start)
		Expect(a.Admit(of("script"), 1, start)).To(Succeed())
	})

	It("forgets use with time", func() {
		a := New(WithMemory(10*time.Second), WithPenalty(1))
		a.Charge(of("script"), 9*time.Second, start)
		later := start.Add(40 * time.Second)
		a.Charge(of("parent"), time.Second, later)
		Expect(a.Excess(of("script"), later)).To(BeZero())
	})

	It("takes back what did not run", func() {
		a := New()
		a.Charge(of("script"), 9*time.Second, start)
		a.Charge(of("parent"), time.Second, start)
		a.Refund(of("script"), 8*time.Second, start)
		Expect(a.Excess(of("script"), start)).To(BeZero())
	})

	It("refuses a caller beyond its greatest share, and says when it is back", func() {
		a := New(WithMaxShare("script", 0.25), WithMemory(10*time.Second))
		Expect(a.Admit(of("script"), 4, start)).To(Succeed())
		a.Charge(of("script"), 20*time.Second, start)
		var notRun *fault.NotRunError
		Expect(errors.As(a.Admit(of("script"), 4, start), &notRun)).To(BeTrue())
		Expect(notRun.Cause).To(Equal(CauseShare))
		Expect(a.Admit(of("script"), 4, start.Add(notRun.RetryAfter-time.Second))).NotTo(Succeed())
		Expect(a.Admit(of("script"), 4, start.Add(notRun.RetryAfter+time.Millisecond))).To(Succeed())
		Expect(a.Admit(of("other"), 4, start)).To(Succeed())
	})
})
