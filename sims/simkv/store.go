package simkv

import (
	"slices"
	"strings"

	"github.com/lavendermux/lavendermux/record"
)

type (
	// store holds the keys, their leases and the latest changes. The caller must
	// hold Server.mu.
	store struct {
		revision int64
		records  map[string]record.Record
		leases   map[int64]*lease
		// lastLeaseID is the ID of the most recent lease.
		lastLeaseID int64
		// changes are the latest changes in order of revision, at most maxChanges.
		changes    []record.Record
		maxChanges int
		// compacted is the revision up to which changes have been dropped.
		compacted int64
		// changed is closed on the next change.
		changed chan struct{}
	}

	lease struct {
		keys map[string]bool
		// stopTimer stops the timer that expires the lease.
		stopTimer func()
		// renew restarts the lease's TTL.
		renew func()
	}
)

func newStore(maxChanges int) *store {
	return &store{
		records:    make(map[string]record.Record),
		leases:     make(map[int64]*lease),
		maxChanges: maxChanges,
		changed:    make(chan struct{}),
	}
}

// put writes a key unconditionally and returns the new revision.
func (s *store) put(key string, value []byte, leaseID int64) int64 {
	old, exists := s.records[key]
	s.revision++
	rec := record.Record{Key: key, Value: value, Revision: s.revision, Created: s.revision, Lease: leaseID}
	if exists {
		rec.Created = old.Created
		s.detachLease(old)
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
	s.detachLease(old)
	delete(s.records, key)
	s.revision++
	s.record(record.Record{Key: key, Revision: s.revision, Created: old.Created, Deleted: true})
}

// detachLease removes a record from its lease.
func (s *store) detachLease(rec record.Record) {
	if l := s.leases[rec.Lease]; l != nil {
		delete(l.keys, rec.Key)
	}
}

func (s *store) record(change record.Record) {
	s.changes = append(s.changes, change)
	if over := len(s.changes) - s.maxChanges; over > 0 {
		s.compacted = s.changes[over-1].Revision
		s.changes = slices.Clone(s.changes[over:])
	}
	s.notify()
}

// compact drops all changes and skips a revision, so that no watch is up to date.
func (s *store) compact() {
	s.revision++
	s.compacted = s.revision
	s.changes = nil
	s.notify()
}

func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// changesSince returns the changes of keys with the given prefix after a revision,
// and false if some of them have been compacted. It also returns false for a
// future revision, which stems from an earlier incarnation of the service.
func (s *store) changesSince(prefix string, after int64) ([]record.Record, bool) {
	if after < s.compacted || after > s.revision {
		return nil, false
	}
	var out []record.Record
	start, _ := slices.BinarySearchFunc(s.changes, after+1, func(c record.Record, rev int64) int {
		return int(c.Revision - rev)
	})
	for _, c := range s.changes[start:] {
		if strings.HasPrefix(c.Key, prefix) {
			out = append(out, c)
		}
	}
	return out, true
}

// list returns the records whose key has the given prefix, in order of their keys.
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

func (s *store) grant(renew, stopTimer func()) int64 {
	s.lastLeaseID++
	s.leases[s.lastLeaseID] = &lease{keys: make(map[string]bool), renew: renew, stopTimer: stopTimer}
	return s.lastLeaseID
}

// expire ends a lease and deletes its keys in order. It reports whether the lease
// existed.
func (s *store) expire(id int64) bool {
	l := s.leases[id]
	if l == nil {
		return false
	}
	l.stopTimer()
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

func (s *store) expireAll() {
	ids := make([]int64, 0, len(s.leases))
	for id := range s.leases {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		s.expire(id)
	}
}
