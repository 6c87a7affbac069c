// Package score counts what callers got out of a play of load.
package score

import (
	"strings"
	"time"

	"github.com/lavendermux/lavendermux/stat"
)

// window is the grain in which recovery is looked for.
const window = time.Second

// Score is what callers got. The zero Score is not ready: use New.
type Score struct {
	// Offered counts the requests, Good those answered within their deadline,
	// Refused those told that they were not run, Late the others.
	Offered, Good, Refused, Late int
	// LiveOffered and LiveGood count live work alone.
	LiveOffered, LiveGood int
	// LongOffered and LongGood count long live work.
	LongOffered, LongGood int
	// GoodTokens are those of answers in time, Made all that were generated,
	// both while the load lasted.
	GoodTokens, Made int64
	// Copies counts everything that was sent to a door for the requests that are
	// scored, retries included.
	Copies int
	// Short holds the seconds that each short live request took to its good
	// answer; Refusal the share of its time that each refused request had waited; Affinity 1 for each piece
	// of work that found its prefix in the cache, 0 for the others.
	Short, Refusal, Affinity stat.Series
	// Asked counts the callers that came back when they were told to, Kept
	// those of them that were let in then.
	Asked, Kept int
	// Doubled counts work that may not be repeated and ran twice.
	Doubled int
	// Busy is the tokens made by each door.
	Busy []int64

	callers map[string]*count
	windows []count
}

type count struct {
	offered, good int
}

// New returns an empty score of a play with so many doors.
func New(doors int) *Score {
	return &Score{callers: map[string]*count{}, Busy: make([]int64, doors)}
}

// Offer counts a request at the time of its arrival since the start.
func (s *Score) Offer(caller string, live bool, at time.Duration) {
	s.Offered++
	if live {
		s.LiveOffered++
	}
	s.caller(caller).offered++
	s.window(at).offered++
}

// Gain counts a good answer to a request that arrived at the given time.
func (s *Score) Gain(caller string, live bool, at time.Duration) {
	s.Good++
	if live {
		s.LiveGood++
	}
	s.caller(caller).good++
	s.window(at).good++
}

// Worst returns the share of its requests that the worst served caller got
// answered in time.
func (s *Score) Worst() float64 {
	worst := 1.0
	for _, c := range s.callers {
		worst = min(worst, float64(c.good)/float64(max(c.offered, 1)))
	}
	return worst
}

// Share returns the share answered in time of the requests of all callers whose
// name begins with the prefix.
func (s *Score) Share(prefix string) float64 {
	var sum count
	for name, c := range s.callers {
		if strings.HasPrefix(name, prefix) {
			sum.offered += c.offered
			sum.good += c.good
		}
	}
	return float64(sum.good) / float64(max(sum.offered, 1))
}

// Recovery returns how long after the given time the first five seconds begin
// in which as large a share was answered in time as before the time from.
func (s *Score) Recovery(from, after time.Duration) time.Duration {
	const span = 5
	usual := share(s.windows[:int(from/window)])
	for i := int(after / window); i+span <= len(s.windows); i++ {
		if share(s.windows[i:i+span]) >= usual*0.98 {
			return time.Duration(i)*window - after
		}
	}
	return time.Duration(len(s.windows))*window - after
}

func share(windows []count) float64 {
	var sum count
	for _, w := range windows {
		sum.offered += w.offered
		sum.good += w.good
	}
	return float64(sum.good) / float64(max(sum.offered, 1))
}

func (s *Score) caller(name string) *count {
	c, ok := s.callers[name]
	if !ok {
		c = &count{}
		s.callers[name] = c
	}
	return c
}

func (s *Score) window(at time.Duration) *count {
	i := int(at / window)
	for len(s.windows) <= i {
		s.windows = append(s.windows, count{})
	}
	return &s.windows[i]
}
