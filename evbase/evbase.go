// Package evbase learns with which event ID the streams of a service begin.
//
// Event IDs increase by one, and a stream is resumed after an ID, but services are free to count
// from 0, from 1 or from another number. Without knowing which, the first event of a stream can't be
// told from bytes of a broken endpoint that look like one.
package evbase

import (
	"slices"
	"sync"
)

const (
	// maxEndpoints is the number of endpoints whose streams count, the latest ones.
	maxEndpoints = 64
	// maxUsual is the largest ID that needs no confirmation: nearly all services count from 0 or 1.
	maxUsual = 1
	// minEndpoints or minStreams, of one endpoint in succession, confirm any other ID.
	minEndpoints = 2
	minStreams   = 3
)

type (
	// Votes has the event IDs with which streams of the endpoints of a service began: one for
	// each endpoint, so that a broken one doesn't outvote the others. The zero value is ready to
	// use, and it is safe for concurrent use.
	Votes struct {
		mu    sync.Mutex
		votes []vote
	}

	// Voter is an endpoint, for whose streams it votes. It implements stream.Bases.
	Voter struct {
		votes    *Votes
		endpoint string
	}

	vote struct {
		endpoint string
		first    int64
		// streams is the number of streams in succession that began so.
		streams int
	}
)

// Voter returns an endpoint as a voter.
func (v *Votes) Voter(endpoint string) *Voter { return &Voter{votes: v, endpoint: endpoint} }

// IsUsual reports whether streams may begin with the event ID although nothing is known.
func IsUsual(first int64) bool { return first >= 0 && first <= maxUsual }

// Leads reports whether more endpoints' streams begin with the event ID than with any other.
func (o *Voter) Leads(first int64) bool {
	o.votes.mu.Lock()
	defer o.votes.mu.Unlock()
	same, other := o.votes.count(first)
	return same > other
}

// Allows reports whether a stream may begin with the event ID, by what is known.
func (o *Voter) Allows(first int64) bool {
	o.votes.mu.Lock()
	defer o.votes.mu.Unlock()
	same, other := o.votes.count(first)
	return same > other || (same == other && IsUsual(first))
}

// Add records that a stream of this endpoint began with the event ID, and reports whether that
// agrees with the other endpoints.
func (o *Voter) Add(first int64) bool {
	v := o.votes
	v.mu.Lock()
	defer v.mu.Unlock()
	this := vote{endpoint: o.endpoint, first: first, streams: 1}
	if i := slices.IndexFunc(v.votes, func(old vote) bool { return old.endpoint == o.endpoint }); i >= 0 {
		if v.votes[i].first == first {
			this.streams = min(v.votes[i].streams+1, minStreams)
		}
		v.votes = slices.Delete(v.votes, i, i+1)
	}
	if len(v.votes) == maxEndpoints {
		v.votes = slices.Delete(v.votes, 0, 1)
	}
	v.votes = append(v.votes, this)
	same, other := v.count(first)
	isConfirmed := IsUsual(first) || same >= minEndpoints || this.streams >= minStreams
	return isConfirmed && same >= other
}

// count returns how many endpoints' streams begin with the event ID, and how many with the most
// frequent one of the others.
func (v *Votes) count(first int64) (same, other int) {
	counts := make(map[int64]int)
	for _, o := range v.votes {
		counts[o.first]++
	}
	for id, n := range counts {
		if id != first {
			other = max(other, n)
		}
	}
	return counts[first], other
}
