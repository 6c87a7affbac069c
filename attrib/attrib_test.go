package attrib_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lavendermux/lavendermux/attrib"
)

const model = "draft"

func TestAttrib(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "attrib")
}

var _ = Describe("Tracker", func() {
	var t *attrib.Tracker

	// resolve returns the version of a token, "pending" while it is not settled.
	resolve := func(start, read int64, word string) string {
		version, settled := t.Resolve(model, start, read, word)
		if !settled {
			return "pending"
		}
		return version
	}

	BeforeEach(func() {
		t = &attrib.Tracker{}
		t.Confirm(model, "12")
	})

	It("takes the engine's word when it agrees with what was confirmed", func() {
		m := t.Mark(model)
		Expect(resolve(m, m, "12")).To(Equal("12"))
		Expect(resolve(m, m, "")).To(Equal("12"))
	})

	// An engine that restarted by itself runs its first weights again and says
	// so, before the door has asked it. Nobody has confirmed them: a trainer would
	// get a sample whose version may be wrong.
	It("does not take a version that nobody confirmed", func() {
		m := t.Mark(model)
		Expect(resolve(m, m, "1")).To(BeEmpty())
	})

	It("knows nothing before the engine has answered", func() {
		t = &attrib.Tracker{}
		m := t.Mark(model)
		Expect(resolve(m, m, "12")).To(BeEmpty())
	})

	It("names both versions of a stream that spans a switch", func() {
		start := t.Mark(model)
		t.Begin(model)
		during := t.Mark(model)
		Expect(resolve(start, during, "12")).To(Equal("pending"))
		t.Confirm(model, "13")
		after := t.Mark(model)
		Expect(resolve(start, during, "12")).To(Equal("12"))
		Expect(resolve(start, during, "13")).To(Equal("13"))
		Expect(resolve(start, after, "13")).To(Equal("13"))
	})

	// A token made just before the switch is read just after it.
	It("takes a late token of the version before", func() {
		start := t.Mark(model)
		t.Begin(model)
		t.Confirm(model, "13")
		Expect(resolve(start, t.Mark(model), "12")).To(Equal("12"))
	})

	// A switch stops halfway. The engine may call its weights old or new; they are
	// neither, and a trainer would learn from wrong probabilities.
	It("gives no version to what was made while a switch failed", func() {
		start := t.Mark(model)
		t.Begin(model)
		during := t.Mark(model)
		t.Confirm(model, "")
		Expect(resolve(start, during, "12")).To(BeEmpty())
		Expect(resolve(start, during, "13")).To(BeEmpty())
		t.Confirm(model, "13")
		Expect(resolve(start, during, "13")).To(BeEmpty())
		Expect(resolve(start, t.Mark(model), "13")).To(Equal("13"))
		Expect(resolve(start, t.Mark(model), "12")).To(BeEmpty())
	})

	It("gives no version while the engine is silent about itself", func() {
		t.Doubt()
		m := t.Mark(model)
		Expect(resolve(m, m, "12")).To(BeEmpty())
		t.Confirm(model, "12")
		Expect(resolve(m, m, "12")).To(BeEmpty())
	})

	// An engine names no versions. A token that was read after a switch may have
	// been made before it.
	It("gives a silent engine's tokens a version only within one interval", func() {
		start := t.Mark(model)
		t.Begin(model)
		during := t.Mark(model)
		t.Confirm(model, "13")
		after := t.Mark(model)
		Expect(resolve(start, start, "")).To(Equal("12"))
		Expect(resolve(start, during, "")).To(BeEmpty())
		Expect(resolve(start, after, "")).To(BeEmpty())
		Expect(resolve(after, after, "")).To(Equal("13"))
	})

	It("forgets intervals that have long gone", func() {
		start := t.Mark(model)
		for range 20 {
			t.Begin(model)
			t.Confirm(model, "13")
		}
		Expect(resolve(start, start, "12")).To(BeEmpty())
	})
})
