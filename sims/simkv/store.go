package simkv

import (
	"slices"
	"strings"

	"github.com/lavendermux/lavendermux/record"
)

type (
	// store holds the keys, their leases and the latest changes. Its caller
	// holds the lock.
	store struct {
		revision int64
		records  map[string]record.Record
		leases   map[int64]*lease
		// next is the number of the next lease.
		next int64
		// changes are the latest in order of revision, at most limit of them.
		changes []record.Record
		limit   int
		// compacted is the revision up to which changes are no longer kept.
		compacted int64
		// changed is closed at the next change.
		changed chan struct{}
	}

	lease struct {
		keys map[string]bool
		// end stops the timer that lapses the lease.
		end func()
		// renew starts the term anew.
		renew func()
	}
)

func newStore(limit int) *store {
	return &store{
		records: make(map[string]record.Record),
		leases:  make(map[int64]*lease),
		limit:   limit,
		changed: make(chan struct{}),
	}
}

// put writes a key without asking what it was.
func (s *store) put(key string, value []byte, leaseID int64) int64 {
	old, exists := s.records[key]
	s.revision++
	rec := record.Record{Key: key, Value: value, Revision: s.revision, Created: s.revision, Lease: leaseID}
	if exists {
		rec.Created = old.Created
		s.release(old)
	}
	if l := s.leases[leaseID]; l != nil {
		l.keys[key] = true
	}
	s.records[key] = rec
	s.record(rec)
	return s.revision
}

func (s *store) remove(key string) {
	old, exists := s.records[key]
	if !exists {
		return
	}
	s.release(old)
	delete(s.records, key)
	s.revision++
	s.record(record.Record{Key: key, Revision: s.revision, Created: old.Created, Deleted: true})
}

// release takes a record out of the lease that it died with.
func (s *store) release(rec record.Record) {
	if l := s.leases[rec.Lease]; l != nil {
		delete(l.keys, rec.Key)
	}
}

func (s *store) record(change record.Record) {
	s.changes = append(s.changes, change)
	if over := len(s.changes) - s.limit; over > 0 {
		s.compacted = s.changes[over-1].Revision
		s.changes = slices.Clone(s.changes[over:])
	}
	s.wake()
}

// compact forgets all changes and one more, so that no watch has seen them all.
func (s *store) compact() {
	s.revision++
	s.compacted = s.revision
	s.changes = nil
	s.wake()
}

func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// since returns the changes below prefix after a revision, and false when they
// are not all kept. A revision that the service has not reached yet is from
// another life of it, so what came after is not known either.
func (s *store) since(prefix string, after int64) ([]record.Record, bool) {
	if after < s.compacted || after > s.revision {
		return nil, false
	}
	var out []record.Record
	first, _ := slices.BinarySearchFunc(s.changes, after+1, func(c record.Record, rev int64) int {
		return int(c.Revision - rev)
	})
	for _, c := range s.changes[first:] {
		if strings.HasPrefix(c.Key, prefix) {
			out = append(out, c)
		}
	}
	return out, true
}

// list returns the records below prefix in order of their keys.
func (s *store) list(prefix string) []record.Record {
	out := []record.Record{}
	for key, rec := range s.records {
		if strings.HasPrefix(key, prefix) {
			out = append(out, rec)
		}
	}
	slices.SortFunc(out, func(a, b record.Record) int { return strings.Compare(a.Key, b.Key) })
	return out
}

func (s *store) grant(renew, end func()) int64 {
	s.next++
	s.leases[s.next] = &lease{keys: make(map[string]bool), renew: renew, end: end}
	return s.next
}

// lapse ends a lease and removes its keys, in order. It reports whether there
// was one.
func (s *store) lapse(id int64) bool {
	l := s.leases[id]
	if l == nil {
		return false
	}
	l.end()
	delete(s.leases, id)
	keys := make([]string, 0, len(l.keys))
	for key := range l.keys {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	for _, key := range keys {
		s.remove(key)
	}
	return true
}

func (s *store) lapseAll() {
	ids := make([]int64, 0, len(s.leases))
	for id := range s.leases {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		s.lapse(id)
	}
}
