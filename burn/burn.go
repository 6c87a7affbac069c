// Package burn works out how fast an objective's error budget is being spent.
// Time is an argument; nothing here runs by itself.
//
// One window alone alarms badly: a short one for each hiccup, a long one hours
// late and hours after the end. So a burn counts only when a long window says
// that it matters and a short one, a twelfth of it, that it still goes on.
package burn

import (
	"slices"
	"time"

	"github.com/lavendermux/lavendermux/blame"
	"github.com/lavendermux/lavendermux/bucket"
	"github.com/lavendermux/lavendermux/goal"
)

const (
	// minutesKept cover the long window and the minute that is not over.
	minutesKept = 61
	// maxBlames bounds the blames of a report.
	maxBlames = 8
)

// Series is what has been counted for one objective.
type Series struct {
	// Policy is the resource that declares the objective.
	Policy string `json:"policy"`
	// Objective as declared, with its defaults.
	Objective goal.Objective `json:"objective"`
	// Since is when counting began, in UTC.
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
	return &Series{Policy: policy, Objective: o.Filled(), Since: now.UTC().Truncate(time.Minute)}
}

// Add counts events at a time. Times go forward; one from before the newest
// bucket counts into that.
func (s *Series) Add(now time.Time, good int64, bad blame.Blame) {
	now = now.UTC()
	s.Minutes = add(s.Minutes, now.Truncate(time.Minute), good, bad)
	s.Hours = add(s.Hours, now.Truncate(time.Hour), good, bad)
	s.trim(now)
}

// Merge counts what another entry's series of the same objective holds.
func (s *Series) Merge(other Series) {
	s.Minutes = merge(s.Minutes, other.Minutes)
	s.Hours = merge(s.Hours, other.Hours)
	if other.Since.Before(s.Since) {
		s.Since = other.Since
	}
}

// Clone returns a copy that shares nothing with s.
func (s *Series) Clone() Series {
	c := *s
	c.Minutes = merge(nil, s.Minutes)
	c.Hours = merge(nil, s.Hours)
	return c
}

// trim drops what no window reaches any more.
func (s *Series) trim(now time.Time) {
	s.Minutes = after(s.Minutes, now.Truncate(time.Minute).Add(-minutesKept*time.Minute))
	s.Hours = after(s.Hours, s.windowStart(now))
}

// windowStart is the start of the first hour that the objective's window holds
// in part.
func (s *Series) windowStart(now time.Time) time.Time {
	return now.UTC().Add(-s.Objective.Window.Std()).Truncate(time.Hour)
}

func add(all []bucket.Bucket, start time.Time, good int64, bad blame.Blame) []bucket.Bucket {
	if n := len(all); n == 0 || all[n-1].Start.Before(start) {
		all = append(all, bucket.Bucket{Start: start})
	}
	all[len(all)-1].Add(good, bad)
	return all
}

// after returns the buckets that start at or after a time.
func after(all []bucket.Bucket, start time.Time) []bucket.Bucket {
	return all[first(all, start):]
}

func first(all []bucket.Bucket, start time.Time) int {
	i, _ := slices.BinarySearchFunc(all, start, func(b bucket.Bucket, t time.Time) int {
		return b.Start.Compare(t)
	})
	return i
}

// merge returns the sums of both, in order, and shares nothing with either.
func merge(a, b []bucket.Bucket) []bucket.Bucket {
	var out []bucket.Bucket
	for len(a) > 0 || len(b) > 0 {
		switch {
		case len(b) == 0 || len(a) > 0 && a[0].Start.Before(b[0].Start):
			out, a = append(out, a[0].Clone()), a[1:]
		case len(a) == 0 || b[0].Start.Before(a[0].Start):
			out, b = append(out, b[0].Clone()), b[1:]
		default:
			both := a[0].Clone()
			both.Merge(b[0])
			out, a, b = append(out, both), a[1:], b[1:]
		}
	}
	return out
}
