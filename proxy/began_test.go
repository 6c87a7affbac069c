package proxy

import (
	"testing"

	. "github.com/onsi/gomega"
)

// A request is turned away by a full endpoint, sent to two others at a time, and its
// answer may overtake the news that it was sent. The customer pays for one request, and
// for none that never ran.
func TestRequestCountsOnce(t *testing.T) {
	g := NewWithT(t)
	counted := 0
	b := &began{count: func() func() { counted++; return func() { counted-- } }}
	first := b.send()
	first.sent()
	first.sent()
	g.Expect(counted).To(Equal(1))
	first.notRun()
	first.notRun()
	g.Expect(counted).To(Equal(0), "turned away")
	second, third := b.send(), b.send()
	second.notRun()
	second.sent()
	g.Expect(counted).To(Equal(0), "the answer came first")
	third.sent()
	fourth := b.send()
	fourth.sent()
	g.Expect(counted).To(Equal(1), "sent to a second one")
	third.notRun()
	g.Expect(counted).To(Equal(1), "the other one may run")
	fourth.notRun()
	g.Expect(counted).To(Equal(0))
	var none *began
	none.send().sent()
}
