package quorum_test

import (
	"fmt"
	"math/bits"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/lavendermux/lavendermux/quorum"
)

// A revision is in use on a majority, and some instances start again and forget it. The
// others are asked in every combination: an answer that is accepted must not be older.
func TestMajorityIsNeverMissed(t *testing.T) {
	const inUse, older = 9, 8
	for n := 1; n <= 7; n++ {
		for majority := range uint(1) << n {
			if bits.OnesCount(majority) <= n/2 {
				continue
			}
			for answering := range uint(1) << n {
				g := NewWithT(t)
				_, revision, ok := read(n, answering, func(i int) int64 {
					if majority>>i&1 == 1 {
						return inUse
					}
					return older
				})
				g.Expect(!ok || revision == inUse).To(BeTrue(), "n %d, majority %b, answering %b", n, majority, answering)
			}
		}
	}
}

// With half of the answers of an even number of instances, or one more than half of an odd
// number, the read succeeds: fewer would be no proof, and waiting for more would refuse
// callers for nothing.
func TestNeededAnswers(t *testing.T) {
	g := NewWithT(t)
	for n, needed := range map[int]int{0: 1, 1: 1, 2: 1, 3: 2, 4: 2, 5: 3, 16: 8, 350: 175} {
		g.Expect(quorum.New(voters(n)).Needed()).To(Equal(needed), "%d voters", n)
	}
	_, _, ok := quorum.New(nil).Result()
	g.Expect(ok).To(BeFalse(), "nobody is known")
}

// Two answers of one instance, and that of a stranger, count as one.
func TestAnswersCountOnce(t *testing.T) {
	g := NewWithT(t)
	r := quorum.New([]string{"a", "b", "c", "a"})
	r.Add("a", 8)
	r.Add("a", 8)
	r.Add("stranger", 12)
	_, _, ok := r.Result()
	g.Expect(ok).To(BeFalse())
	r.Add("b", 9)
	source, revision, ok := r.Result()
	g.Expect(ok).To(BeTrue())
	g.Expect(source).To(Equal("b"))
	g.Expect(revision).To(BeEquivalentTo(9))
	g.Expect([]int{r.Answers(), r.Voters()}).To(Equal([]int{2, 3}))
}

func read(n int, answering uint, revision func(i int) int64) (string, int64, bool) {
	r := quorum.New(voters(n))
	for i := range n {
		if answering>>i&1 == 1 {
			r.Add(fmt.Sprint(i), revision(i))
		}
	}
	return r.Result()
}

func voters(n int) []string {
	var out []string
	for i := range n {
		out = append(out, fmt.Sprint(i))
	}
	return out
}
