package proxy

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/gomega"

	"github.com/lavendermux/lavendermux/endpt"
	"github.com/lavendermux/lavendermux/epset"
	"github.com/lavendermux/lavendermux/logs"
	"github.com/lavendermux/lavendermux/manif"
	"github.com/lavendermux/lavendermux/meter"
	"github.com/lavendermux/lavendermux/reqbuf"
	"github.com/lavendermux/lavendermux/upstr"
)

type (
	// fakeEndpoints is a service whose endpoints run as many requests at once as they have
	// places, and refuse others.
	fakeEndpoints struct {
		mu sync.Mutex
		// places has the number of requests that each endpoint runs at once.
		places map[string]int
		// dead has the endpoints to which no connection can be made.
		dead    map[string]bool
		service time.Duration
		running map[string]int
		// runs counts how often each request has run, refusals how often one was refused.
		runs     map[string]int
		refusals int
		order    []string
	}

	fakeBody struct {
		io.Reader
	}

	waitWorld struct {
		g         *WithT
		endpoints *fakeEndpoints
		set       *epset.Registry
		f         *Forwarder
	}

	// discardSink takes a streamed answer.
	discardSink struct{}
)

func (fakeBody) Close() error { return nil }

func (discardSink) WriteHeader(int, http.Header) {}

func (discardSink) Write([]byte) error { return nil }

// Send implements upstr.Sender.
func (s *fakeEndpoints) Send(ctx context.Context, c upstr.Call) (*upstr.Response, error) {
	id := c.Endpoint.ID
	s.mu.Lock()
	if s.dead[id] {
		s.mu.Unlock()
		return nil, &upstr.NotRunError{Endpoint: id, Cause: errors.New("connection refused")}
	}
	if s.running[id] >= s.places[id] {
		s.refusals++
		s.mu.Unlock()
		return nil, &upstr.NotRunError{Endpoint: id, Status: http.StatusServiceUnavailable}
	}
	s.running[id]++
	s.runs[c.ID]++
	s.order = append(s.order, c.ID)
	service := s.service
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		s.running[id]--
		s.mu.Unlock()
	}()
	select {
	case <-time.After(service):
		return &upstr.Response{Status: http.StatusOK, Body: fakeBody{strings.NewReader("id: 0\ndata: done\n\n")}}, nil
	case <-ctx.Done():
		return nil, &upstr.UnknownOutcomeError{Endpoint: id, Cause: ctx.Err()}
	}
}

func (s *fakeEndpoints) setPlaces(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id := range s.places {
		s.places[id] = n
	}
}

func (s *fakeEndpoints) setService(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.service = d
}

// withWorld runs f with a forwarder whose requests wait, and endpoints desk-0, desk-1, ...
// that declare 6 slots and have as many places as given.
func withWorld(t *testing.T, places []int, f func(w *waitWorld)) {
	synctest.Test(t, func(t *testing.T) {
		w := &waitWorld{g: NewWithT(t), set: epset.New(func() {}), endpoints: &fakeEndpoints{
			places: map[string]int{}, dead: map[string]bool{}, service: testService, running: map[string]int{}, runs: map[string]int{}}}
		w.f = New(w.set, w.endpoints, "", logs.New(io.Discard), meter.New(), WithQueue(0))
		for i, n := range places {
			w.endpoints.places[deskID(i)] = n
			w.set.Put(desk(i))
		}
		f(w)
	})
}

func deskID(i int) string { return fmt.Sprint("desk-", i) }

func desk(i int) endpt.Endpoint {
	return endpt.Endpoint{ID: deskID(i), Service: "desk", Slots: 6, StartedMs: 1}
}

func deskRequest(id string) Request {
	return Request{ID: id, Method: http.MethodPost, Target: "/" + id, Body: reqbuf.Of([]byte(id)), Deadline: time.Now().Add(testBudget),
		Route: &manif.Route{Name: "desk", Kind: manif.AtMostOnce, MaxAttempts: 1, Split: []manif.WeightedService{{Service: "desk", Weight: 1}}}}
}

// forward sends a request and returns the refusal, or nil after an answer.
func (w *waitWorld) forward(r Request) *RefusedError {
	_, err := w.f.Forward(context.Background(), r)
	var refused *RefusedError
	if err != nil {
		w.g.Expect(errors.As(err, &refused)).To(BeTrue(), "%v", err)
	}
	return refused
}

// sendAll sends n requests at once, which must be answered, and returns when all have been sent.
func (w *waitWorld) sendAll(name string, n int) (wait func()) {
	var wg sync.WaitGroup
	for i := range n {
		wg.Go(func() { w.g.Expect(w.forward(deskRequest(fmt.Sprint(name, i)))).To(BeNil()) })
	}
	time.Sleep(time.Millisecond)
	return wg.Wait
}

// expectIdle expects that all capacity has been returned.
func (w *waitWorld) expectIdle() {
	synctest.Wait()
	q := w.f.queueOf("desk")
	w.g.Expect(q.gate.Load().GetRunning()).To(BeZero())
	w.g.Expect(q.gate.Waiting()).To(BeZero())
	w.g.Expect(q.running).To(BeEmpty())
	w.g.Expect(q.waiters).To(BeZero())
	w.g.Expect(w.f.queues.bodies.Load()).To(BeZero())
}

// Endpoints run a third of what they declare, and twice as much arrives as they can serve;
// later they are free. Each request is answered after one run, or refused without any, and
// the endpoints aren't asked in turn by all that wait.
func TestFullEndpoints(t *testing.T) {
	withWorld(t, []int{2, 2, 2}, func(w *waitWorld) {
		const requests, interval = 1200, 2 * time.Millisecond
		var wg sync.WaitGroup
		var mu sync.Mutex
		refused := map[string]*RefusedError{}
		for i := range requests {
			wg.Go(func() {
				r := deskRequest(fmt.Sprint("r", i))
				err := w.forward(r)
				mu.Lock()
				defer mu.Unlock()
				refused[r.ID] = err
			})
			time.Sleep(interval)
		}
		wg.Wait()
		answered := 0
		for id, err := range refused {
			if err == nil {
				answered++
				w.g.Expect(w.endpoints.runs[id]).To(Equal(1), id)
				continue
			}
			w.g.Expect(w.endpoints.runs[id]).To(BeZero(), id)
			w.g.Expect(err.RetryAfter).To(BeNumerically(">=", minRetryAfter))
		}
		w.g.Expect(refused).To(HaveLen(requests))
		capacity := int(requests * interval * 6 / testService)
		w.g.Expect(answered).To(BeNumerically(">", capacity*9/10))
		w.g.Expect(w.endpoints.refusals).To(BeNumerically("<", requests/2))
		w.expectIdle()
		w.endpoints.setPlaces(12)
		for i := range requests {
			wg.Go(func() {
				w.g.Expect(w.forward(deskRequest(fmt.Sprint("later", i)))).To(BeNil())
			})
			time.Sleep(interval)
		}
		wg.Wait()
		w.expectIdle()
		w.g.Expect(w.f.queueOf("desk").room).To(Equal(36), "the limits have recovered")
	})
}

// The endpoints leave while requests wait. The requests must be refused at once, as those that
// come later, and not at the end of their time; those that run are answered.
func TestAllEndpointsLeaveWhileRequestsWait(t *testing.T) {
	withWorld(t, []int{12, 12}, func(w *waitWorld) {
		w.endpoints.setService(time.Second)
		start := time.Now()
		refused := make(chan *RefusedError, 100)
		for i := range 30 {
			go func() { refused <- w.forward(deskRequest(fmt.Sprint("r", i))) }()
		}
		time.Sleep(100 * time.Millisecond)
		w.set.Retain(nil, time.Now())
		w.g.Expect(w.forward(deskRequest("late"))).To(HaveField("RetryAfter", refusedRetryAfter))
		for range 6 {
			w.g.Expect(<-refused).To(HaveField("RetryAfter", refusedRetryAfter))
		}
		w.g.Expect(time.Since(start)).To(BeNumerically("<=", 100*time.Millisecond+refreshInterval))
		for range 24 {
			w.g.Expect(<-refused).To(BeNil())
		}
		w.expectIdle()
	})
}

// An endpoint comes while requests wait for another one, which stays busy for as long as they can
// wait. They must learn of it.
func TestEndpointComesWhileRequestsWait(t *testing.T) {
	withWorld(t, []int{12, 12}, func(w *waitWorld) {
		w.set.Retain(map[string]bool{deskID(0): true}, time.Now())
		w.endpoints.setService(1200 * time.Millisecond)
		w.sendAll("r", 12)
		w.endpoints.setService(testService)
		start := time.Now()
		time.AfterFunc(100*time.Millisecond, func() { w.set.Put(desk(1)) })
		w.g.Expect(w.forward(deskRequest("waiting"))).To(BeNil())
		w.g.Expect(time.Since(start)).To(BeNumerically("<=", 100*time.Millisecond+refreshInterval+testService))
		time.Sleep(2 * time.Second)
		w.expectIdle()
	})
}

// A caller disconnects at the moment at which its request is granted capacity. The order of
// the two events is random; hence 50 runs. Capacity that is lost then is lost until the
// process restarts.
func TestCallerDisconnectsAtTheGrant(t *testing.T) {
	for range 50 {
		withWorld(t, []int{1}, func(w *waitWorld) {
			w.set.Put(endpt.Endpoint{ID: deskID(0), Service: "desk", Slots: 1, StartedMs: 1})
			w.endpoints.places[deskID(0)] = 2
			begin := time.Now()
			w.sendAll("r", 2)
			ctx, disconnect := context.WithCancel(context.Background())
			go func() {
				if _, err := w.f.Forward(ctx, deskRequest("leaves")); err != nil {
					w.g.Expect(outcomeOf(err)).To(Equal("callerGone"))
				}
			}()
			synctest.Wait()
			w.g.Expect(w.f.queueOf("desk").gate.Waiting()).To(Equal(1))
			time.AfterFunc(time.Until(begin.Add(testService)), disconnect)
			time.Sleep(2 * testService)
			w.expectIdle()
			w.g.Expect(w.forward(deskRequest("next"))).To(BeNil())
		})
	}
}

// One of two endpoints has crashed and is still listed. Requests must not use up their
// attempts there while they could wait for the other one; where none can be reached they are
// refused at once.
func TestUnreachableEndpoint(t *testing.T) {
	withWorld(t, []int{12, 12}, func(w *waitWorld) {
		w.endpoints.dead[deskID(0)] = true
		w.sendAll("r", 120)()
		w.expectIdle()
		w.endpoints.dead[deskID(1)] = true
		start := time.Now()
		for i := range 20 {
			w.g.Expect(w.forward(deskRequest(fmt.Sprint("s", i)))).NotTo(BeNil())
		}
		w.g.Expect(time.Since(start)).To(BeNumerically("<", 200*time.Millisecond))
		w.expectIdle()
	})
}

// A hedged request takes capacity only if some is free and nothing waits. Otherwise a service
// that is slow because it is overloaded gets twice the load.
func TestHedgeTakesOnlyCapacityThatNobodyNeeds(t *testing.T) {
	for _, requests := range []int{1, 24} {
		withWorld(t, []int{12, 12}, func(w *waitWorld) {
			w.endpoints.setService(500 * time.Millisecond)
			var wg sync.WaitGroup
			for i := range requests {
				r := deskRequest(fmt.Sprint("r", i))
				r.Route.Kind, r.Route.MaxAttempts = manif.Idempotent, 2
				wg.Go(func() { w.g.Expect(w.forward(r)).To(BeNil()) })
			}
			wg.Wait()
			runs := 0
			for _, n := range w.endpoints.runs {
				runs += n
			}
			if requests == 1 {
				w.g.Expect(runs).To(Equal(2))
			} else {
				w.g.Expect(runs).To(Equal(requests))
			}
			w.expectIdle()
		})
	}
}

// Items of batches run at the same endpoints and are not sent through the queue. Their slots
// must not be granted to callers' requests, and while they run a refusal must not end what
// callers get.
func TestOtherWorkOfThisEntryTakesCapacity(t *testing.T) {
	withWorld(t, []int{12}, func(w *waitWorld) {
		for range 10 {
			w.set.Begin(desk(0))
		}
		w.endpoints.running[deskID(0)] = 10
		w.sendAll("r", 10)()
		w.g.Expect(w.endpoints.refusals).To(BeZero())
		w.endpoints.setPlaces(11)
		w.sendAll("s", 10)()
		w.g.Expect(w.endpoints.refusals).To(BeNumerically(">", 0))
		w.expectIdle()
	})
}

// Streams wait as other requests do, in the order of their priority. Two run at once.
func TestStreamWaits(t *testing.T) {
	withWorld(t, nil, func(w *waitWorld) {
		w.set.Put(endpt.Endpoint{ID: deskID(0), Service: "desk", Slots: 1, StartedMs: 1})
		w.endpoints.places[deskID(0)] = 2
		w.endpoints.setService(100 * time.Millisecond)
		var wg sync.WaitGroup
		for i := range 8 {
			r := deskRequest(fmt.Sprint("r", i))
			r.Route.Kind, r.Priority = manif.Stream, 8-i
			wg.Go(func() {
				_, err := w.f.Stream(context.Background(), r, "", upstr.FromStart, discardSink{})
				w.g.Expect(err).NotTo(HaveOccurred())
			})
			time.Sleep(10 * time.Millisecond)
		}
		wg.Wait()
		w.g.Expect(w.endpoints.refusals).To(BeZero())
		w.g.Expect(w.endpoints.order).To(Equal([]string{"r0", "r1", "r7", "r6", "r5", "r4", "r3", "r2"}))
		w.expectIdle()
	})
}

// The endpoints stop responding for 300 ms. What has become late meanwhile must be served
// then, although requests that can still be in time go before it.
func TestLateRequestsAreServedAfterAnInterruption(t *testing.T) {
	withWorld(t, []int{12, 12}, func(w *waitWorld) {
		w.endpoints.setService(300 * time.Millisecond)
		var wg sync.WaitGroup
		for i := range 120 {
			r := deskRequest(fmt.Sprint("r", i))
			r.Route.Target = loadObjective
			wg.Go(func() { w.g.Expect(w.forward(r)).To(BeNil()) })
			if i == 24 {
				w.endpoints.setService(testService)
			}
			time.Sleep(5 * time.Millisecond)
		}
		wg.Wait()
		w.expectIdle()
	})
}
