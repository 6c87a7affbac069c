package eject

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestEject(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "eject")
}

var start = time.Unix(1000, 0)

// known returns an Eject that has seen each of the endpoints succeed.
func known(ids ...string) *Eject {
	e := New()
	for _, id := range ids {
		e.Observe(id, false, start)
	}
	return e
}

func fail(e *Eject, id string, times int, now time.Time) {
	for range times {
		e.Observe(id, true, now)
	}
}

var _ = Describe("Eject", func() {
	// An engine answers each request at once with an error. It is always idle,
	// and a router that looks for the idle one sends everything there.
	It("sets an endpoint aside after three failures in a row", func() {
		e := known("a", "b")
		fail(e, "a", 2, start)
		e.Observe("a", false, start)
		fail(e, "a", 2, start)
		Expect(e.Allowed("a", start)).To(BeTrue())
		fail(e, "a", 1, start)
		Expect(e.Allowed("a", start)).To(BeFalse())
		Expect(e.Aside("a")).To(BeTrue())
		Expect(e.Allowed("b", start)).To(BeTrue())
	})

	// The network of an entry fails for a second, and all endpoints look broken
	// to it. Had it set all aside it would refuse everything after the network
	// has come back.
	It("never sets all aside", func() {
		e := known("a", "b", "c")
		for _, id := range []string{"a", "b"} {
			fail(e, id, 3, start)
			Expect(e.Allowed(id, start)).To(BeFalse())
		}
		fail(e, "c", 3, start)
		for _, id := range []string{"a", "b", "c"} {
			Expect(e.Allowed(id, start)).To(BeTrue())
		}
	})

	It("keeps to a share", func() {
		e := New(WithShare(0.5))
		for _, id := range []string{"a", "b", "c", "d"} {
			e.Observe(id, false, start)
		}
		for _, id := range []string{"a", "b", "c"} {
			fail(e, id, 3, start)
		}
		Expect([]bool{e.Aside("a"), e.Aside("b"), e.Aside("c")}).To(Equal([]bool{true, true, false}))
	})

	It("probes with one request at a time, and rests longer after each that fails", func() {
		e := known("a", "b")
		fail(e, "a", 3, start)
		now := start.Add(defaultFirst)
		Expect(e.Allowed("a", now.Add(-1))).To(BeFalse())
		Expect(e.Allowed("a", now)).To(BeTrue())
		e.Chosen("a", now)
		Expect(e.Allowed("a", now)).To(BeFalse(), "one probe is under way")
		e.Observe("a", true, now)
		Expect(e.Allowed("a", now.Add(2*defaultFirst-1))).To(BeFalse())
		now = now.Add(2 * defaultFirst)
		Expect(e.Allowed("a", now)).To(BeTrue())
		e.Chosen("a", now)
		e.Observe("a", false, now)
		Expect(e.Aside("a")).To(BeFalse())
	})

	// The answer to the probe is lost with the entry's connection.
	It("probes again when a probe never ends", func() {
		e := known("a", "b")
		fail(e, "a", 3, start)
		now := start.Add(defaultFirst)
		e.Chosen("a", now)
		Expect(e.Allowed("a", now.Add(defaultMost-1))).To(BeFalse())
		Expect(e.Allowed("a", now.Add(defaultMost))).To(BeTrue())
	})

	It("does not take back for a success that was sent before", func() {
		e := known("a", "b")
		fail(e, "a", 3, start)
		e.Observe("a", false, start)
		Expect(e.Aside("a")).To(BeTrue())
	})

	It("forgets an endpoint that has left", func() {
		e := known("a", "b", "c")
		fail(e, "a", 3, start)
		e.Forget("a")
		fail(e, "b", 3, start)
		Expect(e.Allowed("a", start)).To(BeTrue())
		Expect(e.Allowed("b", start)).To(BeFalse())
	})
})
