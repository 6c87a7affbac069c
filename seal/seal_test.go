package seal

import (
	"testing"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/gomega"
)

// A holder that was paused and overtaken goes on to append. The copy must refuse, or two
// holders would list different results at one position.
func TestOvertakenHolderIsRefused(t *testing.T) {
	g := NewWithT(t)
	var c Copy[string]
	_, err := c.Append(1, 4, 4, []string{"a"})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(c.Seal(2)).To(Succeed())
	_, err = c.Append(1, 5, 4, []string{"b"})
	var fenced *FencedError
	g.Expect(errors.As(err, &fenced)).To(BeTrue())
	g.Expect(fenced.Known).To(BeEquivalentTo(2))
	g.Expect(c.After(4)).To(Equal([]string{"a"}))
	g.Expect(c.Seal(1)).To(MatchError(ContainSubstring("epoch 1 is over")))
}

// An append arrives twice, the second time after a later one. Nothing may be cut off by
// it, and nothing may stand twice.
func TestLateAppend(t *testing.T) {
	g := NewWithT(t)
	var c Copy[string]
	for _, n := range []int{2, 3, 2, 1, 3} {
		_, err := c.Append(1, 4, 4, []string{"a", "b", "c"}[:n])
		g.Expect(err).NotTo(HaveOccurred())
	}
	changed, err := c.Append(1, 6, 4, []string{"c", "d"})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(changed).To(BeTrue())
	g.Expect(c.After(4)).To(Equal([]string{"a", "b", "c", "d"}))
	g.Expect(c.After(5)).To(Equal([]string{"b", "c", "d"}))
	g.Expect(c.After(8)).To(BeEmpty())
	g.Expect(c.After(3)).To(BeEmpty())
}

// A successor goes on with what two of three copies had, and its seal of the third arrives
// late. That one has more of the old holder, which was never listed. The successor's own
// results must take its place: counted as there already, they would be listed from one
// copy less than disks may be lost.
func TestOldTailGivesWay(t *testing.T) {
	g := NewWithT(t)
	var c Copy[string]
	_, err := c.Append(1, 4, 4, []string{"a", "b", "c"})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(c.Seal(2)).To(Succeed())
	g.Expect(c.Of).To(BeEquivalentTo(1))
	changed, err := c.Append(2, 5, 5, []string{"x"})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(changed).To(BeTrue())
	g.Expect(c.After(5)).To(Equal([]string{"x"}))
	g.Expect(c.Of).To(BeEquivalentTo(2))
}

// A copy missed an append, and a later one arrives: it must say so, or what it has would
// stand at other positions than at the other copies.
func TestGap(t *testing.T) {
	g := NewWithT(t)
	var c Copy[string]
	_, err := c.Append(1, 6, 4, []string{"c"})
	var gap *GapError
	g.Expect(errors.As(err, &gap)).To(BeTrue())
	_, err = c.Append(1, 4, 4, []string{"a"})
	g.Expect(err).NotTo(HaveOccurred())
	_, err = c.Append(1, 6, 4, []string{"c"})
	g.Expect(errors.As(err, &gap)).To(BeTrue())
	changed, err := c.Append(1, 9, 9, []string{"j"}) // the store has all before it
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(changed).To(BeTrue())
	g.Expect(c.After(9)).To(Equal([]string{"j"}))
}
