// Package bucket holds what was counted for an objective in a stretch of time.
package bucket

import (
	"slices"
	"time"

	"github.com/lavendermux/lavendermux/blame"
)

// limit bounds the blames of one bucket; a report shows the worst eight.
const limit = 16

// Bucket counts one stretch of time. Requests, samples and milliseconds are all
// just events here.
type Bucket struct {
	// Start is a multiple of the stretch's length, in UTC.
	Start time.Time `json:"start"`
	// Good counts events that kept the promise.
	Good int64 `json:"good"`
	// Bad counts events that broke it; the sum of Blames.
	Bad int64 `json:"bad"`
	// Blames say who spent them, at most sixteen kept apart.
	Blames []blame.Blame `json:"blames,omitempty"`
}

// Add counts good and bad events.
//
//	b.Add(99, blame.Blame{Who: "case-officer", Cause: blame.Late, Bad: 1})
func (b *Bucket) Add(good int64, bad blame.Blame) {
	b.Good += good
	if bad.Bad == 0 {
		return
	}
	b.Bad += bad.Bad
	b.Blames = blame.Add(b.Blames, bad, limit)
}

// Merge counts what another bucket of the same stretch holds.
func (b *Bucket) Merge(other Bucket) {
	b.Good += other.Good
	b.Bad += other.Bad
	for _, one := range other.Blames {
		b.Blames = blame.Add(b.Blames, one, limit)
	}
}

// Clone returns a copy that shares nothing with b.
func (b *Bucket) Clone() Bucket {
	c := *b
	c.Blames = slices.Clone(b.Blames)
	return c
}
