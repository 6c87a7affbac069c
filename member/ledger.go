package member

import (
	"maps"
	"slices"
	"time"

	"github.com/lavendermux/lavendermux/wire"
)

type (
	// versionedTable holds the states of instances with the version of their last
	// change, so that a reader is sent only what changed after its own version.
	versionedTable struct {
		version int64
		// prunedVersion is the greatest version of the tombstones that were removed.
		prunedVersion int64
		rows          map[string]*row
		settleDelay   time.Duration
		tombstoneTTL  time.Duration
	}

	row struct {
		state          *state
		changedVersion int64
		// goneAt is when the instance was marked as gone; zero while it lives.
		goneAt time.Time
		// publishAt is when a minor change makes a new version; zero when none is
		// pending.
		publishAt time.Time
	}
)

func newVersionedTable(settleDelay, tombstoneTTL time.Duration) *versionedTable {
	return &versionedTable{rows: map[string]*row{}, settleDelay: settleDelay, tombstoneTTL: tombstoneTTL}
}

// live returns the state of a live instance, or nil.
func (t *versionedTable) live(id string) *state {
	if r := t.rows[id]; r != nil && r.goneAt.IsZero() {
		return r.state
	}
	return nil
}

func (t *versionedTable) put(now time.Time, s *state) {
	old := t.rows[s.id()]
	next := &row{state: s}
	t.rows[s.id()] = next
	if old == nil || !old.goneAt.IsZero() || s.isMaterialChange(old.state) {
		t.version++
		next.changedVersion = t.version
		return
	}
	next.changedVersion, next.publishAt = old.changedVersion, old.publishAt
	if s.isMinorChange(old.state) && next.publishAt.IsZero() {
		next.publishAt = now.Add(t.settleDelay)
	}
}

func (t *versionedTable) drop(now time.Time, id string) {
	r := t.rows[id]
	if r == nil || !r.goneAt.IsZero() {
		return
	}
	t.version++
	r.changedVersion, r.goneAt, r.publishAt = t.version, now, time.Time{}
}

// tick makes one new version for all minor changes once the oldest is due, and removes
// old tombstones.
func (t *versionedTable) tick(now time.Time) {
	due := false
	waiting := []*row{}
	for id, r := range t.rows {
		switch {
		case !r.goneAt.IsZero() && now.Sub(r.goneAt) >= t.tombstoneTTL:
			t.prunedVersion = max(t.prunedVersion, r.changedVersion)
			delete(t.rows, id)
		case !r.publishAt.IsZero():
			waiting = append(waiting, r)
			due = due || !now.Before(r.publishAt)
		}
	}
	if !due {
		return
	}
	t.version++
	for _, r := range waiting {
		r.changedVersion, r.publishAt = t.version, time.Time{}
	}
}

// changesSince returns the changes after a version, or all live instances if tombstones
// after it were removed or the version doesn't belong to this table.
func (t *versionedTable) changesSince(after int64, known bool) *wire.MembersResponse {
	whole := !known || after < t.prunedVersion || after > t.version || after == 0
	resp := &wire.MembersResponse{Version: t.version, Whole: whole}
	for _, id := range slices.Sorted(maps.Keys(t.rows)) {
		r := t.rows[id]
		gone := !r.goneAt.IsZero()
		if (whole && !gone) || (!whole && r.changedVersion > after) {
			r.state.appendTo(resp, r.changedVersion, gone)
		}
	}
	return resp
}

func (t *versionedTable) count() int {
	n := 0
	for _, r := range t.rows {
		if r.goneAt.IsZero() {
			n++
		}
	}
	return n
}
