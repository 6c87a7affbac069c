// Package heirs chooses who holds a submission.
//
// The load it answers: each trainer hands in a step of a hundred to two hundred
// generations every few seconds, at whichever entry it reaches. An entry that
// holds a step knows nothing of the engines' speeds but what its own runs showed,
// so that steps dealt out over twenty entries put their longest items on engines
// that are a third slower, and end by a third later. Steps of one trainer at one
// entry also share connections and the texts of items that come again. On the other
// hand a small machine can't carry a step at all, and entries that stop one after
// the other must not leave everything to a single peer.
package heirs

import (
	"github.com/lavendermux/lavendermux/mesh"
	"github.com/lavendermux/lavendermux/rendez"
)

const (
	// unknownPower is taken for a machine that doesn't tell.
	unknownPower = 0.3
	// strongShare is the power, as a share of the strongest candidate's, from
	// which on a machine is as good a home as any.
	strongShare = 0.75
	// roomPerPower is how many open submissions a whole processor takes: a step
	// of two hundred streams takes 0.05 of one at the mean and 0.15 at its start.
	roomPerPower = 6
	// roomLeast lets each machine take a trainer's step and the one that overlaps.
	roomLeast = 2
	// fewEntries is up to how many candidates each submission stays where it came
	// in: each entry gets a step of each trainer every few steps anyway, and the
	// loss of one entry then costs a trainer one step, not all that are open.
	fewEntries = 5
)

// Heir is a peer with its load.
type Heir struct {
	Node mesh.Node
	// Load is the submissions held for each unit of power, with one more.
	Load float64
}

// Home returns the candidate at which all submissions of a model are at home: the
// first by rendezvous hashing among the strong ones that have room. When none has
// room, it is the one that Choose returns. Among few candidates no model has a home,
// and ok is false.
//
//	n, ok := heirs.Home("m1", "b1", map[mesh.Node]int{a: 2, b: 0})
func Home(model, id string, candidates map[mesh.Node]int) (n mesh.Node, ok bool) {
	if len(candidates) <= fewEntries {
		return mesh.Node{}, false
	}
	strongest := 0.0
	for n := range candidates {
		strongest = max(strongest, power(n))
	}
	var roomy []mesh.Node
	for n, holding := range candidates {
		if power(n) >= strongShare*strongest && holding < room(n) {
			roomy = append(roomy, n)
		}
	}
	first := rendez.First(model, roomy, 1, func(n mesh.Node) string { return n.Name })
	if len(first) == 0 {
		return Choose(id, candidates)
	}
	return first[0], true
}

// Choose returns the peer that has most power for each submission that it would
// then hold; equals are told apart by rendezvous hashing.
//
//	n, ok := heirs.Choose("b1", map[mesh.Node]int{a: 2, b: 0})
func Choose(id string, peers map[mesh.Node]int) (mesh.Node, bool) {
	var best []Heir
	for n, holding := range peers {
		h := Heir{Node: n, Load: float64(holding+1) / power(n)}
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

func room(n mesh.Node) int { return max(roomLeast, int(roomPerPower*power(n))) }

func power(n mesh.Node) float64 {
	if n.Power <= 0 {
		return unknownPower
	}
	return n.Power
}
