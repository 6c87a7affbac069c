// Package inforc works out on how many instances a revision of the
// configuration is in force, from the digests that the hubs of the data centres
// exchange.
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
	// silentAfter is how old a data centre's digest may be. Instances beat every
	// three seconds and hubs of different data centres likewise, so ten seconds
	// are three beats missed.
	silentAfter = 10 * time.Second
	// maxSteps bounds how many revisions are remembered with their time. At
	// 1,800 changes a day 256 reach back over three hours.
	maxSteps = 256
	// maxLagging bounds the names in a report.
	maxLagging = 16
)

type (
	// Tracker remembers since when revisions have been in force everywhere; safe
	// for concurrent use. The zero Tracker remembers nothing and is ready.
	Tracker struct {
		mu sync.Mutex
		// steps are the revisions that have come to be in force everywhere, in
		// order, each with the time at which this was first seen.
		steps []step
	}

	step struct {
		revision int64
		at       time.Time
	}
)

// Report says how far a revision has got. Since is when the tracker first saw it
// in force everywhere, so it is exact to the time between two calls.
//
//	var t inforc.Tracker
//	r := t.Report(digests, 42, time.Now())
func (t *Tracker) Report(digests []*wire.DataCentreDigest, revision int64, now time.Time) spread.Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := sum(digests, revision, now)
	t.observe(digests, now)
	if r.Everywhere() {
		r.Since = t.since(revision)
	}
	return r
}

// observe notes the least revision of any instance. When it falls, as for an
// instance that joins with an old configuration, what was in force everywhere is
// so no longer.
func (t *Tracker) observe(digests []*wire.DataCentreDigest, now time.Time) {
	least := leastOf(digests)
	if least == math.MaxInt64 {
		return
	}
	t.steps = slices.DeleteFunc(t.steps, func(s step) bool { return s.revision > least })
	if n := len(t.steps); n == 0 || t.steps[n-1].revision < least {
		t.steps = append(t.steps, step{revision: least, at: now.UTC()})
	}
	if extra := len(t.steps) - maxSteps; extra > 0 {
		t.steps = slices.Delete(t.steps, 0, extra)
	}
}

// since returns when revision was first seen in force everywhere; zero when it
// was so already at the first look.
func (t *Tracker) since(revision int64) time.Time {
	i := slices.IndexFunc(t.steps, func(s step) bool { return s.revision >= revision })
	if i <= 0 {
		return time.Time{}
	}
	return t.steps[i].at
}

func sum(digests []*wire.DataCentreDigest, revision int64, now time.Time) spread.Report {
	r := spread.Report{Lagging: []string{}}
	for _, d := range digests {
		asOf := time.UnixMilli(d.GetAsOfUnixMs()).UTC()
		if r.AsOf.IsZero() || asOf.Before(r.AsOf) {
			r.AsOf = asOf
		}
		if now.Sub(asOf) > silentAfter {
			r.Silent = append(r.Silent, d.GetDataCentre())
		}
		for _, c := range d.GetCounts() {
			r.Of += int(c.GetInstances())
			if c.GetRevision() >= revision {
				r.Instances += int(c.GetInstances())
				continue
			}
			r.Lagging = append(r.Lagging, c.GetExamples()...)
		}
	}
	slices.Sort(r.Lagging)
	r.Lagging = r.Lagging[:min(len(r.Lagging), maxLagging)]
	slices.Sort(r.Silent)
	return r
}

func leastOf(digests []*wire.DataCentreDigest) int64 {
	least := int64(math.MaxInt64)
	for _, d := range digests {
		for _, c := range d.GetCounts() {
			least = min(least, c.GetRevision())
		}
	}
	return least
}
