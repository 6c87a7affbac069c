// Package poison decides which requests are quarantined because endpoints crash while
// running them.
//
// A poison request crashes every endpoint that runs it, and its caller keeps resending it
// to any instance. Retries and ejection make this worse, since they consider where a
// request failed and not which request it was: a service of three endpoints is down within
// 200 ms, and again each time it recovers. This package therefore counts crashes per
// request. A request under which three incarnations of endpoints have crashed is
// quarantined, for a time that doubles with each further crash.
//
// Deferred work, such as items of batches and their scoring calls, is owed to whoever handed it
// in. It gets no strikes and is never quarantined, so that it runs again as soon as an endpoint
// is free. While it runs beside a request it may still explain a crash as any other request does.
//
// Requests in flight beside a poison request when it causes a crash become suspects too. An
// answer clears a request, and a recently answered request is not suspected while another
// one explains the crash. Two requests with two strikes each never run at the same
// endpoint, so the third strike tells which of them is the cause. Where it doesn't, they
// are quarantined only briefly, and the next strike against one of them releases the other.
// Strikes are a set of pairs of request and incarnation, so instances that exchange them
// agree in whatever order they arrive, and a crash seen by two instances counts once.
//
// The package has no clock and no network.
package poison

import (
	"fmt"
	"time"

	"github.com/lavendermux/lavendermux/recent"
	"github.com/lavendermux/lavendermux/reqfp"
	"github.com/lavendermux/lavendermux/strike"
)

const (
	// StrikeLimit is how many incarnations must crash under a request before it is quarantined.
	StrikeLimit = 3

	// isolationStrikes is the number of strikes from which on a request shares no endpoint
	// with another request that has as many.
	isolationStrikes = StrikeLimit - 1

	// defaultQuarantine is how long a request is quarantined when it reaches the limit.
	defaultQuarantine = 10 * time.Minute
	// tieQuarantine replaces it where another request has the same strikes. The first of
	// them to be retried shows which one crashes endpoints.
	tieQuarantine = 5 * time.Second
	// defaultStrikeTTL is how long a strike counts, and how long a request stays on watch
	// after its quarantine: until then one more crash quarantines it again.
	defaultStrikeTTL = 10 * time.Minute
	// defaultMaxRequests bounds the requests that have strikes on record. A full table,
	// including the recently answered requests, takes 1.6 MB.
	defaultMaxRequests = 512
	// maxStrikes bounds the strikes kept per request, and with them its quarantine, to 32
	// times the first one.
	maxStrikes = StrikeLimit + 5
	// retryTurnTime is how long the turn of one instance to retry a request lasts: a few
	// times what all others need to hear of a crash.
	retryTurnTime = time.Second
	// disconnectWindow is how long after its connections broke an endpoint may be found to
	// have crashed then: its registration expires after three heartbeats.
	disconnectWindow = 8 * time.Second
	// crashWindow is the longest time between two disconnects that one crash causes.
	crashWindow = time.Second
	// trialRetryAfter is the retry delay sent to callers of a suspect that is already in
	// flight or may not join another suspect.
	trialRetryAfter = 300 * time.Millisecond
)

const (
	// unexplained: no other request has all strikes of this one. ambiguous: another request
	// has the same strikes. explainedByOther: another request has all of them and more.
	unexplained explanation = iota
	ambiguous
	explainedByOther
)

type (
	// Table holds the strikes known to one instance; not safe for concurrent use. See New.
	Table struct {
		quarantine, strikeTTL time.Duration
		maxRequests           int
		// retryTurn returns which slot this instance has among those that take turns at
		// retrying a request after its quarantine.
		retryTurn func(reqfp.Fingerprint) (slot, slots int)

		suspects map[reqfp.Fingerprint]*suspect
		answered *recent.Set[reqfp.Fingerprint]
		// inFlight counts sends by incarnation, inFlightTotal by request, without deferred work.
		inFlight      map[string]map[send]int
		inFlightTotal map[reqfp.Fingerprint]int
		// disconnects has the recent disconnects, by incarnation.
		disconnects map[string]*disconnect
		// digest is a hash of all strikes, independent of their order.
		digest uint64
	}

	// Option configures a [Table]; see New.
	Option func(*Table)

	// QuarantineError is returned for a request that must not be sent now: it is quarantined, or
	// a suspect that has to wait for another send.
	QuarantineError struct {
		Fingerprint reqfp.Fingerprint
		// Strikes is the number of incarnations that crashed under the request.
		Strikes int
		// RetryAfter is the time until the request may be retried.
		RetryAfter time.Duration
	}

	// send is what is sent to an endpoint: a request, or deferred work, which may be equal to one.
	send struct {
		fingerprint reqfp.Fingerprint
		deferred    bool
	}

	// explanation tells whether another request accounts for the strikes of a suspect.
	explanation int

	// suspect is a request under which endpoints crashed.
	suspect struct {
		strikes map[string]*strikeState
		// count is the number of strikes that aren't cleared, latest the time of the
		// latest of these.
		count  int
		latest time.Time
	}

	// strikeState is the state of one strike.
	strikeState struct {
		at time.Time
		// cleared strikes don't count, and are never reinstated.
		cleared bool
	}

	// disconnect records the broken connections of one incarnation.
	disconnect struct {
		// sends has when the last connection of each send broke, latest is the latest of these
		// times.
		sends  map[send]time.Time
		latest time.Time
		// exited is set once the incarnation is known to have exited. Its requests have
		// got their strikes by then.
		exited bool
	}
)

// Error names the request and why it isn't sent.
func (e *QuarantineError) Error() string {
	if e.Strikes < StrikeLimit {
		return fmt.Sprintf("request %s ended %d endpoints and is being tried", e.Fingerprint, e.Strikes)
	}
	return fmt.Sprintf("request %s is held back: %d endpoints ended under it", e.Fingerprint, e.Strikes)
}

// New returns a table without strikes.
//
//	t := poison.New()
//	err := t.Begin(fingerprint, incarnation, now)
func New(opts ...Option) *Table {
	t := &Table{
		quarantine:    defaultQuarantine,
		strikeTTL:     defaultStrikeTTL,
		maxRequests:   defaultMaxRequests,
		retryTurn:     func(reqfp.Fingerprint) (slot, slots int) { return 0, 1 },
		suspects:      make(map[reqfp.Fingerprint]*suspect),
		answered:      recent.New[reqfp.Fingerprint](),
		inFlight:      make(map[string]map[send]int),
		inFlightTotal: make(map[reqfp.Fingerprint]int),
		disconnects:   make(map[string]*disconnect),
	}
	for _, opt := range opts {
		opt(t)
	}
	return t
}

// WithQuarantineTime sets how long a request is quarantined at first. The default is 10 minutes.
func WithQuarantineTime(d time.Duration) Option {
	return func(t *Table) { t.quarantine = d }
}

// WithStrikeTTL sets how long a strike counts. The default is 10 minutes.
func WithStrikeTTL(d time.Duration) Option {
	return func(t *Table) { t.strikeTTL = d }
}

// WithMaxRequests bounds the requests that have strikes on record. The default is 512.
func WithMaxRequests(n int) Option {
	return func(t *Table) { t.maxRequests = n }
}

// WithRetryTurns makes instances take turns at retrying a request after its quarantine, so that
// copies arriving at many instances at the same moment aren't all sent to endpoints. f
// returns the slot of this instance, from 0 to slots-1. By default every turn belongs to
// this instance.
func WithRetryTurns(f func(reqfp.Fingerprint) (slot, slots int)) Option {
	return func(t *Table) { t.retryTurn = f }
}

// Check returns a [*QuarantineError] if a request must not be sent now.
func (t *Table) Check(fp reqfp.Fingerprint, now time.Time) error {
	s, ok := t.suspects[fp]
	if !ok {
		return nil
	}
	count := s.count
	if count == 0 {
		return nil
	}
	if retryAfter := t.retryAfter(fp, s, now); retryAfter > 0 {
		return &QuarantineError{Fingerprint: fp, Strikes: count, RetryAfter: retryAfter}
	}
	if t.inFlightTotal[fp] > 0 {
		// A suspect runs once at a time, or it would crash as many endpoints at once as it
		// has copies in flight.
		return &QuarantineError{Fingerprint: fp, Strikes: count, RetryAfter: trialRetryAfter}
	}
	return nil
}

// retryAfter returns the time until the quarantine of a suspect is over and it is this
// instance's turn.
func (t *Table) retryAfter(fp reqfp.Fingerprint, s *suspect, now time.Time) time.Duration {
	if s.count < StrikeLimit {
		return 0
	}
	quarantine := t.quarantineTime(s.count)
	switch t.explanation(fp, s) {
	case explainedByOther:
		return 0
	case ambiguous:
		quarantine = tieQuarantine
	case unexplained:
	}
	past := now.Sub(s.latest.Add(quarantine))
	if past < 0 {
		return -past
	}
	slot, slots := t.retryTurn(fp)
	retryTurn := int(past / retryTurnTime)
	for slotOfTurn(retryTurn, slots) != slot {
		retryTurn++
	}
	return time.Duration(retryTurn)*retryTurnTime - past
}

// slotOfTurn returns the slot that has a turn. The order shifts with each round: otherwise
// a caller that retries at the pace of the turns could meet only instances whose turn it
// isn't.
func slotOfTurn(turn, slots int) int { return (turn + turn/slots) % slots }

// explanation compares the strikes of a suspect with those of all other requests at the limit.
func (t *Table) explanation(fp reqfp.Fingerprint, s *suspect) explanation {
	found := unexplained
	if s.count < StrikeLimit {
		return found
	}
	for q, other := range t.suspects {
		if q == fp || other.count < s.count || !other.covers(s) {
			continue
		}
		if other.count > s.count {
			return explainedByOther
		}
		found = ambiguous
	}
	return found
}

// quarantineTime returns how long a request is quarantined after the last of n strikes.
func (t *Table) quarantineTime(n int) time.Duration {
	if n < StrikeLimit {
		return 0
	}
	return t.quarantine << (n - StrikeLimit)
}

// IsSuspect reports whether a request has strikes that aren't cleared.
func (t *Table) IsSuspect(fp reqfp.Fingerprint) bool { return t.Strikes(fp) > 0 }

// Strikes returns the number of incarnations that crashed under a request and aren't
// cleared.
func (t *Table) Strikes(fp reqfp.Fingerprint) int {
	s, ok := t.suspects[fp]
	if !ok {
		return 0
	}
	return s.count
}

// Begin counts a send of a request to an incarnation, or returns a [*QuarantineError] if it must
// not be sent now.
func (t *Table) Begin(fp reqfp.Fingerprint, incarnation string, now time.Time) error {
	if err := t.Check(fp, now); err != nil {
		return err
	}
	if n := t.Strikes(fp); n >= isolationStrikes && t.hasNearLimit(incarnation) {
		return &QuarantineError{Fingerprint: fp, Strikes: n, RetryAfter: trialRetryAfter}
	}
	t.begin(send{fingerprint: fp}, incarnation)
	t.inFlightTotal[fp]++
	return nil
}

// BeginDeferred counts a send of deferred work to an incarnation.
func (t *Table) BeginDeferred(fp reqfp.Fingerprint, incarnation string) {
	t.begin(send{fingerprint: fp, deferred: true}, incarnation)
}

func (t *Table) begin(s send, incarnation string) {
	if t.inFlight[incarnation] == nil {
		t.inFlight[incarnation] = make(map[send]int)
	}
	t.inFlight[incarnation][s]++
}

// hasNearLimit reports whether a request one strike below the limit, or at it, is in flight
// at an incarnation. Another such request must not run beside it, since a crash would count
// against both.
func (t *Table) hasNearLimit(incarnation string) bool {
	for s := range t.inFlight[incarnation] {
		if !s.deferred && t.Strikes(s.fingerprint) >= isolationStrikes {
			return true
		}
	}
	return false
}

// End counts the end of a send.
func (t *Table) End(fp reqfp.Fingerprint, incarnation string) {
	if t.inFlightTotal[fp]--; t.inFlightTotal[fp] <= 0 {
		delete(t.inFlightTotal, fp)
	}
	t.end(send{fingerprint: fp}, incarnation)
}

// EndDeferred counts the end of a send of deferred work.
func (t *Table) EndDeferred(fp reqfp.Fingerprint, incarnation string) {
	t.end(send{fingerprint: fp, deferred: true}, incarnation)
}

func (t *Table) end(s send, incarnation string) {
	if t.inFlight[incarnation][s]--; t.inFlight[incarnation][s] <= 0 {
		delete(t.inFlight[incarnation], s)
	}
	if len(t.inFlight[incarnation]) == 0 {
		delete(t.inFlight, incarnation)
	}
}

// Running returns the number of sends in flight at an incarnation.
func (t *Table) Running(incarnation string) int {
	n := 0
	for _, sends := range t.inFlight[incarnation] {
		n += sends
	}
	return n
}

// ReportAnswer records that an endpoint answered a request and is alive. It returns how many
// strikes this clears.
func (t *Table) ReportAnswer(fp reqfp.Fingerprint, now time.Time) int {
	t.answered.Add(fp, now)
	return t.Clear(fp)
}

// Clear clears all strikes of a request, and returns how many there were.
func (t *Table) Clear(fp reqfp.Fingerprint) int {
	s, ok := t.suspects[fp]
	if !ok {
		return 0
	}
	count := s.count
	for incarnation := range s.strikes {
		t.clear(fp, s, incarnation)
	}
	return count
}

// ReportDisconnect records that the connection of a send broke before the answer was complete. It
// reports whether this adds a strike, which it does only if the incarnation is known to
// have exited.
func (t *Table) ReportDisconnect(fp reqfp.Fingerprint, incarnation string, now time.Time) bool {
	d, isJudged := t.disconnect(send{fingerprint: fp}, incarnation, now)
	if !d.exited || isJudged || t.answered.Has(fp, now) {
		return false
	}
	return t.strike(fp, incarnation, now)
}

// ReportDeferredDisconnect records that the connection of a send of deferred work broke before the
// answer was complete.
func (t *Table) ReportDeferredDisconnect(fp reqfp.Fingerprint, incarnation string, now time.Time) {
	t.disconnect(send{fingerprint: fp, deferred: true}, incarnation, now)
}

func (t *Table) disconnect(s send, incarnation string, now time.Time) (d *disconnect, isKnown bool) {
	d, ok := t.disconnects[incarnation]
	if !ok {
		d = &disconnect{sends: make(map[send]time.Time)}
		t.disconnects[incarnation] = d
	}
	_, isKnown = d.sends[s]
	d.sends[s], d.latest = now, now
	return d, isKnown
}

// ReportExit records that an incarnation has exited, and returns the requests that get a strike
// for it. There are none unless its connections broke recently.
func (t *Table) ReportExit(incarnation string, now time.Time) []reqfp.Fingerprint {
	d, ok := t.disconnects[incarnation]
	if !ok || d.exited {
		return nil
	}
	d.exited = true
	for s := range t.inFlight[incarnation] {
		d.sends[s] = now
	}
	var struck []reqfp.Fingerprint
	for _, fp := range t.implicated(d, now) {
		if t.strike(fp, incarnation, now) {
			struck = append(struck, fp)
		}
	}
	return struck
}

// implicated returns the requests that may have caused a crash: those disconnected within
// the crash window, without the recently answered ones unless nothing else was disconnected then.
func (t *Table) implicated(d *disconnect, now time.Time) []reqfp.Fingerprint {
	var all, unproven []reqfp.Fingerprint
	besideDeferred := false
	for s, at := range d.sends {
		isProven := t.answered.Has(s.fingerprint, now)
		switch {
		case d.latest.Sub(at) > crashWindow:
		case s.deferred:
			besideDeferred = besideDeferred || !isProven
		case isProven:
			all = append(all, s.fingerprint)
		default:
			all, unproven = append(all, s.fingerprint), append(unproven, s.fingerprint)
		}
	}
	if len(unproven) > 0 || besideDeferred {
		return unproven
	}
	return all
}

// ReportLeaving records that an incarnation is shutting down as planned: its disconnects are no
// sign of a crash.
func (t *Table) ReportLeaving(incarnation string) { delete(t.disconnects, incarnation) }

// Disconnected returns the incarnations with recent disconnects that aren't known to have exited.
func (t *Table) Disconnected() []string {
	var out []string
	for incarnation, d := range t.disconnects {
		if !d.exited {
			out = append(out, incarnation)
		}
	}
	return out
}

// Merge adds the records of another instance. It returns those that were new here.
func (t *Table) Merge(records []strike.Record, now time.Time) []strike.Record {
	var changed []strike.Record
	for _, r := range records {
		if t.mergeRecord(r, now) {
			changed = append(changed, r)
		}
	}
	return changed
}

// Sweep drops expired strikes and disconnects.
func (t *Table) Sweep(now time.Time) {
	for incarnation, d := range t.disconnects {
		if now.Sub(d.latest) > disconnectWindow {
			delete(t.disconnects, incarnation)
		}
	}
	for fp, s := range t.suspects {
		isWatched := s.count >= StrikeLimit && now.Sub(s.latest) <= 2*t.quarantineTime(s.count)+t.strikeTTL
		for incarnation, st := range s.strikes {
			if !isWatched && now.Sub(st.at) > t.strikeTTL {
				t.dropStrike(fp, incarnation)
			}
		}
	}
}
