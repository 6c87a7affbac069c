// Package window limits how many requests one entry has at each endpoint of a service.
//
// Endpoints are shared by entries that don't know of each other's requests, so that an
// endpoint may be full although this entry has few requests there. The limit of an endpoint
// falls when the endpoint refuses a request because it is full, and in the seconds after a
// refusal with streaks of answers that took more than twice what the service takes without
// load: then requests wait in the endpoint's own queue. It rises again with requests that
// succeed. The sum of the limits is what an entry may send at once; the other requests wait
// at the entry, in its order, rather than being refused in turn by all endpoints.
//
// The package uses neither a clock nor the network.
package window

import (
	"math"
	"time"
)

const (
	// defaultMinClosed and defaultMaxClosed bound the time for which an endpoint gets no
	// request that refused one while it had no other of this entry: below 20 ms the
	// refusals take as long as the work of a plain endpoint, and after 500 ms even a queue
	// of 24 requests of such an endpoint has been served several times over.
	defaultMinClosed = 20 * time.Millisecond
	defaultMaxClosed = 500 * time.Millisecond
	// maxUnreachable bounds the time for which an endpoint gets no request after a
	// connection to it could not be made. The endpoint leaves the list of endpoints about
	// 1.5 s after its process has ended.
	maxUnreachable = 1500 * time.Millisecond
	// minFailures is the number of failed connections in a row after which an endpoint
	// counts as unreachable. After a single one, which may be a lost packet, requests wait
	// for it.
	minFailures = 3
	// loadRatio is the multiple of the unloaded duration above which an answer is slow.
	loadRatio = 2
	// minStreak is the number of slow answers in a row that show load. With 8, a service half
	// of whose requests take ten times as long as the others loses half of its limits for
	// seconds after a single refusal (TestLongRequestsAreNotLoad); with 12, the limits of 100
	// entries fall too slowly (TestManyEntriesUnderLoad).
	minStreak = 10
	// harmlessPart is the part of the latency objective below which no answer is slow.
	harmlessPart = 0.25
	// loadDrop is the relative decrease of a limit with as many slow answers as it allows
	// requests, and loadedRaise the part of the usual increase with fast ones while the
	// endpoints show load. Below 1 the relative increase is belowOneRaise with each fast
	// answer.
	loadDrop      = 0.2
	loadedRaise   = 0.25
	belowOneRaise = 0.1
	// minTotal is the least sum of the limits, and maxRest the longest rest that it causes.
	minTotal = 0.2
	maxRest  = 100 * time.Millisecond
	// rounding makes up for the inexact sum of the increases of a limit.
	rounding = 1e-9
	// maxSlowPart is the part of slow answers up to which limits recover while some still
	// come. Under load 0.8 of them are slow, of a service half of whose requests take ten
	// times as long 0.5.
	maxSlowPart = 0.65
	// slowPartStep is the weight of one answer in that part.
	slowPartStep = 1.0 / 32
	// contentionTime is the time after a refusal for which durations lower limits. While no
	// endpoint is full, long durations are the service's own: without this condition,
	// services that take more than harmlessPart of their objective were refused on light load.
	contentionTime = 10 * time.Second
	// recoveryTime is the time without a sign of load after which all endpoints get their
	// greatest limits again, and the longest time between two answers of a streak. An entry
	// with few requests would otherwise need minutes.
	recoveryTime = time.Second
)

type (
	// Limits has the limits of a service's endpoints. It is not safe for concurrent use.
	// See New.
	Limits struct {
		minClosed, maxClosed time.Duration
		endpoints            map[string]*state
		unloaded             baseline
		// slow is the streak of slow answers of all endpoints.
		slow streak
		// pressedAt is when an endpoint last showed load.
		pressedAt time.Time
		// refusedAt is when an endpoint was last full.
		refusedAt time.Time
		// slowAt is when the last slow answer came.
		slowAt time.Time
		// slowPart is the part of the last answers that were slow.
		slowPart float64
		// restUntil is the time until which nothing is sent because the sum of the limits is
		// below 1.
		restUntil time.Time
	}

	// Option configures Limits in New.
	Option func(*Limits)

	state struct {
		// start is the greatest limit, limit the present one but for closedUntil.
		start int
		limit float64
		// slow is the streak of slow answers, and peak the greatest number of requests that
		// were there in it.
		slow        streak
		peak        int
		closedUntil time.Time
		// failures counts the connections in a row that could not be made.
		failures int
	}

	// streak counts slow answers in a row.
	streak struct {
		n    int
		last time.Time
	}
)

// New returns the limits of a service without endpoints.
//
//	l := window.New()
//	l.Put("desk-0/1700000000", 12)
//	free := l.Limit("desk-0/1700000000", now) - running
func New(opts ...Option) *Limits {
	l := &Limits{minClosed: defaultMinClosed, maxClosed: defaultMaxClosed, endpoints: make(map[string]*state)}
	for _, opt := range opts {
		opt(l)
	}
	return l
}

// WithClosedTime bounds the time for which an endpoint gets no request that refused one
// while it had no other of this entry. The default is 20 ms to 500 ms.
func WithClosedTime(shortest, longest time.Duration) Option {
	return func(l *Limits) { l.minClosed, l.maxClosed = shortest, longest }
}

// Put sets the greatest limit of an endpoint; a new endpoint starts with it.
func (l *Limits) Put(id string, start int) {
	s, ok := l.endpoints[id]
	switch {
	case !ok:
		l.endpoints[id] = &state{start: start, limit: float64(start)}
	case s.start != start:
		s.limit = min(max(1, s.limit+float64(start-s.start)), float64(start))
		s.start = start
	}
}

// Retain drops the endpoints for which keep returns false.
func (l *Limits) Retain(keep func(id string) bool) {
	for id := range l.endpoints {
		if !keep(id) {
			delete(l.endpoints, id)
		}
	}
}

// Limit returns how many requests this entry may have at the endpoint at once: 0 if it is
// unknown or gets no request now, else at least 1. All endpoints together may have fewer:
// see Total.
func (l *Limits) Limit(id string, now time.Time) int {
	s, ok := l.endpoints[id]
	if !ok || now.Before(s.closedUntil) {
		return 0
	}
	l.recover(now)
	return max(1, int(s.limit+rounding))
}

// Total returns how many requests this entry may have at all endpoints together: 0 if none
// gets a request now, else at least 1.
func (l *Limits) Total(now time.Time) int {
	sum, isOpen := l.sum(now)
	if !isOpen || now.Before(l.restUntil) {
		return 0
	}
	return max(1, int(sum+rounding))
}

// sum returns the sum of the limits of the endpoints that get requests.
func (l *Limits) sum(now time.Time) (sum float64, isOpen bool) {
	l.recover(now)
	for _, s := range l.endpoints {
		if !now.Before(s.closedUntil) {
			sum += s.limit
			isOpen = true
		}
	}
	return sum, isOpen
}

// recover sets all limits to the greatest ones if no endpoint shows load any more.
func (l *Limits) recover(now time.Time) {
	if l.pressedAt.IsZero() || now.Sub(l.pressedAt) <= recoveryTime {
		return
	}
	if l.slowPart > maxSlowPart && now.Sub(l.slowAt) <= recoveryTime {
		return
	}
	l.pressedAt = time.Time{}
	for _, s := range l.endpoints {
		if !now.Before(s.closedUntil) {
			s.limit = float64(s.start)
		}
	}
}

// Preference returns a factor of at least 1 that is greater, the further the limit of the
// endpoint has fallen.
func (l *Limits) Preference(id string) float64 {
	s, ok := l.endpoints[id]
	if !ok || s.start <= 0 {
		return 1
	}
	return 1 + max(0, 1-s.limit/float64(s.start))
}

// Unreachable reports whether the endpoint gets no request now because several connections
// to it in a row could not be made.
func (l *Limits) Unreachable(id string, now time.Time) bool {
	s, ok := l.endpoints[id]
	return ok && s.failures >= minFailures && now.Before(s.closedUntil)
}

// NextOpening returns when the next endpoint that gets no request now gets one again. ok
// is false if there is none.
func (l *Limits) NextOpening(now time.Time) (at time.Time, ok bool) {
	for _, s := range l.endpoints {
		if now.Before(s.closedUntil) && (!ok || s.closedUntil.Before(at)) {
			at, ok = s.closedUntil, true
		}
	}
	if now.Before(l.restUntil) && (!ok || l.restUntil.Before(at)) {
		at, ok = l.restUntil, true
	}
	return at, ok
}

// Succeeded records that the endpoint has answered a request. Each time as many have
// succeeded as it may have at once, it may have one more.
func (l *Limits) Succeeded(id string) {
	if s, ok := l.endpoints[id]; ok {
		s.raise(1)
	}
}

// Answered records an answer after the given time, while running other requests of this
// entry were at the endpoint. A streak of slow answers lowers the limit; others raise it as
// Succeeded does.
func (l *Limits) Answered(id string, running int, took, objective time.Duration, now time.Time) {
	isContended := !l.refusedAt.IsZero() && now.Sub(l.refusedAt) <= contentionTime
	isSlow := isContended && float64(took) > max(loadRatio*l.unloaded.value, float64(objective)*harmlessPart)
	l.unloaded.add(took, objective, isContended, now)
	l.slowPart *= 1 - slowPartStep
	if isSlow {
		l.slowPart += slowPartStep
	}
	l.recover(now)
	l.slow.add(isSlow, now)
	s, ok := l.endpoints[id]
	if !ok {
		return
	}
	s.slow.add(isSlow, now)
	s.failures = 0
	switch {
	case isSlow:
		l.slowAt = now
		s.peak = max(s.peak, running+1)
		if s.slow.n >= minStreak || l.slow.n >= minStreak {
			// A limit that is not used up says nothing: what is there now has to become less.
			s.limit = min(s.limit, float64(s.peak))
			s.limit = max(minTotal/float64(len(l.endpoints)), s.limit*(1-loadDrop/max(1, s.limit)))
			l.pressedAt = now
		}
	case l.pressedAt.IsZero():
		s.peak = 0
		s.raise(1)
	default:
		s.peak = 0
		s.raise(loadedRaise)
	}
	l.rest(took, now)
}

// rest lets nothing be sent for a while if the sum of the limits is below 1, so that on
// average as many requests run as it says.
func (l *Limits) rest(took time.Duration, now time.Time) {
	if sum, isOpen := l.sum(now); isOpen && sum < 1 {
		l.restUntil = now.Add(min(time.Duration(float64(took)*(1/sum-1)), maxRest))
	}
}

func (s *streak) add(isSlow bool, now time.Time) {
	if !isSlow || now.Sub(s.last) > recoveryTime {
		s.n = 0
	}
	if isSlow {
		s.n++
	}
	s.last = now
}

// Refused records that the endpoint was full while running other requests of this entry
// were there. serviceTime is how long a request takes, after which a slot should be free.
func (l *Limits) Refused(id string, running int, serviceTime time.Duration, now time.Time) {
	s, ok := l.endpoints[id]
	if !ok {
		return
	}
	s.failures = 0
	s.limit = min(s.limit, float64(max(1, (running+1)/2)))
	l.pressedAt, l.refusedAt = now, now
	if running == 0 {
		// If all endpoints refuse, the sum falls to 1.
		s.limit = min(s.limit, 1/float64(len(l.endpoints)))
		s.close(min(max(serviceTime, l.minClosed), l.maxClosed), now)
	}
}

// Failed records that no connection to the endpoint could be made. It gets no request for
// a time that doubles with each failure in a row, and then one.
func (l *Limits) Failed(id string, now time.Time) {
	s, ok := l.endpoints[id]
	if !ok || now.Before(s.closedUntil) {
		return // requests that were sent together fail together
	}
	d := maxUnreachable
	if doubled := float64(l.minClosed) * math.Pow(2, float64(s.failures)); doubled < float64(d) {
		d = time.Duration(doubled)
	}
	s.limit = min(1, s.limit)
	s.failures++
	s.close(d, now)
}

func (s *state) raise(part float64) {
	s.failures = 0
	if s.limit >= 1 {
		s.limit = min(s.limit+part/math.Floor(s.limit+rounding), float64(s.start))
	} else {
		s.limit = min(1, s.limit*(1+belowOneRaise))
	}
}

func (s *state) close(d time.Duration, now time.Time) {
	if until := now.Add(d); until.After(s.closedUntil) {
		s.closedUntil = until
	}
}
