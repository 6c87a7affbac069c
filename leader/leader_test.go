package leader

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/lavendermux/lavendermux/mesh"
)

// Faults seek out whoever has just acted. The leader is therefore an instance on which no
// caller waits, as long as there is one, and then a strong one; all that know the same
// instances choose alike, in whatever order they heard of them.
func TestWhoLeads(t *testing.T) {
	g := NewWithT(t)
	small := mesh.Node{Name: "entry-1", Plans: true, Power: 0.144}
	strong := mesh.Node{Name: "entry-9", Plans: true, Power: 0.8}
	data := mesh.Node{Name: "data-3", Power: 0.48}
	other := mesh.Node{Name: "data-4", Power: 0.48}
	for _, nodes := range [][]mesh.Node{{small, strong, other, data}, {data, small, other, strong}} {
		g.Expect(inOrder(nodes)).To(Equal([]mesh.Node{data, other, strong, small}))
	}
	g.Expect(inOrder([]mesh.Node{small, strong})[0]).To(Equal(strong))
}

// The leader is lost with all of its data centre. Who leads next must know what was
// counted, so that it stands elsewhere if anybody does.
func TestHeirStandsElsewhere(t *testing.T) {
	g := NewWithT(t)
	leader := mesh.Node{Name: "data-1", DataCentre: "a"}
	near := mesh.Node{Name: "data-2", DataCentre: "a"}
	far := mesh.Node{Name: "entry-1", DataCentre: "b", Plans: true}
	next, ok := heir(leader, []mesh.Node{leader, near, far})
	g.Expect(ok).To(BeTrue())
	g.Expect(next).To(Equal(far))
	next, ok = heir(leader, []mesh.Node{leader, near})
	g.Expect(ok).To(BeTrue())
	g.Expect(next).To(Equal(near))
	_, ok = heir(leader, []mesh.Node{leader})
	g.Expect(ok).To(BeFalse())
}
