package poison

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/lavendermux/lavendermux/reqfp"
	"github.com/lavendermux/lavendermux/strike"
)

// recount updates count and latest.
func (s *suspect) recount() {
	s.count, s.latest = 0, time.Time{}
	for _, st := range s.strikes {
		if st.cleared {
			continue
		}
		s.count++
		if st.at.After(s.latest) {
			s.latest = st.at
		}
	}
}

// covers reports whether all strikes of o that count also count in s.
func (s *suspect) covers(o *suspect) bool {
	for incarnation, st := range o.strikes {
		if own, ok := s.strikes[incarnation]; !st.cleared && (!ok || own.cleared) {
			return false
		}
	}
	return true
}

// lastRecorded returns the time of the latest strike, cleared or not.
func (s *suspect) lastRecorded() time.Time {
	var last time.Time
	for _, st := range s.strikes {
		if st.at.After(last) {
			last = st.at
		}
	}
	return last
}

// strike adds a strike against a request and reports whether it is new and was kept.
func (t *Table) strike(fp reqfp.Fingerprint, incarnation string, at time.Time) bool {
	s, ok := t.suspects[fp]
	if !ok {
		s = &suspect{strikes: make(map[string]*strikeState)}
		t.suspects[fp] = s
	}
	if _, ok := s.strikes[incarnation]; ok {
		return false
	}
	s.strikes[incarnation] = &strikeState{at: at}
	s.recount()
	t.digest += strikeHash(fp, incarnation, false)
	t.evict(fp, s)
	_, isKept := s.strikes[incarnation]
	return isKept
}

// evict enforces the bounds: it drops the oldest strike of a request that has too many, and
// of all requests the one with the fewest strikes that count, the oldest first.
func (t *Table) evict(fp reqfp.Fingerprint, s *suspect) {
	if len(s.strikes) > maxStrikes {
		t.dropStrike(fp, slices.MinFunc(slices.Collect(maps.Keys(s.strikes)), func(a, b string) int {
			return cmp.Or(s.strikes[a].at.Compare(s.strikes[b].at), cmp.Compare(a, b))
		}))
	}
	if len(t.suspects) <= t.maxRequests {
		return
	}
	victim := slices.MinFunc(slices.Collect(maps.Keys(t.suspects)), func(a, b reqfp.Fingerprint) int {
		return cmp.Or(cmp.Compare(t.suspects[a].count, t.suspects[b].count), t.suspects[a].lastRecorded().Compare(t.suspects[b].lastRecorded()), slices.Compare(a[:], b[:]))
	})
	for incarnation := range t.suspects[victim].strikes {
		t.dropStrike(victim, incarnation)
	}
}

func (t *Table) dropStrike(fp reqfp.Fingerprint, incarnation string) {
	s := t.suspects[fp]
	t.digest -= strikeHash(fp, incarnation, s.strikes[incarnation].cleared)
	delete(s.strikes, incarnation)
	s.recount()
	if len(s.strikes) == 0 {
		delete(t.suspects, fp)
	}
}

// mergeRecord merges one record and reports whether it was news. A request recently
// answered here is cleared: it doesn't crash every endpoint that runs it.
func (t *Table) mergeRecord(r strike.Record, now time.Time) bool {
	isNew := false
	for incarnation, ms := range r.Ended {
		at := now.Add(-time.Duration(max(0, ms)) * time.Millisecond)
		if now.Sub(at) > t.strikeTTL+2*t.quarantineTime(maxStrikes) {
			continue
		}
		isNew = t.strike(r.Fingerprint, incarnation, at) || isNew
	}
	s, ok := t.suspects[r.Fingerprint]
	if !ok {
		return isNew
	}
	if t.answered.Has(r.Fingerprint, now) {
		return t.Clear(r.Fingerprint) > 0 || isNew
	}
	for _, incarnation := range r.Cleared {
		isNew = t.clear(r.Fingerprint, s, incarnation) || isNew
	}
	return isNew
}

// clear clears one strike, and reports whether it counted until now.
func (t *Table) clear(fp reqfp.Fingerprint, s *suspect, incarnation string) bool {
	st, ok := s.strikes[incarnation]
	if !ok || st.cleared {
		return false
	}
	t.digest -= strikeHash(fp, incarnation, false)
	t.digest += strikeHash(fp, incarnation, true)
	st.cleared = true
	s.recount()
	return true
}

// Record returns the strikes of a request; ok is false if there are none.
func (t *Table) Record(fp reqfp.Fingerprint, now time.Time) (r strike.Record, ok bool) {
	s, ok := t.suspects[fp]
	if !ok {
		return strike.Record{}, false
	}
	r = strike.Record{Fingerprint: fp, Ended: make(map[string]int64, len(s.strikes))}
	for incarnation, st := range s.strikes {
		r.Ended[incarnation] = now.Sub(st.at).Milliseconds()
		if st.cleared {
			r.Cleared = append(r.Cleared, incarnation)
		}
	}
	slices.Sort(r.Cleared)
	return r, true
}

// Records returns all strikes, sorted by fingerprint.
func (t *Table) Records(now time.Time) []strike.Record {
	out := make([]strike.Record, 0, len(t.suspects))
	for fp := range t.suspects {
		if r, ok := t.Record(fp, now); ok {
			out = append(out, r)
		}
	}
	slices.SortFunc(out, func(a, b strike.Record) int { return slices.Compare(a.Fingerprint[:], b.Fingerprint[:]) })
	return out
}

// Digest returns a hash of all strikes. It is equal at instances that have the same ones,
// and 0 if there are none.
func (t *Table) Digest() uint64 { return t.digest }

// strikeHash is what one strike adds to the digest.
func strikeHash(fp reqfp.Fingerprint, incarnation string, cleared bool) uint64 {
	h := xxhash.New()
	_, _ = h.Write(fp[:]) // a hash never fails
	_, _ = h.WriteString(incarnation)
	if cleared {
		_, _ = h.WriteString("\x00cleared")
	}
	return h.Sum64()
}
