// Package inforc tracks how many instances have applied a revision of the
// configuration, from the digests that the hubs of the data centres exchange.
package inforc

import (
	"math"
	"slices"
	"sync"
	"time"

	"github.com/lavendermux/lavendermux/spread"
	"github.com/lavendermux/lavendermux/wire"
)

const (
	// staleAfter is the maximum age of a data centre's digest. Instances, and hubs of
	// different data centres, send heartbeats every three seconds, so ten seconds are
	// three missed heartbeats.
	staleAfter = 10 * time.Second
	// maxRevisions bounds the revisions that are remembered with their time. At 1,800
	// changes a day 256 of them cover more than three hours.
	maxRevisions = 256
	// maxLaggingNames bounds the names in a report.
	maxLaggingNames = 16
)

type (
	// Tracker records since when revisions have been applied on all instances. It is
	// safe for concurrent use. The zero Tracker is empty and ready to use.
	Tracker struct {
		mu sync.Mutex
		// applied lists the revisions that became applied on all instances, in
		// ascending order, each with the time at which this was first observed.
		applied []appliedRevision
	}

	appliedRevision struct {
		revision int64
		seenAt   time.Time
	}
)

// Report returns the propagation of a revision. Its Since is when the tracker first
// observed the revision on all instances, so its accuracy is the interval between calls.
//
//	var t inforc.Tracker
//	r := t.Report(digests, 42, time.Now())
func (t *Tracker) Report(digests []*wire.DataCentreDigest, revision int64, now time.Time) spread.Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := summarize(digests, revision, now)
	t.observe(digests, now)
	if r.Complete() {
		r.Since = t.since(revision)
	}
	return r
}

// observe records the lowest revision of all instances. When it decreases, because an
// instance joins with an old configuration, higher revisions are no longer applied on
// all instances.
func (t *Tracker) observe(digests []*wire.DataCentreDigest, now time.Time) {
	lowest := minRevision(digests)
	if lowest == math.MaxInt64 {
		return
	}
	t.applied = slices.DeleteFunc(t.applied, func(a appliedRevision) bool { return a.revision > lowest })
	if n := len(t.applied); n == 0 || t.applied[n-1].revision < lowest {
		t.applied = append(t.applied, appliedRevision{revision: lowest, seenAt: now.UTC()})
	}
	if excess := len(t.applied) - maxRevisions; excess > 0 {
		t.applied = slices.Delete(t.applied, 0, excess)
	}
}

// since returns when revision was first observed on all instances; zero if that was so
// at the first observation already.
func (t *Tracker) since(revision int64) time.Time {
	i := slices.IndexFunc(t.applied, func(a appliedRevision) bool { return a.revision >= revision })
	if i <= 0 {
		return time.Time{}
	}
	return t.applied[i].seenAt
}

func summarize(digests []*wire.DataCentreDigest, revision int64, now time.Time) spread.Report {
	r := spread.Report{Lagging: []string{}}
	for _, d := range digests {
		asOf := time.UnixMilli(d.GetAsOfUnixMs()).UTC()
		if r.AsOf.IsZero() || asOf.Before(r.AsOf) {
			r.AsOf = asOf
		}
		if now.Sub(asOf) > staleAfter {
			r.Stale = append(r.Stale, d.GetDataCentre())
		}
		for _, c := range d.GetCounts() {
			r.Total += int(c.GetInstances())
			if c.GetRevision() >= revision {
				r.Instances += int(c.GetInstances())
				continue
			}
			r.Lagging = append(r.Lagging, c.GetExamples()...)
		}
	}
	slices.Sort(r.Lagging)
	r.Lagging = r.Lagging[:min(len(r.Lagging), maxLaggingNames)]
	slices.Sort(r.Stale)
	return r
}

func minRevision(digests []*wire.DataCentreDigest) int64 {
	lowest := int64(math.MaxInt64)
	for _, d := range digests {
		for _, c := range d.GetCounts() {
			lowest = min(lowest, c.GetRevision())
		}
	}
	return lowest
}
