// Package place selects the endpoint for a unit of work by expected completion
// time.
//
// It is meant for batches of about a hundred generations that arrive at once. A
// tenth of the items are five times as long as the rest, engine speeds differ by
// a third, and some engines become three times slower for seconds. Decoding slows
// down with the number of concurrent requests, so the longest item on the slowest
// and fullest engine determines when the batch ends. Placement that ignores
// expected speed ends the long items later by a third or more.
//
// The package uses neither a clock nor the network.
package place

import "math"

const (
	// defaultRequestSlowdown is the relative increase in time per unit of work for
	// each additional concurrent request. On the target engines it is 0.024 to
	// 0.046 of a decode step; a value from the upper part of the range keeps long
	// items off full engines.
	defaultRequestSlowdown = 0.04
	// defaultRemotePenalty is the relative score penalty for an endpoint in another
	// data centre. It is small enough to only break ties.
	defaultRemotePenalty = 0.01
)

type (
	// Candidate describes the load and speed of one endpoint.
	Candidate struct {
		// Slots is the maximum number of concurrent requests; Running is the
		// current number.
		Slots   int
		Running int
		// UnitTime is the time per unit of work on this endpoint, relative to the
		// other candidates; must be greater than 0.
		UnitTime float64
		// Remote reports whether the endpoint is in another data centre.
		Remote bool
		// Avoid marks an endpoint that failed recently.
		Avoid bool
	}

	// Picker selects among candidates. See New.
	Picker struct {
		requestSlowdown float64
		remotePenalty   float64
	}

	// Option configures a Picker.
	Option func(*Picker)
)

// New returns a Picker configured by opts.
//
//	p := place.New()
//	i, ok := p.Pick(candidates)
func New(opts ...Option) *Picker {
	p := &Picker{requestSlowdown: defaultRequestSlowdown, remotePenalty: defaultRemotePenalty}
	for _, opt := range opts {
		opt(p)
	}
	return p
}

// Pick returns the index of the candidate with a free slot and the lowest score.
// Candidates marked Avoid are used only when no other has a free slot. ok is
// false if no candidate has a free slot.
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

// Score returns the expected time of a unit of work on c; lower is better.
func (p *Picker) Score(c Candidate) float64 {
	score := c.UnitTime * (1 + p.requestSlowdown*float64(c.Running))
	if c.Remote {
		score *= 1 + p.remotePenalty
	}
	return score
}
