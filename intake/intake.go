// Package intake implements the state of an acceptor, the entry that accepts the submissions
// of a model.
//
// A record in the metadata store grants the right to accept submissions of a model to one
// entry in advance, and every create of a batch expects the record's revision. While the
// store is unavailable, the acceptor appends submissions to a replicated log (packages replog
// and seal), and accepts those that enough replicas have synced. Once the store is back, it
// creates their batches and writes to the record how many log entries the store has. A
// successor first claims the record, then seals the log and stores what it finds.
//
// The package uses no network, disk or clock.
package intake

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/lavendermux/lavendermux/batch"
)

const (
	// maxPendingBytes bounds the log entries of a model that the store lacks: an eighth of
	// what a disk keeps. With 50 KB for a step and one step each 4 s, these are 11 minutes.
	maxPendingBytes = 8 << 20
	// maxEntryBytes bounds one log entry: what an append can carry to a replica over a link of
	// 60 Mbit/s before it times out after a second.
	maxEntryBytes = 4 << 20
	// openMargin is how long a batch that was open stays known: longer than a takeover, during
	// which nobody owns it.
	openMargin = 30 * time.Second
	// maxKnown bounds the IDs of a model that are kept. A trainer submits some 40 in the time
	// for which they are kept.
	maxKnown = 20_000
)

type (
	// Acceptor is the state of the acceptor of one model. It isn't safe for concurrent use.
	// See New.
	Acceptor struct {
		epoch    int64
		replicas []batch.Replica
		// stored is the number of log entries that the store has, by the last confirmed write
		// of the record, and log has the later ones. The first synced of them are accepted.
		stored, synced int
		log            []logEntry
		bytes          int
		// isMoving is set while a write of the record that changes the replicas has no answer.
		isMoving bool
		known    map[string]knownID
	}

	logEntry struct {
		result batch.Result
		// inStore is set once the store has the batch.
		inStore bool
	}

	knownID struct {
		customer string
		since    time.Time
		// openAt is when the batch was last open.
		openAt time.Time
	}

	// RefusedError means that a submission can't be accepted without the store. Nothing of it
	// was appended.
	RefusedError struct {
		Cause string
	}
)

// Error names the cause.
func (e *RefusedError) Error() string { return "submission not accepted: " + e.Cause }

// New returns the state of an acceptor that has acquired its record with an epoch, at which
// the store has all of the stored log entries.
//
//	a := intake.New(3, 17, replicas)
//	err := a.Append(result)
func New(epoch int64, stored int, replicas []batch.Replica) *Acceptor {
	return &Acceptor{epoch: epoch, stored: stored, replicas: replicas, known: make(map[string]knownID)}
}

// Epoch returns the epoch of the record.
func (a *Acceptor) Epoch() int64 { return a.epoch }

// Replicas returns the replicas of the log.
func (a *Acceptor) Replicas() []batch.Replica { return a.replicas }

// Learn adds the ID of a batch of a customer that exists.
func (a *Acceptor) Learn(id, customer string, now time.Time) {
	if len(a.known) >= maxKnown {
		a.forgetOldest()
	}
	a.known[id] = knownID{customer: customer, since: now}
}

// forgetOldest drops the half of the known IDs that were learned or open the longest ago.
func (a *Acceptor) forgetOldest() {
	latest := func(id string) time.Time {
		k := a.known[id]
		if k.openAt.After(k.since) {
			return k.openAt
		}
		return k.since
	}
	ids := slices.SortedFunc(maps.Keys(a.known), func(x, y string) int { return latest(x).Compare(latest(y)) })
	for _, id := range ids[:len(ids)/2] {
		delete(a.known, id)
	}
}

// CustomerOf returns the customer of a batch that exists, as far as is known.
func (a *Acceptor) CustomerOf(id string) (customer string, ok bool) {
	k, ok := a.known[id]
	return k.customer, ok
}

// Forget drops the IDs that were learned before a time, except those of log entries and of
// batches that are or were just open.
func (a *Acceptor) Forget(before, now time.Time, isOpen func(id string) bool) {
	logged := make(map[string]bool, len(a.log))
	for _, e := range a.log {
		logged[e.result.ID] = true
	}
	for id, k := range a.known {
		switch {
		case isOpen(id):
			k.openAt = now
			a.known[id] = k
		case k.since.Before(before) && now.Sub(k.openAt) > openMargin && !logged[id]:
			delete(a.known, id)
		}
	}
}

// CanAppend returns a *RefusedError if nothing can be accepted without the store now.
func (a *Acceptor) CanAppend() error {
	switch {
	case len(a.replicas) == 0:
		return &RefusedError{Cause: "the log has no replicas"}
	case a.isMoving:
		return &RefusedError{Cause: "the replicas of the log are being replaced"}
	case a.bytes >= maxPendingBytes:
		return &RefusedError{Cause: fmt.Sprintf("%d bytes of submissions wait for the store", a.bytes)}
	}
	return nil
}

// Append adds an entry to the log. It is accepted once Synced returns its ID.
func (a *Acceptor) Append(r batch.Result) error {
	if err := a.CanAppend(); err != nil {
		return err
	}
	if len(r.Text) > maxEntryBytes || a.bytes+len(r.Text) > maxPendingBytes {
		return &RefusedError{Cause: fmt.Sprintf("a submission of %d encoded bytes, with %d that wait for the store", len(r.Text), a.bytes)}
	}
	a.log = append(a.log, logEntry{result: r})
	a.bytes += len(r.Text)
	return nil
}

// Unsynced returns what is to be appended to the replicas: all entries after the first stored
// ones. Enough replicas have those before position from.
func (a *Acceptor) Unsynced() (from, stored int, entries []batch.Result) {
	for _, e := range a.log {
		entries = append(entries, e.result)
	}
	return a.stored + a.synced, a.stored, entries
}

// Synced records that enough replicas have all entries before a position, and returns the IDs
// that are accepted by that.
func (a *Acceptor) Synced(to int) (ids []string) {
	for ; a.synced < len(a.log) && a.stored+a.synced < to; a.synced++ {
		ids = append(ids, a.log[a.synced].result.ID)
	}
	return ids
}

// NextToStore returns the ID of the first entry that the store lacks.
func (a *Acceptor) NextToStore() (id string, ok bool) {
	for _, e := range a.log {
		if !e.inStore {
			return e.result.ID, true
		}
	}
	return "", false
}

// MarkStored records that the store has the batch of an entry.
func (a *Acceptor) MarkStored(id string) {
	for i := range a.log {
		if a.log[i].result.ID == id {
			a.log[i].inStore = true
		}
	}
}

// Pending returns the number of entries that the store lacks by the record.
func (a *Acceptor) Pending() int { return len(a.log) }

// StoredCount returns the number of log entries up to the first that the store lacks: what
// the record may say.
func (a *Acceptor) StoredCount() int {
	n := 0
	for n < len(a.log) && a.log[n].inStore {
		n++
	}
	return a.stored + n
}

// BeginMove records that a write of the record that changes the replicas is sent, and reports
// whether it may be: only with an empty log. Until the write is answered, either list of
// replicas may be the one that a successor seals, so that nothing can be appended.
func (a *Acceptor) BeginMove() bool {
	if len(a.log) > 0 {
		return false
	}
	a.isMoving = true
	return true
}

// Saved records what the record says by the answer to a write of it. Until then, appends
// carry all entries from the earlier count on, since a successor may find either. It returns
// the IDs of the entries that the record now counts.
func (a *Acceptor) Saved(stored int, replicas []batch.Replica) (ids []string) {
	done := min(max(0, stored-a.stored), len(a.log))
	for _, e := range a.log[:done] {
		a.bytes -= len(e.result.Text)
		ids = append(ids, e.result.ID)
	}
	a.log = slices.Clone(a.log[done:])
	a.stored, a.synced = max(a.stored, stored), max(0, a.synced-done)
	a.replicas, a.isMoving = replicas, false
	return ids
}
