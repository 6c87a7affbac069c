package subset

import (
	"fmt"
	"slices"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestSubset(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "subset")
}

func names(kind string, n int) []string {
	all := make([]string, n)
	for i := range all {
		all[i] = fmt.Sprintf("%s-%d", kind, i)
	}
	return all
}

func missing(from, in []string) int {
	n := 0
	for _, s := range from {
		if !slices.Contains(in, s) {
			n++
		}
	}
	return n
}

var _ = Describe("Subset", func() {
	It("shows all of a small deployment to every entry", func() {
		Expect(New(16).Pick("entry-1", names("entry", 3), names("worker", 10))).To(ConsistOf(names("worker", 10)))
	})

	// Some workers stand in no entry's subset and are idle, while others refuse.
	It("spreads 350 entries evenly over 700 workers", func() {
		entries, workers := names("entry", 350), names("worker", 700)
		count := map[string]int{}
		s := New(16)
		for _, e := range entries {
			mine := s.Pick(e, entries, workers)
			Expect(slices.Compact(slices.Sorted(slices.Values(mine)))).To(HaveLen(16), "no worker twice")
			for _, w := range mine {
				count[w]++
			}
		}
		Expect(count).To(HaveLen(700))
		for w, n := range count {
			Expect(n).To(BeNumerically("~", 8, 1), w)
		}
	})

	// A subset that is drawn anew with each change of the membership costs all
	// entries all their connections whenever one worker restarts.
	It("changes little when one member leaves", func() {
		entries, workers := names("entry", 350), names("worker", 700)
		s := New(16)
		changed := 0
		for _, e := range entries[1:] {
			before := s.Pick(e, entries, workers)
			changed += missing(s.Pick(e, entries, workers[1:]), before)
			lost := missing(s.Pick(e, entries[1:], workers), before)
			Expect(lost).To(BeNumerically("<=", 2))
			changed += lost
		}
		Expect(float64(changed)/349).To(BeNumerically("<", 2), "endpoints changed for each entry, both changes together")
	})

	It("does not depend on the order of the lists, and adds an entry that its peers don't know yet", func() {
		entries, workers := names("entry", 20), names("worker", 100)
		s := New(8)
		want := s.Pick("entry-3", entries, workers)
		slices.Reverse(entries)
		slices.Reverse(workers)
		Expect(s.Pick("entry-3", entries, workers)).To(Equal(want))
		entries = slices.DeleteFunc(entries, func(e string) bool { return e == "entry-3" })
		Expect(s.Pick("entry-3", entries, workers)).To(Equal(want))
	})
})
