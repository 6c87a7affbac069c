// Package poison decides which requests are held back since endpoints end under them.
//
// The load it answers: a request crashes each endpoint that runs it, and its caller sends
// it again at any entry. Retries and ejection spend endpoints on it, as they look at where
// a request failed and never at which one: a service of three is down within 200 ms, and
// again each time that it is back. Here crashes are counted by request. One under which
// three boots of endpoints have ended is held back, for a time that doubles with each
// further one.
//
// What runs beside such a request at the moment of a crash is suspected with it. An answer
// clears a request, and one that was answered a moment ago isn't suspected while another
// explains the crash. Requests with two strikes don't run together, so that the third tells
// which of them it was; where it doesn't, they are held back for a moment only, and the
// next strike of one lets the other through. Strikes are a set of request and boot, so that
// instances that tell each other agree whatever the order, and two that see one crash count
// it once.
//
// The package has no clock and no network.
package poison

import (
	"fmt"
	"time"

	"github.com/lavendermux/lavendermux/finger"
	"github.com/lavendermux/lavendermux/recent"
	"github.com/lavendermux/lavendermux/strike"
)

const (
	// Limit is the boots that end under a request before it is held back.
	Limit = 3

	// alone is the strikes from which on a request runs beside no other one that has as many.
	alone = Limit - 1

	// defaultHold is how long a request is held back once it has reached the limit.
	defaultHold = 10 * time.Minute
	// tieHold is the same where another request has the same strikes. The first that is tried
	// again tells which of them ends endpoints.
	tieHold = 5 * time.Second
	// defaultMemory is how long a crash counts, and how long a request that was held back
	// is watched: until then one more crash holds it back again.
	defaultMemory = 10 * time.Minute
	// defaultMost bounds the requests that are remembered. With the answered ones a full
	// table takes 1.6 MB.
	defaultMost = 512
	// strikesMost bounds the boots remembered of one request, and with them the time for
	// which it is held back: 32 times the first one.
	strikesMost = Limit + 5
	// turnTime is how long one instance may try a request again: a few times what it takes for
	// all others to hear of a crash.
	turnTime = time.Second
	// brokenFor is how long after its connections broke an endpoint may be found to have
	// ended by that: its entry lapses after three heartbeats.
	brokenFor = 8 * time.Second
	// together is how far apart the connections break that one crash breaks.
	together = time.Second
	// trialPause is told to the caller of a suspect while another copy of it runs.
	trialPause = 300 * time.Millisecond
)

const (
	// none says that no other request has all strikes of one, tied that another has the same,
	// and elsewhere that another has all of them and more.
	none explanation = iota
	tied
	elsewhere
)

type (
	// Table is what one instance knows; not safe for concurrent use. See New.
	Table struct {
		hold, memory time.Duration
		most         int
		// turn says when this instance may try a request again that is no longer held back.
		turn func(finger.Print) (slot, of int)

		suspects map[finger.Print]*suspect
		answered *recent.Set[finger.Print]
		// running counts the sends under way by boot, copies those of each request.
		running map[string]map[finger.Print]int
		copies  map[finger.Print]int
		// broken has the boots at which connections broke a moment ago.
		broken map[string]*crash
		// digest sums up all strikes.
		digest uint64
	}

	// Option changes a Table as New makes it.
	Option func(*Table)

	// HeldError says that a request is not sent.
	HeldError struct {
		Print finger.Print
		// Strikes are the boots that ended under the request.
		Strikes int
		// RetryAfter is when it may be tried again.
		RetryAfter time.Duration
	}

	// explanation is what another request says about the strikes of one.
	explanation int

	// suspect is a request under which endpoints ended.
	suspect struct {
		strikes map[string]*struck
		// n is how many of the strikes count, last when the latest of these was.
		n    int
		last time.Time
	}

	// struck is a boot that ended under a request.
	struck struct {
		at time.Time
		// cleared strikes don't count, and stay so.
		cleared bool
	}

	// crash is a boot at which connections broke.
	crash struct {
		// prints has when the last connection of each request broke, last the latest.
		prints map[finger.Print]time.Time
		last   time.Time
		// ended is set once the boot is known to have ended; prints were judged then.
		ended bool
	}
)

// Error names the request and says why it isn't sent.
func (e *HeldError) Error() string {
	if e.Strikes < Limit {
		return fmt.Sprintf("request %s ended %d endpoints and is being tried", e.Print, e.Strikes)
	}
	return fmt.Sprintf("request %s is held back: %d endpoints ended under it", e.Print, e.Strikes)
}

// New returns a table that knows of no request.
//
//	t := poison.New(poison.WithHold(time.Minute))
//	err := t.Begin(print, boot, now)
func New(opts ...Option) *Table {
	t := &Table{
		hold:     defaultHold,
		memory:   defaultMemory,
		most:     defaultMost,
		turn:     func(finger.Print) (slot, of int) { return 0, 1 },
		suspects: make(map[finger.Print]*suspect),
		answered: recent.New[finger.Print](),
		running:  make(map[string]map[finger.Print]int),
		copies:   make(map[finger.Print]int),
		broken:   make(map[string]*crash),
	}
	for _, opt := range opts {
		opt(t)
	}
	return t
}

// WithHold sets how long a request is held back at first. The default is 10 minutes.
func WithHold(d time.Duration) Option {
	return func(t *Table) { t.hold = d }
}

// WithMemory sets how long a crash counts. The default is 10 minutes.
func WithMemory(d time.Duration) Option {
	return func(t *Table) { t.memory = d }
}

// WithMost bounds the requests that are remembered. The default is 512.
func WithMost(n int) Option {
	return func(t *Table) { t.most = n }
}

// WithTurns has instances take turns at trying a request again, so that the copies that
// reach many of them in one moment don't all go to endpoints. slot is that of this instance,
// from 0 to of-1. By default all turns are this instance's.
func WithTurns(f func(finger.Print) (slot, of int)) Option {
	return func(t *Table) { t.turn = f }
}

// Held returns a *HeldError if a request must not be sent now.
func (t *Table) Held(p finger.Print, now time.Time) error {
	s, ok := t.suspects[p]
	if !ok {
		return nil
	}
	n := s.n
	if n == 0 {
		return nil
	}
	if wait := t.wait(p, s, now); wait > 0 {
		return &HeldError{Print: p, Strikes: n, RetryAfter: wait}
	}
	if t.copies[p] > 0 {
		// Of a suspect one copy runs at a time, or as many endpoints end at once as it
		// has copies under way.
		return &HeldError{Print: p, Strikes: n, RetryAfter: trialPause}
	}
	return nil
}

// wait is how long a suspect waits for its hold to end, and for this instance's turn after
// that.
func (t *Table) wait(p finger.Print, s *suspect, now time.Time) time.Duration {
	if s.n < Limit {
		return 0
	}
	hold := t.holdTime(s.n)
	switch t.explanation(p, s) {
	case elsewhere:
		return 0
	case tied:
		hold = tieHold
	case none:
	}
	past := now.Sub(s.last.Add(hold))
	if past < 0 {
		return -past
	}
	slot, of := t.turn(p)
	turn := int(past / turnTime)
	for whose(turn, of) != slot {
		turn++
	}
	return time.Duration(turn)*turnTime - past
}

// whose returns the slot whose turn it is. The order shifts with each round, or a caller
// that comes back at the pace of the turns would always meet instances whose turn it isn't.
func whose(turn, of int) int { return (turn + turn/of) % of }

// explanation compares the strikes of a request with those of all others at the limit.
func (t *Table) explanation(p finger.Print, s *suspect) explanation {
	found := none
	if s.n < Limit {
		return found
	}
	for q, other := range t.suspects {
		if q == p || other.n < s.n || !other.covers(s) {
			continue
		}
		if other.n > s.n {
			return elsewhere
		}
		found = tied
	}
	return found
}

// holdTime is how long a request is held back after the last of n strikes.
func (t *Table) holdTime(n int) time.Duration {
	if n < Limit {
		return 0
	}
	return t.hold << (n - Limit)
}

// IsSuspect reports whether an endpoint has ended under a request that nothing cleared.
func (t *Table) IsSuspect(p finger.Print) bool { return t.Strikes(p) > 0 }

// Strikes counts the boots that ended under a request and aren't cleared.
func (t *Table) Strikes(p finger.Print) int {
	s, ok := t.suspects[p]
	if !ok {
		return 0
	}
	return s.n
}

// Begin counts a send of a request to a boot, unless it is held back: then it returns a
// *HeldError.
func (t *Table) Begin(p finger.Print, boot string, now time.Time) error {
	if err := t.Held(p, now); err != nil {
		return err
	}
	if n := t.Strikes(p); n >= alone && t.hasGrave(boot) {
		return &HeldError{Print: p, Strikes: n, RetryAfter: trialPause}
	}
	if t.running[boot] == nil {
		t.running[boot] = make(map[finger.Print]int)
	}
	t.running[boot][p]++
	t.copies[p]++
	return nil
}

// hasGrave reports whether a request with so many strikes runs at a boot that one more
// should not run beside it: the next crash would strike both.
func (t *Table) hasGrave(boot string) bool {
	for p := range t.running[boot] {
		if t.Strikes(p) >= alone {
			return true
		}
	}
	return false
}

// End counts a send that is over.
func (t *Table) End(p finger.Print, boot string) {
	if t.copies[p]--; t.copies[p] <= 0 {
		delete(t.copies, p)
	}
	if t.running[boot][p]--; t.running[boot][p] <= 0 {
		delete(t.running[boot], p)
	}
	if len(t.running[boot]) == 0 {
		delete(t.running, boot)
	}
}

// Running counts the sends under way at a boot.
func (t *Table) Running(boot string) int {
	n := 0
	for _, copies := range t.running[boot] {
		n += copies
	}
	return n
}

// Answered takes that an endpoint has run a request and lives. It returns how many strikes
// this clears.
func (t *Table) Answered(p finger.Print, now time.Time) int {
	t.answered.Add(p, now)
	return t.Clear(p)
}

// Clear has all strikes of a request count no more, and returns how many there were.
func (t *Table) Clear(p finger.Print) int {
	s, ok := t.suspects[p]
	if !ok {
		return 0
	}
	n := s.n
	for boot := range s.strikes {
		t.clear(p, s, boot)
	}
	return n
}

// Broke takes that the connection of a send broke before its answer was whole. It returns
// whether the request is struck for it, which it is only if the boot is known to have ended.
func (t *Table) Broke(p finger.Print, boot string, now time.Time) bool {
	c, ok := t.broken[boot]
	if !ok {
		c = &crash{prints: make(map[finger.Print]time.Time)}
		t.broken[boot] = c
	}
	_, isJudged := c.prints[p]
	c.prints[p], c.last = now, now
	if !c.ended || isJudged || t.answered.Has(p, now) {
		return false
	}
	return t.strike(p, boot, now)
}

// Ended takes that a boot has ended while requests ran there, and returns those that are
// struck for it. A boot whose connections didn't break a moment ago strikes none.
func (t *Table) Ended(boot string, now time.Time) []finger.Print {
	c, ok := t.broken[boot]
	if !ok || c.ended {
		return nil
	}
	c.ended = true
	for p := range t.running[boot] {
		c.prints[p] = now
	}
	var struck []finger.Print
	for _, p := range t.guilty(c, now) {
		if t.strike(p, boot, now) {
			struck = append(struck, p)
		}
	}
	return struck
}

// guilty returns the requests that may explain a crash: those whose connections broke
// together, without the ones that were answered a moment ago unless there are no others.
func (t *Table) guilty(c *crash, now time.Time) []finger.Print {
	var all, unproven []finger.Print
	for p, at := range c.prints {
		if c.last.Sub(at) > together {
			continue
		}
		all = append(all, p)
		if !t.answered.Has(p, now) {
			unproven = append(unproven, p)
		}
	}
	if len(unproven) > 0 {
		return unproven
	}
	return all
}

// Leaves takes that a boot leaves as planned: what broke off there, or will, is no crash.
func (t *Table) Leaves(boot string) { delete(t.broken, boot) }

// Broken returns the boots whose connections broke a moment ago and that aren't known to
// have ended.
func (t *Table) Broken() []string {
	var out []string
	for boot, c := range t.broken {
		if !c.ended {
			out = append(out, boot)
		}
	}
	return out
}

// Merge takes what another instance knows. It returns what was new here.
func (t *Table) Merge(records []strike.Record, now time.Time) []strike.Record {
	var news []strike.Record
	for _, r := range records {
		if t.take(r, now) {
			news = append(news, r)
		}
	}
	return news
}

// Sweep forgets what is over.
func (t *Table) Sweep(now time.Time) {
	for boot, c := range t.broken {
		if now.Sub(c.last) > brokenFor {
			delete(t.broken, boot)
		}
	}
	for p, s := range t.suspects {
		isWatched := s.n >= Limit && now.Sub(s.last) <= 2*t.holdTime(s.n)+t.memory
		for boot, st := range s.strikes {
			if !isWatched && now.Sub(st.at) > t.memory {
				t.drop(p, boot)
			}
		}
	}
}
