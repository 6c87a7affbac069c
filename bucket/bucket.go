// Package bucket defines a time bucket: the good and bad events of an objective in one
// interval.
package bucket

import (
	"slices"
	"time"

	"github.com/lavendermux/lavendermux/blame"
)

// maxBlames bounds the blames of one bucket; a report shows the top eight.
const maxBlames = 16

// Bucket has the counts of one interval. Events are requests, samples or milliseconds,
// depending on the objective.
type Bucket struct {
	// Start is a multiple of the interval's length, in UTC.
	Start time.Time `json:"start"`
	// Good is the number of events that met the objective.
	Good int64 `json:"good"`
	// Bad is the number of events that missed it: the sum of Blames.
	Bad int64 `json:"bad"`
	// Blames attributes the bad events, to at most sixteen pairs of party and cause.
	Blames []blame.Blame `json:"blames,omitempty"`
}

// Add adds good and bad events.
//
//	b.Add(99, blame.Blame{Who: "case-officer", Cause: blame.CauseLate, Bad: 1})
func (b *Bucket) Add(good int64, bad blame.Blame) {
	b.Good += good
	if bad.Bad == 0 {
		return
	}
	b.Bad += bad.Bad
	b.Blames = blame.Add(b.Blames, bad, maxBlames)
}

// Merge adds another bucket of the same interval.
func (b *Bucket) Merge(other Bucket) {
	b.Good += other.Good
	b.Bad += other.Bad
	for _, bad := range other.Blames {
		b.Blames = blame.Add(b.Blames, bad, maxBlames)
	}
}

// Clone returns a deep copy.
func (b *Bucket) Clone() Bucket {
	c := *b
	c.Blames = slices.Clone(b.Blames)
	return c
}
