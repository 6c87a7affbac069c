package proxy

import (
	"context"
	"maps"
	"math"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"github.com/lavendermux/lavendermux/admit"
	"github.com/lavendermux/lavendermux/endpt"
	"github.com/lavendermux/lavendermux/epset"
	"github.com/lavendermux/lavendermux/fault"
	"github.com/lavendermux/lavendermux/gate"
	"github.com/lavendermux/lavendermux/queue"
	"github.com/lavendermux/lavendermux/slots"
	"github.com/lavendermux/lavendermux/upstr"
	"github.com/lavendermux/lavendermux/window"
	"github.com/lavendermux/lavendermux/wire"
	"github.com/lavendermux/lavendermux/work"
)

const (
	// maxWaiting limits the waiting requests of a service.
	maxWaiting = 256
	// defaultMaxWaitingBytes bounds the bodies of all waiting requests where the memory
	// limit is unknown; otherwise they take at most a part of 1/memoryDivisor of it.
	defaultMaxWaitingBytes = 16 << 20
	memoryDivisor          = 8
	// initialServiceRate is the number of requests that a slot is assumed to serve in a
	// second until some have been answered: plain requests take 21 to 25 ms. Too low a
	// rate would refuse requests at the start that could be served.
	initialServiceRate = 40
	// maxServiceTimeRatio bounds a measured service time, in multiples of the estimate:
	// requests that run during a pause of this process or at an endpoint that has stopped
	// responding say little about the others. With 4, a pause with 24 requests in flight
	// raises the estimate from 25 to 700 ms, with 2 to 80 ms (TestPausedProcess).
	maxServiceTimeRatio = 2
	// shareTimeConstant and sharePenalty decide how far requests of customers above their
	// share are moved back. With the defaults of package admit (30 s and 0.5) a flood by
	// one customer raises the others' p99 from 52 to 290 ms (TestOneCustomerFloods); with
	// twice this penalty the noise of sparse requests costs the others 14 ms more.
	shareTimeConstant = 5 * time.Second
	sharePenalty      = 4
	// forecastWindow is the time constant of the arrival rate that predictions expect to go
	// on: short against bursts of some seconds, and long enough for an entry with ten
	// requests a second.
	forecastWindow = time.Second
	// minRetryAfter is the least Retry-After of a refusal by the queue, and retryJitter
	// the greatest relative deviation from what the backlog says.
	minRetryAfter = 50 * time.Millisecond
	retryJitter   = 0.25
	// refreshInterval is how often the capacity of a service is computed anew while
	// requests wait for it: the time within which they learn of endpoints that have come
	// or left.
	refreshInterval = 50 * time.Millisecond
	// minRefreshInterval bounds how often the capacity is computed because endpoints get
	// requests again.
	minRefreshInterval = time.Millisecond

	// causeNoEndpoint and causeExpired are causes of refusals beside those of packages
	// queue and gate: the service has no endpoint that can be reached, and the time was
	// over while the request waited.
	causeNoEndpoint = "noEndpoint"
	causeExpired    = "expired"
)

type (
	// queues has the queues of this entry, one for each service.
	queues struct {
		mu        sync.Mutex
		byService map[string]*serviceQueue
		// bodies is the size of the bodies of all waiting requests.
		bodies    atomic.Int64
		maxBodies int64
	}

	// serviceQueue is the queue of one service. The size of its gate is the number of
	// requests that this entry may have at the service's endpoints at once.
	serviceQueue struct {
		f       *Forwarder
		service string
		gate    *gate.Limiter

		mu     sync.Mutex
		limits *window.Limits
		// running has the number of this forwarder's requests by endpoint incarnation.
		running map[string]int
		// isReachable is set while there is an endpoint to which connections can be made.
		isReachable bool
		// room is the number of requests that may be sent now, including those that are on
		// their way; size is that of the gate.
		room, size int
		// waiters is the number of requests that are about to wait, wait, or have just
		// done so; the timer runs while there are any.
		waiters int
		timer   *time.Timer
		timerAt time.Time
	}

	// admission is what one request has to do with the queue of its service.
	admission struct {
		f       *Forwarder
		r       *Request
		service string
		// queue is nil if requests don't wait; the fields below are then unused.
		queue *serviceQueue
		work  work.Work
		// waited is the time that the request has waited. waiting and room are the number
		// of waiting requests that it last met, and the capacity.
		waited        time.Duration
		waiting, room int
		// returns is the number of times that an endpoint was full and the request
		// returned to the queue.
		returns int
		// refused is set once the queue has refused the request for cause.
		refused *RefusedError
		cause   string
	}

	// grant is the capacity for one send of a request. The methods of a nil grant do
	// nothing.
	grant struct {
		queue    *serviceQueue
		work     work.Work
		endpoint endpt.Endpoint
		leave    func(tokens int64)
		begin    time.Time
		// target is the latency objective of the request; 0 if it has none.
		target time.Duration
	}
)

// WithQueue makes requests wait in one queue for each service while its endpoints have no
// capacity for them. memoryBytes is the memory limit of the process, which bounds the size
// of waiting requests; 0 means unknown. By default endpoints are asked in turn, and a
// request is refused if all are full.
func WithQueue(memoryBytes int64) Option {
	maxBodies := int64(defaultMaxWaitingBytes)
	if memoryBytes > 0 {
		maxBodies = memoryBytes / memoryDivisor
	}
	return func(fw *Forwarder) {
		fw.queues = &queues{byService: make(map[string]*serviceQueue), maxBodies: maxBodies}
	}
}

// SetMetrics updates the gauges of the queues.
func (f *Forwarder) SetMetrics() {
	if f.queues == nil {
		return
	}
	for _, q := range f.queues.all() {
		q.mu.Lock()
		q.resize(time.Now())
		room := q.room
		q.mu.Unlock()
		f.meter.Set("queue_waiting", float64(q.gate.Waiting()), "service", q.service)
		f.meter.Set("queue_room", float64(room), "service", q.service)
	}
}

// all returns the queues. Their locks must not be taken while mu is held: the order is the
// lock of a queue, then mu.
func (qs *queues) all() []*serviceQueue {
	qs.mu.Lock()
	defer qs.mu.Unlock()
	return slices.Collect(maps.Values(qs.byService))
}

// queueOf returns the queue of a service, or nil if requests don't wait.
func (f *Forwarder) queueOf(service string) *serviceQueue {
	if f.queues == nil {
		return nil
	}
	f.queues.mu.Lock()
	defer f.queues.mu.Unlock()
	q, ok := f.queues.byService[service]
	if !ok {
		q = f.newServiceQueue(service)
		f.queues.byService[service] = q
	}
	return q
}

func (f *Forwarder) newServiceQueue(service string) *serviceQueue {
	return &serviceQueue{
		f:       f,
		service: service,
		limits:  window.New(),
		running: make(map[string]int),
		gate: gate.New(slots.New(0),
			gate.WithQueue(queueOptions(&f.queues.bodies, f.queues.maxBodies)...),
			gate.WithShares(shareOptions()...)),
	}
}

func queueOptions(bodies *atomic.Int64, maxBodies int64) []queue.Option {
	return []queue.Option{
		queue.WithLimit(maxWaiting),
		queue.WithMaxBytes(bodies, maxBodies),
		queue.WithDisplacementByDue(),
		queue.WithTokenRate(initialServiceRate),
		queue.WithMeanTokens(1),
		queue.WithMaxObservation(maxServiceTimeRatio),
		// Where nothing waits for a slot that is free, a request that the estimate takes
		// for too long costs nobody anything.
		queue.WithProbeInterval(0),
		queue.WithForecastWindow(forecastWindow),
	}
}

func shareOptions() []admit.Option {
	return []admit.Option{admit.WithTimeConstant(shareTimeConstant), admit.WithPenalty(sharePenalty)}
}

// limitAt returns how many requests this entry may have at an endpoint at once. If
// requests wait in queues, the caller holds the lock of the service's queue.
func (f *Forwarder) limitAt(v epset.View, now time.Time) int {
	if q := f.queueOf(v.Service); q != nil {
		return v.Running + q.free(v, now)
	}
	return v.Slots * requestsPerSlot
}

// loadFactor returns how much longer a request is expected to take at an endpoint because of
// its load. If requests wait in queues, the caller holds the lock of the service's queue.
func (f *Forwarder) loadFactor(v epset.View) float64 {
	if q := f.queueOf(v.Service); q != nil {
		return q.limits.Preference(v.Incarnation())
	}
	return 1
}

// begin counts a request at an endpoint until the returned function is called. If requests
// wait in queues, the grant of the request counts it.
func (f *Forwarder) begin(e endpt.Endpoint) (end func()) {
	if f.queues != nil {
		return func() {}
	}
	f.endpoints.Begin(e)
	return func() { f.endpoints.End(e) }
}

// newAdmission returns the admission of a request that must have its answer by deadline.
func (f *Forwarder) newAdmission(r *Request, deadline time.Time) *admission {
	a := &admission{f: f, r: r, service: r.Route.PickService(r.ID)}
	a.queue = f.queueOf(a.service)
	if a.queue == nil {
		return a
	}
	a.work = work.Work{
		Caller:         r.Customer,
		Pool:           a.service,
		Kind:           wire.WorkKind_WORK_KIND_LIVE,
		Priority:       -int32(min(max(r.Priority, 0), math.MaxInt32)),
		Deadline:       deadline,
		ExpectedTokens: 1,
		Bytes:          r.Body.Len(),
	}
	if target := r.objective(); target > 0 {
		a.work.Objective = time.Now().Add(target)
	}
	if r.Internal {
		a.work.Kind = wire.WorkKind_WORK_KIND_ROLLOUT
	}
	return a
}

// choose returns the endpoint for the next send, after a wait for capacity if requests
// wait in queues. A hedged request doesn't wait: it only takes capacity that nobody needs.
func (a *admission) choose(ctx context.Context, used []string, isHedge bool) (endpt.Endpoint, *grant, bool) {
	if a.queue == nil {
		e, ok := a.f.pick(a.service, used)
		return e, nil, ok
	}
	if isHedge {
		a.queue.refresh()
		leave, ok := a.queue.gate.TryEnter(a.work)
		if !ok {
			return endpt.Endpoint{}, nil, false
		}
		return a.queue.pick(a.work, a.r.objective(), used, leave)
	}
	for {
		leave, err := a.enter(ctx)
		if err != nil {
			a.refuse(ctx, err)
			return endpt.Endpoint{}, nil, false
		}
		// The endpoint with the free capacity may have left meanwhile.
		if e, g, ok := a.queue.pick(a.work, a.r.objective(), used, leave); ok {
			return e, g, true
		}
	}
}

// enter waits for capacity.
func (a *admission) enter(ctx context.Context) (leave func(tokens int64), err error) {
	start, w := time.Now(), a.work
	if a.work.Arrived.IsZero() {
		a.work.Arrived = start
	}
	q := a.queue
	q.refresh()
	leave, ok := q.gate.TryEnter(w)
	if !ok {
		q.mu.Lock()
		q.waiters++
		// From here on each send that ends updates the capacity; one may have ended since.
		q.resize(start)
		a.waiting, a.room = q.gate.Waiting(), q.room
		q.setTimer(start)
		q.mu.Unlock()
		leave, err = q.gate.Enter(ctx, w)
		q.mu.Lock()
		q.waiters--
		q.mu.Unlock()
		a.waited += time.Since(start)
	}
	// The caller may have disconnected at the moment of the grant, or the process was paused
	// until after the deadline.
	if err == nil && (ctx.Err() != nil || !time.Now().Before(w.Deadline)) {
		leave(gate.NotRun)
		return nil, &fault.NotRunError{Cause: gate.CauseCallerGone, Reason: "the caller gave up while the request waited"}
	}
	return leave, err
}

// refuse records the refusal by the queue.
func (a *admission) refuse(ctx context.Context, err error) {
	a.cause = queue.CauseSaturated
	reason := err.Error()
	var notRun *fault.NotRunError
	if errors.As(err, &notRun) {
		a.cause, reason = notRun.Cause, notRun.Reason
	}
	if a.cause == queue.CauseTooLong && a.returns > 0 {
		// It was not too long when it came.
		a.cause = queue.CauseSaturated
	}
	a.queue.mu.Lock()
	isReachable, size := a.queue.isReachable, a.queue.size
	a.queue.mu.Unlock()
	// How long the slots take for what waits.
	backlog := time.Duration(a.queue.gate.Waiting()+1) * a.queue.gate.ServiceTime(a.work) / time.Duration(max(size, 1))
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded) || !time.Now().Before(a.work.Deadline):
		a.cause, reason = causeExpired, "its time was over while it waited"
	case ctx.Err() == nil && !isReachable:
		a.cause = causeNoEndpoint
	}
	a.refused = &RefusedError{Cause: reason, RetryAfter: retryAfter(backlog, a.r.ID), callerGone: a.cause == gate.CauseCallerGone}
	if a.cause == causeNoEndpoint {
		a.refused = refusal(nil, "no endpoint accepts requests")
	}
	a.f.meter.Count("queue_refused_total", 1, "service", a.service, "cause", a.cause)
}

// refusal returns the error of a request that has not run: the one that quarantineErr
// reports, that of the queue, or one with the given cause.
func (a *admission) refusal(quarantineErr error, cause string) *RefusedError {
	if quarantineErr == nil && a.refused != nil {
		return a.refused
	}
	return refusal(quarantineErr, cause)
}

// countsRefusal reports whether the refusal of a send counts towards maxNotRun. Where
// requests wait in queues, one that an endpoint is too full to run returns to its queue
// until its time is over.
func (a *admission) countsRefusal(err *upstr.NotRunError) bool {
	if a.queue == nil || err.Status == 0 {
		return true
	}
	a.returns++
	return false
}

// addUsed adds an endpoint to those that were asked. A request that returns to its queue
// may ask the same ones many times, and lists each once.
func (a *admission) addUsed(used []string, id string) []string {
	if a.queue != nil && contains(used, id) {
		return used
	}
	return append(used, id)
}

// finish records how long the request has waited if it was sent, and returns the log fields
// of one that had to wait or was refused.
func (a *admission) finish() (logFields []any) {
	if a.queue == nil {
		return nil
	}
	if a.refused == nil && !a.work.Arrived.IsZero() {
		a.f.meter.Observe("queue_wait_seconds", a.waited, "service", a.service)
	}
	if a.waited == 0 && a.refused == nil && a.returns == 0 {
		return nil
	}
	fields := []any{"service", a.service, "priority", a.r.Priority, "waiting", a.waiting, "room", a.room,
		"wait", a.waited.Round(time.Millisecond), "returns", a.returns}
	if a.refused != nil {
		fields = append(fields, "cause", a.cause, "retryAfter", a.refused.RetryAfter.Round(time.Millisecond))
	}
	return fields
}

// retryAfter returns when a refused caller should try again: when the backlog is worked
// off. It differs between requests, so that refused callers don't return together.
func retryAfter(backlog time.Duration, requestID string) time.Duration {
	shortest := float64(minRetryAfter) / (1 - retryJitter)
	unit := float64(xxhash.Sum64String(requestID)>>11) / (1 << 53)
	return time.Duration(max(float64(backlog), shortest) * (1 - retryJitter + 2*retryJitter*unit))
}

// refresh updates the capacity to the endpoints that are known now.
func (q *serviceQueue) refresh() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.resize(time.Now())
}

// resize sets the size of the gate to the number of requests that this entry may have at
// the service's endpoints. The caller holds q.mu.
func (q *serviceQueue) resize(now time.Time) {
	views := q.f.endpoints.Available(q.service)
	known := make(map[string]bool, len(views))
	room := 0
	q.isReachable = false
	for _, v := range views {
		id := v.Incarnation()
		known[id] = true
		q.limits.Put(id, v.Slots*requestsPerSlot)
		q.isReachable = q.isReachable || !q.limits.Unreachable(id, now)
		room += q.running[id] + q.free(v, now)
	}
	q.limits.Retain(func(id string) bool { return known[id] })
	// Total is 0 while the entry pauses between two requests.
	isResting := room > 0 && q.limits.Total(now) == 0
	room = min(room, q.limits.Total(now))
	for id, n := range q.running {
		if !known[id] {
			room += n
		}
	}
	q.room, q.size = room, room
	switch {
	case !q.isReachable:
		q.size = 0
		q.gate.Resize(0)
	case room == 0:
		// Endpoints are there, but may not be asked now. The gate must not start anything;
		// with a size of 0 it would refuse what waits. Each gets a request before long.
		q.size = len(views)
		if isResting {
			q.size = 1
		}
		q.gate.Pause(true)
		q.gate.Resize(q.size)
	default:
		q.gate.Resize(room)
		q.gate.Pause(false)
	}
}

// free returns how many more requests may go to an endpoint now. The caller holds q.mu.
func (q *serviceQueue) free(v epset.View, now time.Time) int {
	id := v.Incarnation()
	// The limit is for requests of this queue: items of batches run long, and if they
	// counted, callers would get nothing while they run. They take slots all the same.
	return max(0, min(q.limits.Limit(id, now)-q.running[id], v.Slots*requestsPerSlot-v.Running))
}

// setTimer sets the timer for the next time at which the capacity may change without an
// event of this forwarder. The caller holds q.mu.
func (q *serviceQueue) setTimer(now time.Time) {
	if q.waiters == 0 {
		return
	}
	d := refreshInterval
	if at, ok := q.limits.NextOpening(now); ok {
		d = min(d, max(at.Sub(now), minRefreshInterval))
	}
	if q.timer != nil {
		if !now.Add(d).Before(q.timerAt) {
			return
		}
		q.timer.Stop()
	}
	q.timerAt = now.Add(d)
	q.timer = time.AfterFunc(d, func() {
		q.mu.Lock()
		defer q.mu.Unlock()
		q.timer = nil
		now := time.Now()
		q.resize(now)
		q.setTimer(now)
	})
}

// pick chooses the endpoint for a send that the gate has let in. It returns the capacity if
// no endpoint has any left.
func (q *serviceQueue) pick(w work.Work, target time.Duration, used []string, leave func(tokens int64)) (endpt.Endpoint, *grant, bool) {
	q.mu.Lock()
	e, ok := q.f.pick(q.service, used)
	if ok {
		// Until the send has begun, others would find the endpoint as free as this one did.
		q.f.endpoints.Begin(e)
		q.running[e.Incarnation()]++
	} else {
		q.resize(time.Now())
	}
	q.mu.Unlock()
	if !ok {
		leave(gate.NotRun)
		return endpt.Endpoint{}, nil, false
	}
	return e, &grant{queue: q, work: w, endpoint: e, leave: leave, begin: time.Now(), target: target}, true
}

// cancel returns the capacity of a send that has not begun.
func (g *grant) cancel() {
	if g != nil {
		g.end(context.Background(), &upstr.NotRunError{Gone: true}, false)
	}
}

// end returns the capacity after a send. err is the error of the send, and isSuccess
// reports whether it gave an answer that shows how long the work takes.
func (g *grant) end(ctx context.Context, err error, isSuccess bool) {
	if g == nil {
		return
	}
	q, id, now := g.queue, g.endpoint.Incarnation(), time.Now()
	q.f.endpoints.End(g.endpoint)
	q.mu.Lock()
	q.running[id]--
	if q.running[id] == 0 {
		delete(q.running, id)
	}
	var notRun *upstr.NotRunError
	tokens := int64(0)
	switch {
	case err == nil:
		if isSuccess && g.target > 0 {
			q.limits.Answered(id, q.running[id], now.Sub(g.begin), g.target, now)
		} else {
			q.limits.Succeeded(id)
		}
		if isSuccess {
			tokens = 1
		}
	case !errors.As(err, &notRun):
		// A request that used up its time shows at least that the work takes so long.
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			tokens = 1
		}
	default:
		tokens = gate.NotRun
		q.recordNotRun(ctx, g, notRun, now)
	}
	if q.waiters > 0 {
		q.resize(now)
		q.setTimer(now)
	}
	q.mu.Unlock()
	g.leave(tokens)
}

// recordNotRun lowers the limit of an endpoint that has not run a request. The caller holds
// q.mu.
func (q *serviceQueue) recordNotRun(ctx context.Context, g *grant, notRun *upstr.NotRunError, now time.Time) {
	id := g.endpoint.Incarnation()
	switch {
	case notRun.Gone:
	case notRun.Status != 0:
		q.limits.Refused(id, q.running[id], q.gate.ServiceTime(g.work), now)
	case ctx.Err() == nil:
		q.limits.Failed(id, now)
	}
}
