package proxy

import (
	"slices"
	"sync"
	"time"

	"github.com/lavendermux/lavendermux/endpt"
	"github.com/lavendermux/lavendermux/retry"
)

const (
	// hedgeRatio and hedgeBurst are the budget for hedges that go out early, as a ratio of
	// the requests of a service at this entry. Where more than one in twenty is late, the
	// service is slow rather than one endpoint.
	hedgeRatio = 0.05
	hedgeBurst = 3
	// hedgeRoom is how many median durations before the latency objective a second copy
	// goes out: it takes one, or two at a busy endpoint.
	hedgeRoom = 2
	// minHedgeMedians is the minimum number of median durations before a request is hedged;
	// nearly all requests are done by then.
	minHedgeMedians = 3
	// minMedianSamples is the number of durations from which on their median is used.
	minMedianSamples = 10
	// recentDurations is the number of durations of which the median is, and medianInterval
	// after how many of them it is computed again.
	recentDurations = 64
	medianInterval  = 8
)

type (
	// hedges is what a forwarder knows about the hedges of each service that has a route
	// with a latency objective.
	hedges struct {
		mu       sync.Mutex
		services map[string]*hedgedService
	}

	hedgedService struct {
		budget *retry.Budget
		// recent has the last durations of requests, and count how many there were.
		recent [recentDurations]time.Duration
		count  int
		median time.Duration
	}

	// hedge is the state of one request's second copy.
	hedge struct {
		service string
		// start is when the request began, and after the time from which the next hedge is
		// delayed: when the last attempt was sent, or a hedge found no endpoint.
		start, after time.Time
		// endpoint has the ID of the endpoint that was sent the second copy, "" if none was.
		endpoint string
		// isOverBudget is set once an early hedge was refused.
		isOverBudget bool
	}
)

// service returns the state of a service, which it creates on first use. h.mu is held.
func (h *hedges) service(name string) *hedgedService {
	s := h.services[name]
	if s == nil {
		s = &hedgedService{budget: retry.New(retry.WithRatio(hedgeRatio), retry.WithBurst(hedgeBurst))}
		h.services[name] = s
	}
	return s
}

// deposit counts a request.
func (h *hedges) deposit(service string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.service(service).budget.Deposit()
}

// take reports whether the budget has a hedge left, and withdraws it.
func (h *hedges) take(service string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.service(service).budget.Hedge()
}

// observe records the duration of a request.
func (h *hedges) observe(service string, took time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	s := h.service(service)
	s.recent[s.count%recentDurations] = took
	s.count++
	if s.count == minMedianSamples || s.count > minMedianSamples && s.count%medianInterval == 0 {
		sorted := slices.Clone(s.recent[:min(s.count, recentDurations)])
		slices.Sort(sorted)
		s.median = sorted[len(sorted)/2]
	}
}

// median returns the median duration of recent requests of a service; 0 if it is unknown.
func (h *hedges) median(service string) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.service(service).median
}

// startHedging prepares the hedge of a request with a latency objective.
func (a *attempts) startHedging(start time.Time) {
	a.hedge = hedge{start: start, after: start}
	if a.r.Route.Target > 0 {
		a.hedge.service = a.r.Route.PickService(a.r.ID)
		a.f.hedges.deposit(a.hedge.service)
	}
}

// hedgeAt returns when a request with a latency objective is hedged: when the second copy can
// still be in time, but at the earliest when the request takes longer than nearly all others,
// and at the latest as if nothing was known about the service.
func (a *attempts) hedgeAt() time.Time {
	latest := a.latestHedgeAt()
	median := a.f.hedges.median(a.hedge.service)
	if median == 0 || a.hedge.isOverBudget || a.hedge.endpoint != "" {
		return latest
	}
	at, earliest := a.hedge.start.Add(a.r.Route.Target-hedgeRoom*median), a.hedge.after.Add(minHedgeMedians*median)
	if at.Before(earliest) {
		at = earliest
	}
	if latest.Before(at) {
		return latest
	}
	return at
}

func (a *attempts) latestHedgeAt() time.Time {
	return a.hedge.after.Add(time.Duration(hedgeTargetFactor * float64(a.r.Route.Target)))
}

// sendHedge sends a second copy of a request, unless it would go out early and the budget
// is used up. Such a request is hedged at the latest time: if its endpoint has stopped
// responding, it would be lost otherwise.
func (a *attempts) sendHedge() {
	now, first := time.Now(), a.lastEndpoint
	if a.r.Route.Target > 0 && !a.f.hedges.take(a.hedge.service) && now.Before(a.latestHedgeAt()) {
		a.hedge.isOverBudget = true
		a.f.countHedge(a.r, "overBudget")
		a.f.logger.Info("Hedge over budget.", "request", a.r.ID, "route", a.r.Route.Name, "service", a.hedge.service, "endpoint", first.ID,
			"after", now.Sub(a.hedge.start).Round(time.Millisecond))
		return
	}
	a.f.endpoints.MarkOverdue(first, now)
	a.hedge.after = now
	if !a.sendNext() || a.r.Route.Target <= 0 {
		return
	}
	a.hedge.endpoint = a.lastEndpoint.ID
	a.f.countHedge(a.r, "sent")
	a.f.logger.Info("Request hedged.", "request", a.r.ID, "route", a.r.Route.Name, "service", a.hedge.service, "endpoint", first.ID,
		"second", a.hedge.endpoint, "after", now.Sub(a.hedge.start).Round(time.Millisecond), "median", a.f.hedges.median(a.hedge.service))
}

// reportHedge counts whether the second copy of a request gave the answer, and in time.
func (a *attempts) reportHedge(response *Response) {
	if response == nil || a.hedge.endpoint == "" || response.Endpoint != a.hedge.endpoint {
		return
	}
	outcome := "inTime"
	if time.Since(a.hedge.start) > a.r.Route.Target {
		outcome = "late"
	}
	a.f.countHedge(a.r, outcome)
}

func (f *Forwarder) countHedge(r Request, outcome string) {
	f.meter.Count("hedges_total", 1, "route", r.Route.Name, "outcome", outcome)
}

// observeCancelled records an attempt that was cancelled, since another endpoint has answered or
// the caller waits no longer. It counts as if it had ended then, if it had already taken longer
// than nearly all requests; otherwise it says nothing.
func (f *Forwarder) observeCancelled(r Request, e endpt.Endpoint, took time.Duration) {
	if r.Route.Target <= 0 {
		return
	}
	median := f.hedges.median(e.Service)
	if median > 0 && took >= minHedgeMedians*median {
		f.endpoints.ObserveOverdue(e, took, time.Now())
	}
}
