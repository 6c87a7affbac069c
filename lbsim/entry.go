package lbsim

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lavendermux/lavendermux/eject"
	"github.com/lavendermux/lavendermux/fault"
	"github.com/lavendermux/lavendermux/retry"
	"github.com/lavendermux/lavendermux/route"
	"github.com/lavendermux/lavendermux/subset"
	"github.com/lavendermux/lavendermux/wire"
)

const (
	// oneWayDelay is the network delay between data centres in one direction.
	oneWayDelay = 1500 * time.Microsecond
	// callerBackoff is how long a caller without a Retry-After time waits.
	callerBackoff = time.Second
)

type (
	picker interface {
		Pick(candidates []*wire.EndpointState, prefix uint64, rng *rand.Rand, now time.Time) []string
		Sent(id string, now time.Time)
		Observe(id string, load *wire.DoorLoad, err error, now time.Time)
	}

	entry struct {
		simulation *simulation
		candidates []*wire.EndpointState
		byID       map[string]*sidecar
		route      picker
		retry      *retry.Budget
	}
)

// build creates the sidecars and entries.
func (s *simulation) build() {
	p := s.scenario
	var names []string
	for i := range p.Sidecars {
		state := &wire.EndpointState{
			Instance:   fmt.Sprintf("door-%d", i),
			DataCentre: fmt.Sprintf("dc-%d", i%p.DataCentres),
			Region:     "region",
			Ready:      true,
		}
		names = append(names, state.Instance)
		s.sidecars = append(s.sidecars, &sidecar{simulation: s, state: state, index: i, queue: s.workQueue()})
	}
	for i := range p.Entries {
		s.entries = append(s.entries, s.entry(i, names))
	}
}

func (s *simulation) entry(i int, names []string) *entry {
	p := s.scenario
	e := &entry{
		simulation: s,
		byID:       map[string]*sidecar{},
		route:      s.picker(fmt.Sprintf("dc-%d", i%p.DataCentres)),
		retry:      retry.New(p.RetryOptions...),
	}
	for _, d := range s.sidecars {
		e.byID[d.state.Instance] = d
	}
	for _, name := range s.subset(i, names) {
		e.candidates = append(e.candidates, e.byID[name].state)
	}
	return e
}

func (s *simulation) subset(i int, names []string) []string {
	p := s.scenario
	if p.SubsetSize == 0 {
		return names
	}
	if p.SubsetPolicy == "random" {
		rng := rand.New(rand.NewPCG(uint64(i), 3))
		rng.Shuffle(len(names), func(a, b int) { names[a], names[b] = names[b], names[a] })
		return names[:p.SubsetSize]
	}
	var peers []string
	for j := range p.Entries {
		peers = append(peers, fmt.Sprintf("entry-%d", j))
	}
	return subset.New(p.SubsetSize).Pick(peers[i], peers, names)
}

func (s *simulation) picker(dataCentre string) picker {
	p := s.scenario
	if p.Route != "lavendermux" {
		return &baselineRoute{policy: p.Route, loads: map[string]float64{}}
	}
	opts := []route.Option{route.WithLocality(dataCentre, "region")}
	if p.Eject {
		opts = append(opts, route.WithDetector(eject.New(p.EjectOptions...)))
	} else {
		opts = append(opts, route.WithDetector(eject.New(eject.WithMaxShare(0))))
	}
	return route.New(append(opts, p.RouteOptions...)...)
}

// submit handles a request's arrival from its caller, first or resubmitted.
func (e *entry) submit(r *request) {
	s := e.simulation
	e.retry.Deposit()
	e.send(r, e.route.Pick(e.candidates, r.prefix, s.rng, s.now))
}

func (e *entry) send(r *request, ids []string) {
	if len(ids) == 0 {
		e.complete(r, &fault.NotRunError{Cause: "noEndpoint", RetryAfter: callerBackoff})
		return
	}
	s := e.simulation
	id, rest := ids[0], append([]string(nil), ids[1:]...)
	r.attempts++
	if r.isScored() {
		s.score.Attempts++
	}
	e.route.Sent(id, s.now)
	a := &attempt{request: r, sidecar: e.byID[id], sent: s.now}
	a.onResponse = func(a *attempt, load *wire.DoorLoad, err error) {
		s.after(oneWayDelay, func() { e.onResponse(a, rest, load, err) })
	}
	s.after(oneWayDelay, func() { a.sidecar.receive(a) })
}

// onResponse handles a sidecar's response to one attempt.
func (e *entry) onResponse(a *attempt, rest []string, load *wire.DoorLoad, err error) {
	s := e.simulation
	r := a.request
	e.route.Observe(a.sidecar.state.Instance, load, err, s.now)
	switch {
	case err == nil:
		e.complete(r, nil)
	case len(rest) > 0 && e.shouldFailover(err, r):
		e.send(r, rest)
	default:
		retryDelay, ok := e.retryDelay(err, r)
		if !ok || s.now.Add(retryDelay).After(r.work.Deadline) {
			e.complete(r, err)
			return
		}
		s.after(retryDelay, func() { e.send(r, e.route.Pick(e.candidates, r.prefix, s.rng, s.now)) })
	}
}

// shouldFailover reports whether the second choice is tried at once.
func (e *entry) shouldFailover(err error, r *request) bool {
	return e.simulation.scenario.Retry == "budget" && e.retry.Failover(err, r.attempts)
}

// retryDelay returns how long the entry backs off before its own retry, and whether it
// retries at all.
func (e *entry) retryDelay(err error, r *request) (time.Duration, bool) {
	switch e.simulation.scenario.Retry {
	case "always":
		return 0, r.attempts < 4
	case "budget":
		return e.retry.Retry(err, r.idempotent, r.attempts, e.simulation.rng)
	default:
		return 0, false
	}
}

// complete reports the outcome to the caller, who may resubmit a refused request.
func (e *entry) complete(r *request, err error) {
	s := e.simulation
	good := err == nil && !s.now.After(r.work.Deadline)
	if good && s.now.Sub(s.start) <= s.scenario.Duration {
		s.score.GoodTokens += r.tokens
	}
	var notRun *fault.NotRunError
	switch {
	case !r.isScored():
	case good:
		e.recordSuccess(r)
	case !errors.As(err, &notRun):
		s.score.Late++
	case r.resubmits < s.scenario.MaxResubmits:
		e.resubmit(r, notRun.RetryAfter)
	default:
		s.score.Refused++
		s.score.RefusalDelay.Add(s.now.Sub(r.arrived).Seconds() / r.timeout.Seconds())
	}
}

func (e *entry) recordSuccess(r *request) {
	s := e.simulation
	s.score.RecordSuccess(r.work.Caller, r.work.Live(), r.firstArrival.Sub(s.start))
	if r.resubmits > 0 {
		s.score.ReturnedServed++
	}
	if r.work.Live() && !r.short {
		s.score.LongGood++
	}
	if r.short {
		s.score.ShortLatency.Add(s.now.Sub(r.arrived).Seconds())
	}
}

// resubmit schedules the caller's resubmission with a new deadline after the given
// time.
func (e *entry) resubmit(r *request, after time.Duration) {
	s := e.simulation
	if after == 0 || s.scenario.IgnoreRetryAfter {
		after = callerBackoff
	}
	s.score.Returned++
	again := *r
	again.resubmits++
	again.attempts = 0
	s.after(after, func() {
		again.arrived = s.now
		again.work.Deadline = s.now.Add(r.timeout)
		e.submit(&again)
	})
}
