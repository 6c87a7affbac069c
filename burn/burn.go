// Package burn computes the burn rates of error budgets with multi-window alerts. The
// time is passed as an argument; the package starts no goroutines.
//
// One window alone makes poor alerts: a short one fires for each short fault, a long one
// fires hours late and stays on for hours after the end. A budget is therefore burning
// only if both a long window shows that it is significant and a short one, a twelfth of
// it, that it still goes on.
package burn

import (
	"slices"
	"time"

	"github.com/lavendermux/lavendermux/blame"
	"github.com/lavendermux/lavendermux/bucket"
	"github.com/lavendermux/lavendermux/goal"
)

const (
	// keptMinutes covers the long window and the current minute.
	keptMinutes = 61
	// maxBlames bounds the blames in a budget.
	maxBlames = 8
)

// Series is the time series of the events of one objective.
type Series struct {
	// Policy is the name of the resource that declares the objective.
	Policy string `json:"policy"`
	// Objective is the declared objective with defaults applied.
	Objective goal.Objective `json:"objective"`
	// Since is the start of counting, in UTC.
	Since time.Time `json:"since"`
	// Minutes are the buckets of the last hour, in order, without empty ones.
	Minutes []bucket.Bucket `json:"minutes"`
	// Hours are the buckets of the objective's window, in order, without empty
	// ones.
	Hours []bucket.Bucket `json:"hours"`
}

// New returns an empty series.
//
//	s := burn.New("default", objective, time.Now())
//	s.Add(time.Now(), 1, blame.Blame{})
func New(policy string, o goal.Objective, now time.Time) *Series {
	return &Series{Policy: policy, Objective: o.WithDefaults(), Since: now.UTC().Truncate(time.Minute)}
}

// Add counts events at now. Times must not decrease: an event from before the newest
// bucket is counted in that bucket.
func (s *Series) Add(now time.Time, good int64, bad blame.Blame) {
	now = now.UTC()
	s.Minutes = addEvents(s.Minutes, now.Truncate(time.Minute), good, bad)
	s.Hours = addEvents(s.Hours, now.Truncate(time.Hour), good, bad)
	s.trim(now)
}

// Merge adds another entry's series of the same objective.
func (s *Series) Merge(other Series) {
	s.Minutes = mergeBuckets(s.Minutes, other.Minutes)
	s.Hours = mergeBuckets(s.Hours, other.Hours)
	if other.Since.Before(s.Since) {
		s.Since = other.Since
	}
}

// Clone returns a deep copy.
func (s *Series) Clone() Series {
	c := *s
	c.Minutes = mergeBuckets(nil, s.Minutes)
	c.Hours = mergeBuckets(nil, s.Hours)
	return c
}

// trim drops the buckets that are older than all windows.
func (s *Series) trim(now time.Time) {
	s.Minutes = bucketsFrom(s.Minutes, now.Truncate(time.Minute).Add(-keptMinutes*time.Minute))
	s.Hours = bucketsFrom(s.Hours, s.windowStart(now))
}

// windowStart returns the start of the first hour that is at least partly in the
// objective's window.
func (s *Series) windowStart(now time.Time) time.Time {
	return now.UTC().Add(-s.Objective.Window.Std()).Truncate(time.Hour)
}

func addEvents(all []bucket.Bucket, start time.Time, good int64, bad blame.Blame) []bucket.Bucket {
	if n := len(all); n == 0 || all[n-1].Start.Before(start) {
		all = append(all, bucket.Bucket{Start: start})
	}
	all[len(all)-1].Add(good, bad)
	return all
}

// bucketsFrom returns the buckets that start at or after start.
func bucketsFrom(all []bucket.Bucket, start time.Time) []bucket.Bucket {
	return all[firstIndex(all, start):]
}

func firstIndex(all []bucket.Bucket, start time.Time) int {
	i, _ := slices.BinarySearchFunc(all, start, func(b bucket.Bucket, t time.Time) int {
		return b.Start.Compare(t)
	})
	return i
}

// mergeBuckets returns the sums of a and b by start, in order, as deep copies.
func mergeBuckets(a, b []bucket.Bucket) []bucket.Bucket {
	var out []bucket.Bucket
	for len(a) > 0 || len(b) > 0 {
		switch {
		case len(b) == 0 || len(a) > 0 && a[0].Start.Before(b[0].Start):
			out, a = append(out, a[0].Clone()), a[1:]
		case len(a) == 0 || b[0].Start.Before(a[0].Start):
			out, b = append(out, b[0].Clone()), b[1:]
		default:
			sum := a[0].Clone()
			sum.Merge(b[0])
			out, a, b = append(out, sum), a[1:], b[1:]
		}
	}
	return out
}
