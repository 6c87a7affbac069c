// Package heirs chooses who takes a submission on from an instance that can't hold
// it.
//
// The load it answers: entries stop one after the other, or a small one gets a
// trainer's large batch. If all went to one peer, or to whichever is next, a few
// instances would hold everything on processors that are too small for it.
package heirs

import (
	"github.com/lavendermux/lavendermux/mesh"
	"github.com/lavendermux/lavendermux/rendez"
)

// Heir is a peer with its load.
type Heir struct {
	Node mesh.Node
	// Load is the submissions held for each unit of power, with one more.
	Load float64
}

// unknownPower is taken for a machine that doesn't tell.
const unknownPower = 0.3

// Choose returns the peer that has most power for each submission that it would
// then hold; equals are told apart by rendezvous hashing.
//
//	n, ok := heirs.Choose("b1", map[mesh.Node]int{a: 2, b: 0})
func Choose(id string, peers map[mesh.Node]int) (mesh.Node, bool) {
	var best []Heir
	for n, holding := range peers {
		power := n.Power
		if power <= 0 {
			power = unknownPower
		}
		h := Heir{Node: n, Load: float64(holding+1) / power}
		switch {
		case len(best) == 0 || h.Load < best[0].Load:
			best = []Heir{h}
		case h.Load == best[0].Load:
			best = append(best, h)
		}
	}
	first := rendez.First(id, best, 1, func(h Heir) string { return h.Node.Name })
	if len(first) == 0 {
		return mesh.Node{}, false
	}
	return first[0].Node, true
}
