package tenure_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/lavendermux/lavendermux/tenure"
)

func keys() []string {
	var out []string
	for i := range 200 {
		out = append(out, fmt.Sprintf("key-%d", i))
	}
	return out
}

// An endpoint instance is replaced by another. The keys of the old one get other
// homes, and their new home must know that it has them only since then; a copy
// that ran at the old home would otherwise run again. All other keys stay.
func TestTenure(t *testing.T) {
	g := NewWithT(t)
	start, change := time.Unix(1000, 0), time.Unix(2000, 0)
	d := tenure.New("d1")
	before, after := []string{"d1", "d2", "d3"}, []string{"d1", "d3", "d4"}
	d.Note(before, false, start)
	d.Note(after, false, change)
	moved := 0
	for _, key := range keys() {
		home, since := d.Home(key)
		g.Expect(home).To(Equal(tenure.HomeOf(key, after) == "d1"))
		if !home {
			continue
		}
		if tenure.HomeOf(key, before) == "d1" {
			g.Expect(since).To(Equal(start))
			continue
		}
		moved++
		g.Expect(since).To(Equal(change))
	}
	g.Expect(moved).To(BeNumerically(">", 0))
}

// A key leaves for another endpoint and comes back. What ran there meanwhile is
// unknown here, so the time counts from its return.
func TestTenureBroken(t *testing.T) {
	g := NewWithT(t)
	d := tenure.New("d1")
	d.Note([]string{"d1"}, false, time.Unix(1, 0))
	d.Note([]string{"d2"}, false, time.Unix(2, 0))
	d.Note([]string{"d1"}, false, time.Unix(3, 0))
	home, since := d.Home("k")
	g.Expect(home).To(BeTrue())
	g.Expect(since).To(Equal(time.Unix(3, 0)))
}

// A fresh deployment: nothing can have run before the service's first list.
func TestTenureFounded(t *testing.T) {
	g := NewWithT(t)
	d := tenure.New("d1")
	d.Note(nil, false, time.Unix(1, 0))
	d.Note([]string{"d1"}, true, time.Unix(2, 0))
	home, since := d.Home("k")
	g.Expect(home).To(BeTrue())
	g.Expect(since.IsZero()).To(BeTrue())
}
