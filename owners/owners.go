// Package owners tells which sidecar owns an idempotency key, and since when.
//
// The list of sidecars changes when an instance comes or goes, and some keys then get a new
// owner. It does not know what ran at the previous one: if it treated every key as new, a
// client that retries would run its request twice, and for example book a second slot. So
// for as long as a key may be repeated, a sidecar distinguishes the keys that have just
// moved to it from those it has always owned.
package owners

import (
	"slices"
	"sync"
	"time"

	"github.com/lavendermux/lavendermux/rendez"
)

// maxAssignments is how many earlier lists of sidecars are remembered. Instances of one
// service change a few times a day and a key lives for minutes, so this is ample; beyond
// it, the oldest list remembered counts as the first.
const maxAssignments = 64

type (
	// History records the lists of sidecars as one of them saw them; safe for
	// concurrent use. See New.
	History struct {
		self string

		mu sync.Mutex
		// assignments are in the order in which they arrived; the last is in force.
		assignments []assignment
	}

	assignment struct {
		sidecars  []string
		validFrom time.Time
	}
)

// New returns an empty history for the sidecar of the endpoint instance self.
//
//	h := owners.New("case-desk-1")
//	h.Update([]string{"case-desk-1", "case-desk-2"}, false, now)
func New(self string) *History {
	return &History{self: self}
}

// Of returns which of the sidecars owns an idempotency key, "" if there are none.
func Of(key string, sidecars []string) string {
	owner := rendez.Top(key, sidecars, 1, func(id string) string { return id })
	if len(owner) == 0 {
		return ""
	}
	return owner[0]
}

// Update records the list of sidecars that is in force now. isInitial says that it is the
// service's first list and that this sidecar has been running since before it: then nothing
// can have run under its keys that it doesn't know of.
func (t *History) Update(sidecars []string, isInitial bool, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.assignments) > 0 && slices.Equal(t.assignments[len(t.assignments)-1].sidecars, sidecars) {
		return
	}
	if len(t.assignments) == 0 && len(sidecars) == 0 {
		return
	}
	validFrom := now
	if len(t.assignments) == 0 && isInitial {
		validFrom = time.Time{}
	}
	t.assignments = append(t.assignments, assignment{sidecars: slices.Clone(sidecars), validFrom: validFrom})
	if len(t.assignments) > maxAssignments {
		t.assignments = t.assignments[1:]
	}
}

// Owns reports whether this sidecar owns key, and since when without interruption; the zero
// time means always.
func (t *History) Owns(key string) (bool, time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var since time.Time
	isOwner := false
	for i := len(t.assignments) - 1; i >= 0; i-- {
		if Of(key, t.assignments[i].sidecars) != t.self {
			break
		}
		isOwner = true
		since = t.assignments[i].validFrom
	}
	return isOwner, since
}
