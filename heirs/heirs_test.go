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

// Four trainers hand in their steps at whichever of twenty entries they reach. The
// steps of one trainer come together at one strong entry, where the speeds of the
// engines are known from the step before; no entry is given more than it can
// carry, and no small one gets a step.
func TestStepsOfOneModelComeTogether(t *testing.T) {
	g := NewWithT(t)
	holding := make(map[mesh.Node]int)
	for i := range 20 {
		n := mesh.Node{Name: fmt.Sprint("entry-", i), Power: 0.144}
		if i < 6 {
			n.Power = 0.8
		}
		holding[n] = 0
	}
	homes := make(map[string]map[string]bool)
	var open []mesh.Node
	for step := range 10 {
		for trainer := range 4 {
			model := fmt.Sprint("model-", trainer)
			n, ok := Home(model, fmt.Sprint(model, "-", step), holding)
			g.Expect(ok).To(BeTrue())
			g.Expect(n.Power).To(Equal(0.8))
			g.Expect(holding[n]).To(BeNumerically("<", 4))
			holding[n]++
			open = append(open, n)
			if homes[model] == nil {
				homes[model] = make(map[string]bool)
			}
			homes[model][n.Name] = true
		}
		// Each trainer has two steps open at a time.
		if step > 0 {
			for _, n := range open[:4] {
				holding[n]--
			}
			open = open[4:]
		}
	}
	for model, names := range homes {
		g.Expect(len(names)).To(BeNumerically("<=", 2), model)
	}
}

// The entry at which a trainer's steps are at home is full. The step goes to the
// next one, and if all are full, to the one with most power for it, rather than
// nowhere.
func TestFullHomeIsPassedOver(t *testing.T) {
	g := NewWithT(t)
	holding := entries(6, 0.3)
	home, _ := Home("m", "s", holding)
	holding[home] = 2
	next, _ := Home("m", "s", holding)
	g.Expect(next).NotTo(Equal(home))
	for n := range holding {
		holding[n] = 5
	}
	holding[next] = 4
	last, ok := Home("m", "s", holding)
	g.Expect(ok).To(BeTrue())
	g.Expect(last).To(Equal(next))
}

// Three entries are all there are. A trainer's steps stay where they come in, so
// that the loss of one entry doesn't stop all of them.
func TestNoHomeAmongFew(t *testing.T) {
	g := NewWithT(t)
	_, ok := Home("m", "s", entries(3, 0.3))
	g.Expect(ok).To(BeFalse())
	_, ok = Home("m", "s", nil)
	g.Expect(ok).To(BeFalse())
}

func entries(n int, power float64) map[mesh.Node]int {
	out := make(map[mesh.Node]int)
	for i := range n {
		out[mesh.Node{Name: fmt.Sprint("entry-", i), Power: power}] = 0
	}
	return out
}
