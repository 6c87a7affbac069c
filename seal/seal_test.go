package seal

import (
	"testing"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/gomega"
)

// An owner that was paused and superseded continues to append. The replica must refuse, or
// two owners would list different results at one position.
func TestOvertakenHolderIsRefused(t *testing.T) {
	g := NewWithT(t)
	var c Replica[string]
	_, err := c.Append(1, 4, 4, []string{"a"})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(c.Seal(2)).To(Succeed())
	_, err = c.Append(1, 5, 4, []string{"b"})
	var fenced *FencedError
	g.Expect(errors.As(err, &fenced)).To(BeTrue())
	g.Expect(fenced.ReplicaEpoch).To(BeEquivalentTo(2))
	g.Expect(c.ResultsFrom(4)).To(Equal([]string{"a"}))
	g.Expect(c.Seal(1)).To(MatchError(ContainSubstring("epoch 1 is over")))
}

// An append arrives twice, the second time after a later one. It must neither truncate nor
// duplicate results.
func TestLateAppend(t *testing.T) {
	g := NewWithT(t)
	var c Replica[string]
	for _, n := range []int{2, 3, 2, 1, 3} {
		_, err := c.Append(1, 4, 4, []string{"a", "b", "c"}[:n])
		g.Expect(err).NotTo(HaveOccurred())
	}
	changed, err := c.Append(1, 6, 4, []string{"c", "d"})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(changed).To(BeTrue())
	g.Expect(c.ResultsFrom(4)).To(Equal([]string{"a", "b", "c", "d"}))
	g.Expect(c.ResultsFrom(5)).To(Equal([]string{"b", "c", "d"}))
	g.Expect(c.ResultsFrom(8)).To(BeEmpty())
	g.Expect(c.ResultsFrom(3)).To(BeEmpty())
}

// A successor continues from two of three replicas, and its seal of the third arrives late.
// The third has more of the old owner's results, which were never listed. The successor's
// results must replace them: if they counted as already there, they would be listed with
// one replica too few.
func TestOldTailGivesWay(t *testing.T) {
	g := NewWithT(t)
	var c Replica[string]
	_, err := c.Append(1, 4, 4, []string{"a", "b", "c"})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(c.Seal(2)).To(Succeed())
	g.Expect(c.ResultsEpoch).To(BeEquivalentTo(1))
	changed, err := c.Append(2, 5, 5, []string{"x"})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(changed).To(BeTrue())
	g.Expect(c.ResultsFrom(5)).To(Equal([]string{"x"}))
	g.Expect(c.ResultsEpoch).To(BeEquivalentTo(2))
}

// A replica missed an append, and a later one arrives. It must report the gap, or its results
// would be at other positions than those of the other replicas.
func TestGap(t *testing.T) {
	g := NewWithT(t)
	var c Replica[string]
	_, err := c.Append(1, 6, 4, []string{"c"})
	var gap *GapError
	g.Expect(errors.As(err, &gap)).To(BeTrue())
	_, err = c.Append(1, 4, 4, []string{"a"})
	g.Expect(err).NotTo(HaveOccurred())
	_, err = c.Append(1, 6, 4, []string{"c"})
	g.Expect(errors.As(err, &gap)).To(BeTrue())
	changed, err := c.Append(1, 9, 9, []string{"j"}) // the store has all earlier results
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(changed).To(BeTrue())
	g.Expect(c.ResultsFrom(9)).To(Equal([]string{"j"}))
}

// A drop waited at a frozen instance, and its owner has appended more results since, which
// were listed. The drop must not delete them, whereas results of an earlier owner may go.
func TestLateDrop(t *testing.T) {
	g := NewWithT(t)
	var c Replica[string]
	_, err := c.Append(1, 4, 4, []string{"a", "b"})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(c.Drop(1, 5)).To(Succeed())
	g.Expect(c.ResultsFrom(4)).To(Equal([]string{"a", "b"}))
	g.Expect(c.Drop(2, 5)).To(Succeed())
	g.Expect(c.Results).To(BeEmpty())
	g.Expect(c.Epoch).To(BeEquivalentTo(2))
}
