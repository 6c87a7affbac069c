package hub_test

import (
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
)

const (
	// inForce is within what a change must be in force everywhere.
	inForce = 18 * time.Second
	settled = 40 * time.Second
)

func TestFleetFindsItsHubs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		w := newWorld()
		defer w.stopAll()
		first := w.write(t, "a", 1)
		w.grow(3, 4, 5)
		_, err := w.everywhere(first, inForce)
		g.Expect(err).NotTo(HaveOccurred())
		time.Sleep(settled)
		synctest.Wait()
		for _, d := range []string{"dc-0", "dc-1", "dc-2"} {
			g.Expect(w.hubs(d)).To(HaveLen(2))
		}
		for _, n := range w.snapshot() {
			g.Expect(n.client.Ready()).To(BeTrue())
			if n.hub != nil {
				g.Expect(len(n.view.Endpoints("filing-lm"))).To(Equal(15), n.id)
				g.Expect(len(n.view.Entries())).To(Equal(12), n.id)
			}
		}
		took, err := w.everywhere(w.write(t, "a", 2), inForce)
		g.Expect(err).NotTo(HaveOccurred())
		t.Logf("in force everywhere after %s", took)
	})
}
