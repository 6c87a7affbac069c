package poison

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/lavendermux/lavendermux/finger"
	"github.com/lavendermux/lavendermux/strike"
)

// recount brings n and last up to date.
func (s *suspect) recount() {
	s.n, s.last = 0, time.Time{}
	for _, st := range s.strikes {
		if st.cleared {
			continue
		}
		s.n++
		if st.at.After(s.last) {
			s.last = st.at
		}
	}
}

// covers reports whether all strikes of o that count are among those of s.
func (s *suspect) covers(o *suspect) bool {
	for boot, st := range o.strikes {
		if own, ok := s.strikes[boot]; !st.cleared && (!ok || own.cleared) {
			return false
		}
	}
	return true
}

// latest is when the last strike was, also one that is cleared.
func (s *suspect) latest() time.Time {
	var last time.Time
	for _, st := range s.strikes {
		if st.at.After(last) {
			last = st.at
		}
	}
	return last
}

// strike counts a boot against a request and reports whether that is new.
func (t *Table) strike(p finger.Print, boot string, at time.Time) bool {
	s, ok := t.suspects[p]
	if !ok {
		s = &suspect{strikes: make(map[string]*struck)}
		t.suspects[p] = s
	}
	if _, ok := s.strikes[boot]; ok {
		return false
	}
	s.strikes[boot] = &struck{at: at}
	s.recount()
	t.digest += strikeHash(p, boot, false)
	t.bound(p, s)
	_, isKept := s.strikes[boot]
	return isKept
}

// bound drops what is more than is remembered: of one request its oldest strike, and of
// all requests the one with the fewest strikes that count, the oldest first.
func (t *Table) bound(p finger.Print, s *suspect) {
	if len(s.strikes) > strikesMost {
		t.drop(p, slices.MinFunc(slices.Collect(maps.Keys(s.strikes)), func(a, b string) int {
			return cmp.Or(s.strikes[a].at.Compare(s.strikes[b].at), cmp.Compare(a, b))
		}))
	}
	if len(t.suspects) <= t.most {
		return
	}
	least := slices.MinFunc(slices.Collect(maps.Keys(t.suspects)), func(a, b finger.Print) int {
		return cmp.Or(cmp.Compare(t.suspects[a].n, t.suspects[b].n), t.suspects[a].latest().Compare(t.suspects[b].latest()), slices.Compare(a[:], b[:]))
	})
	for boot := range t.suspects[least].strikes {
		t.drop(least, boot)
	}
}

func (t *Table) drop(p finger.Print, boot string) {
	s := t.suspects[p]
	t.digest -= strikeHash(p, boot, s.strikes[boot].cleared)
	delete(s.strikes, boot)
	s.recount()
	if len(s.strikes) == 0 {
		delete(t.suspects, p)
	}
}

// take merges one record and reports whether it said anything new. A request that was
// answered here a moment ago doesn't end whatever runs it.
func (t *Table) take(r strike.Record, now time.Time) bool {
	isNew := false
	for boot, ms := range r.Ended {
		at := now.Add(-time.Duration(max(0, ms)) * time.Millisecond)
		if now.Sub(at) > t.memory+2*t.holdTime(strikesMost) {
			continue
		}
		isNew = t.strike(r.Print, boot, at) || isNew
	}
	s, ok := t.suspects[r.Print]
	if !ok {
		return isNew
	}
	if t.answered.Has(r.Print, now) {
		return t.Clear(r.Print) > 0 || isNew
	}
	for _, boot := range r.Cleared {
		isNew = t.clear(r.Print, s, boot) || isNew
	}
	return isNew
}

// clear has one strike count no more, and reports whether it did until now.
func (t *Table) clear(p finger.Print, s *suspect, boot string) bool {
	st, ok := s.strikes[boot]
	if !ok || st.cleared {
		return false
	}
	t.digest -= strikeHash(p, boot, false)
	t.digest += strikeHash(p, boot, true)
	st.cleared = true
	s.recount()
	return true
}

// Record returns what is known about a request; ok is false if nothing is.
func (t *Table) Record(p finger.Print, now time.Time) (r strike.Record, ok bool) {
	s, ok := t.suspects[p]
	if !ok {
		return strike.Record{}, false
	}
	r = strike.Record{Print: p, Ended: make(map[string]int64, len(s.strikes))}
	for boot, st := range s.strikes {
		r.Ended[boot] = now.Sub(st.at).Milliseconds()
		if st.cleared {
			r.Cleared = append(r.Cleared, boot)
		}
	}
	slices.Sort(r.Cleared)
	return r, true
}

// Records returns all that is known, by print.
func (t *Table) Records(now time.Time) []strike.Record {
	out := make([]strike.Record, 0, len(t.suspects))
	for p := range t.suspects {
		if r, ok := t.Record(p, now); ok {
			out = append(out, r)
		}
	}
	slices.SortFunc(out, func(a, b strike.Record) int { return slices.Compare(a.Print[:], b.Print[:]) })
	return out
}

// Digest is the same at two instances that know the same strikes, and 0 where there are
// none.
func (t *Table) Digest() uint64 { return t.digest }

// strikeHash is a strike's part of the digest.
func strikeHash(p finger.Print, boot string, cleared bool) uint64 {
	h := xxhash.New()
	_, _ = h.Write(p[:]) // a hash never fails
	_, _ = h.WriteString(boot)
	if cleared {
		_, _ = h.WriteString("\x00cleared")
	}
	return h.Sum64()
}
