// Package assign selects the instance that owns a batch.
//
// Each trainer submits a step of a hundred to two hundred generations every few
// seconds, at any instance. The owner of a step knows engine speeds only from its
// own runs. If steps were spread over twenty instances, their longest items would
// run on engines that are a third slower, and the steps would end a third later.
// Model affinity avoids this, and steps of one trainer on one instance also share
// connections and the texts of resubmitted items. However, a small machine can't
// run a step at all, and during a rolling shutdown a single peer must not end up
// owning everything.
package assign

import (
	"github.com/lavendermux/lavendermux/mesh"
	"github.com/lavendermux/lavendermux/rendez"
)

const (
	// defaultPower is assumed for machines that don't report their power.
	defaultPower = 0.3
	// strongPowerShare is the minimum power of an owner by affinity, as a share of the
	// strongest candidate's power. Machines above it are considered equal.
	strongPowerShare = 0.75
	// submissionsPerPower is the number of open batches per full processor: a step of
	// two hundred streams uses 0.05 of a processor on average and 0.15 at its start.
	submissionsPerPower = 6
	// minSubmissions lets every machine own a trainer's step and the one that overlaps
	// with it.
	minSubmissions = 2
	// maxCandidatesNoAffinity is the number of candidates up to which affinity is off
	// and batches stay where they were submitted: with so few instances each gets a
	// step of every trainer every few steps anyway, and the loss of one then costs a
	// trainer one step rather than all open steps.
	maxCandidatesNoAffinity = 5
)

// Candidate is a candidate owner with its load.
type Candidate struct {
	Node mesh.Node
	// Load is the number of batches per unit of power if the peer took one more.
	Load float64
}

// Preferred returns the owner of batch id by model affinity: the first by rendezvous
// hashing of the model among the strong candidates with spare capacity, or the least
// loaded candidate if there is none. candidates maps each instance to the number of
// batches that it owns. ok is false if there are too few candidates for affinity.
//
//	n, ok := assign.Preferred("m1", "b1", map[mesh.Node]int{a: 2, b: 0})
func Preferred(model, id string, candidates map[mesh.Node]int) (n mesh.Node, ok bool) {
	if len(candidates) <= maxCandidatesNoAffinity {
		return mesh.Node{}, false
	}
	strongest := 0.0
	for n := range candidates {
		strongest = max(strongest, effectivePower(n))
	}
	var eligible []mesh.Node
	for n, owned := range candidates {
		if effectivePower(n) >= strongPowerShare*strongest && owned < capacity(n) {
			eligible = append(eligible, n)
		}
	}
	first := rendez.Top(model, eligible, 1, func(n mesh.Node) string { return n.Name })
	if len(first) == 0 {
		return LeastLoaded(id, candidates)
	}
	return first[0], true
}

// LeastLoaded returns the peer that would have the most power per batch if it also owned
// batch id; ties are broken by rendezvous hashing. peers maps each instance to the
// number of batches that it owns. It returns false if there are no peers.
//
//	n, ok := assign.LeastLoaded("b1", map[mesh.Node]int{a: 2, b: 0})
func LeastLoaded(id string, peers map[mesh.Node]int) (mesh.Node, bool) {
	var best []Candidate
	for n, owned := range peers {
		c := Candidate{Node: n, Load: float64(owned+1) / effectivePower(n)}
		switch {
		case len(best) == 0 || c.Load < best[0].Load:
			best = []Candidate{c}
		case c.Load == best[0].Load:
			best = append(best, c)
		}
	}
	first := rendez.Top(id, best, 1, func(c Candidate) string { return c.Node.Name })
	if len(first) == 0 {
		return mesh.Node{}, false
	}
	return first[0].Node, true
}

// capacity returns the number of open batches that n can own.
func capacity(n mesh.Node) int {
	return max(minSubmissions, int(submissionsPerPower*effectivePower(n)))
}

func effectivePower(n mesh.Node) float64 {
	if n.Power <= 0 {
		return defaultPower
	}
	return n.Power
}
