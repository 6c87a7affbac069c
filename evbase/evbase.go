// Package evbase learns with which event ID the streams of a service begin.
//
// Event IDs increase by one, and a stream is resumed after an ID, but services are free to count
// from 0 or from 1. Without knowing which, the first event of a stream can't be told from bytes of a
// broken endpoint that look like one.
package evbase

import (
	"slices"
	"sync"
)

// maxEndpoints is the number of endpoints whose streams count, the latest ones.
const maxEndpoints = 64

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
	}
)

// IsValid reports whether a stream may begin with the event ID.
func IsValid(first int64) bool { return first == 0 || first == 1 }

// Voter returns an endpoint as a voter.
func (v *Votes) Voter(endpoint string) *Voter { return &Voter{votes: v, endpoint: endpoint} }

// Leads reports whether streams of most endpoints begin with the event ID.
func (o *Voter) Leads(first int64) bool {
	o.votes.mu.Lock()
	defer o.votes.mu.Unlock()
	same, other := o.votes.count(first)
	return same > other
}

// Add records that a stream of this endpoint began with the event ID, and reports whether that
// agrees with at least half of the endpoints.
func (o *Voter) Add(first int64) bool {
	v := o.votes
	v.mu.Lock()
	defer v.mu.Unlock()
	v.votes = slices.DeleteFunc(v.votes, func(old vote) bool { return old.endpoint == o.endpoint })
	if len(v.votes) == maxEndpoints {
		v.votes = v.votes[1:]
	}
	v.votes = append(v.votes, vote{endpoint: o.endpoint, first: first})
	same, other := v.count(first)
	return same >= other
}

func (v *Votes) count(first int64) (same, other int) {
	for _, o := range v.votes {
		if o.first == first {
			same++
		} else {
			other++
		}
	}
	return same, other
}
