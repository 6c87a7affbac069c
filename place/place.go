// Package place chooses the endpoint for a piece of work.
//
// The load it answers: batches of a hundred generations arrive at once, a tenth
// of them five times as long as the rest, on engines that differ in speed by a
// third and of which some turn three times slower for seconds. An engine makes
// each token more slowly the more requests run on it, so that a batch ends when
// its longest item on its slowest and fullest engine ends. Without a choice by
// expected speed the long items end last by a third or more.
//
// The package has no clock and no network.
package place

import "math"

const (
	// defaultCrowd is how much one more request slows the others of an engine,
	// as a share of its speed alone. Measured on engines of this kind: 0.024 to
	// 0.046 of a step for each further request; the greater one keeps long
	// items off full engines.
	defaultCrowd = 0.04
	// defaultRemote is the handicap of an endpoint in another data centre, as a
	// share of its score: it settles ties only.
	defaultRemote = 0.01
)

type (
	// Candidate is what is known about one endpoint.
	Candidate struct {
		// Slots is how many requests run at once; Running how many do.
		Slots   int
		Running int
		// Pace is the time that one unit of work takes here, relative to the
		// other candidates; more than 0.
		Pace float64
		// Remote endpoints stand in another data centre.
		Remote bool
		// Avoid marks endpoints that failed a moment ago.
		Avoid bool
	}

	// Picker chooses among candidates. See New.
	Picker struct {
		crowd  float64
		remote float64
	}

	// Option changes a Picker as New makes it.
	Option func(*Picker)
)

// New returns a picker.
//
//	p := place.New(place.WithCrowd(0.04))
//	i, ok := p.Pick(candidates)
func New(opts ...Option) *Picker {
	p := &Picker{crowd: defaultCrowd, remote: defaultRemote}
	for _, opt := range opts {
		opt(p)
	}
	return p
}

// Pick returns the index of the candidate with a free slot at which work is
// expected to end soonest. Those to avoid are taken only when nothing else is
// left, and ok is false when every slot is taken.
func (p *Picker) Pick(candidates []Candidate) (index int, ok bool) {
	best, bestAvoided := math.Inf(1), true
	for i, c := range candidates {
		if c.Running >= c.Slots {
			continue
		}
		score := p.Score(c)
		better := score < best
		if c.Avoid != bestAvoided {
			better = bestAvoided
		}
		if !ok || better {
			index, best, bestAvoided, ok = i, score, c.Avoid, true
		}
	}
	return index, ok
}

// Score is the expected time of a unit of work at c.
func (p *Picker) Score(c Candidate) float64 {
	score := c.Pace * (1 + p.crowd*float64(c.Running))
	if c.Remote {
		score *= 1 + p.remote
	}
	return score
}
