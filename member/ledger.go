package member

import (
	"maps"
	"slices"
	"time"

	"github.com/lavendermux/lavendermux/wire"
)

type (
	// ledger holds states with the version of their last change, so that a
	// reader is sent what changed after its own version.
	ledger struct {
		version int64
		// floor is the version before which marks of gone instances were
		// forgotten.
		floor    int64
		rows     map[string]*row
		settle   time.Duration
		keepGone time.Duration
	}

	row struct {
		state   *state
		changed int64
		// goneAt is zero while the instance lives.
		goneAt time.Time
		// settleAt is when a minor change makes a version; zero when none waits.
		settleAt time.Time
	}
)

func newLedger(settle, keepGone time.Duration) *ledger {
	return &ledger{rows: map[string]*row{}, settle: settle, keepGone: keepGone}
}

// live returns the state of an instance, or nil.
func (l *ledger) live(id string) *state {
	if r := l.rows[id]; r != nil && r.goneAt.IsZero() {
		return r.state
	}
	return nil
}

func (l *ledger) put(now time.Time, s *state) {
	old := l.rows[s.id()]
	next := &row{state: s}
	l.rows[s.id()] = next
	if old == nil || !old.goneAt.IsZero() || s.material(old.state) {
		l.version++
		next.changed = l.version
		return
	}
	next.changed, next.settleAt = old.changed, old.settleAt
	if s.minor(old.state) && next.settleAt.IsZero() {
		next.settleAt = now.Add(l.settle)
	}
}

func (l *ledger) drop(now time.Time, id string) {
	r := l.rows[id]
	if r == nil || !r.goneAt.IsZero() {
		return
	}
	l.version++
	r.changed, r.goneAt, r.settleAt = l.version, now, time.Time{}
}

// tick makes one version of all minor changes once the oldest has waited long
// enough, and forgets old marks of gone instances.
func (l *ledger) tick(now time.Time) {
	due := false
	waiting := []*row{}
	for id, r := range l.rows {
		switch {
		case !r.goneAt.IsZero() && now.Sub(r.goneAt) >= l.keepGone:
			l.floor = max(l.floor, r.changed)
			delete(l.rows, id)
		case !r.settleAt.IsZero():
			waiting = append(waiting, r)
			due = due || !now.Before(r.settleAt)
		}
	}
	if !due {
		return
	}
	l.version++
	for _, r := range waiting {
		r.changed, r.settleAt = l.version, time.Time{}
	}
}

// since returns what changed after a version, or all that lives when changes
// after it have been forgotten or the version is not of this ledger.
func (l *ledger) since(after int64, known bool) *wire.MembersResponse {
	whole := !known || after < l.floor || after > l.version || after == 0
	resp := &wire.MembersResponse{Version: l.version, Whole: whole}
	for _, id := range slices.Sorted(maps.Keys(l.rows)) {
		r := l.rows[id]
		gone := !r.goneAt.IsZero()
		if (whole && !gone) || (!whole && r.changed > after) {
			r.state.appendTo(resp, r.changed, gone)
		}
	}
	return resp
}

func (l *ledger) count() int {
	n := 0
	for _, r := range l.rows {
		if r.goneAt.IsZero() {
			n++
		}
	}
	return n
}
