package heirs

import (
	"fmt"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/lavendermux/lavendermux/mesh"
)

// Twelve submissions leave an instance that stops. Each peer gets them by its
// power, and those that had some already get fewer.
func TestByPower(t *testing.T) {
	g := NewWithT(t)
	big, small, busy := mesh.Node{Name: "big", Power: 0.8}, mesh.Node{Name: "small", Power: 0.2}, mesh.Node{Name: "busy", Power: 0.8}
	holding := map[mesh.Node]int{big: 0, small: 0, busy: 6}
	for n := range 12 {
		heir, ok := Choose(fmt.Sprint(n), holding)
		g.Expect(ok).To(BeTrue())
		holding[heir]++
	}
	g.Expect(holding[big]).To(BeNumerically(">=", 6))
	g.Expect(holding[small]).To(BeNumerically("<=", 3))
	g.Expect(holding[busy]).To(BeNumerically("<=", 9))
	_, ok := Choose("x", nil)
	g.Expect(ok).To(BeFalse())
}

// All peers are alike. The same submission always goes to the same one, whoever
// asks.
func TestSameForAll(t *testing.T) {
	g := NewWithT(t)
	peers := map[mesh.Node]int{{Name: "a", Power: 0.3}: 0, {Name: "b", Power: 0.3}: 0, {Name: "c", Power: 0.3}: 0}
	first, _ := Choose("b1", peers)
	for range 20 {
		again, _ := Choose("b1", peers)
		g.Expect(again).To(Equal(first))
	}
}
