package evbase

import (
	"fmt"
	"testing"

	. "github.com/onsi/gomega"
)

// Guards against a broken endpoint that changes what is believed of its service: it has one vote,
// however many streams it sends.
func TestOneVoteForEachEndpoint(t *testing.T) {
	g := NewWithT(t)
	v := &Votes{}
	broken := v.Voter("broken")
	for range 10 {
		g.Expect(broken.Add(0)).To(BeTrue(), "nothing else is known")
	}
	g.Expect(v.Voter("a").Add(1)).To(BeTrue())
	g.Expect(broken.Leads(0)).To(BeFalse())
	g.Expect(v.Voter("b").Add(1)).To(BeTrue())
	g.Expect(broken.Add(0)).To(BeFalse())
	g.Expect(broken.Leads(1)).To(BeTrue())
}

// Guards against votes that grow without bound as endpoints come and go.
func TestVotesAreBounded(t *testing.T) {
	g := NewWithT(t)
	v := &Votes{}
	for n := range 3 * maxEndpoints {
		v.Voter(fmt.Sprint(n)).Add(int64(n / (2 * maxEndpoints)))
	}
	g.Expect(v.votes).To(HaveLen(maxEndpoints))
	g.Expect(v.Voter("new").Leads(1)).To(BeTrue())
}
