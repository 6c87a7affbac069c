package proxy

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/lavendermux/lavendermux/admit"
	"github.com/lavendermux/lavendermux/fault"
	"github.com/lavendermux/lavendermux/queue"
	"github.com/lavendermux/lavendermux/slots"
	"github.com/lavendermux/lavendermux/wire"
	"github.com/lavendermux/lavendermux/work"
)

const (
	testSlots   = 24
	testService = 25 * time.Millisecond
	testBudget  = 2 * time.Second
	// testMaxBytes bounds the bodies of waiting requests.
	testMaxBytes = 1 << 20
)

type (
	// queueSim runs a queue with the settings of an entry in simulated time.
	queueSim struct {
		q   *queue.Queue[simRequest]
		now time.Time
		// ends has the running requests in the order of their ends.
		ends []simEnd
		rng  *rand.Rand
		// latencies has the time from arrival to end of the served requests of each caller,
		// and refused the number of the others.
		latencies map[string][]time.Duration
		refused   map[string]int
		bodies    atomic.Int64
	}

	simRequest struct {
		caller  string
		arrived time.Time
	}

	simEnd struct {
		at     time.Time
		ticket uint64
	}
)

func newQueueSim(shares ...admit.Option) *queueSim {
	s := &queueSim{now: time.Unix(1000, 0), rng: rand.New(rand.NewPCG(7, 7)), latencies: map[string][]time.Duration{}, refused: map[string]int{}}
	opts := append(queueOptions(&s.bodies, testMaxBytes), queue.WithAdmission(admit.New(shares...)))
	s.q = queue.New[simRequest](slots.New(testSlots), opts...)
	return s
}

func testWork(caller string, now time.Time) work.Work {
	return work.Work{Caller: caller, Kind: wire.WorkKind_WORK_KIND_LIVE, Deadline: now.Add(testBudget), ExpectedTokens: 1}
}

// advance serves requests until the given time.
func (s *queueSim) advance(until time.Time) {
	for {
		s.q.Expire(s.now, func(r simRequest, _ *fault.NotRunError) { s.refused[r.caller]++ })
		for {
			r, ticket, ok := s.q.Pop(s.now)
			if !ok {
				break
			}
			end := s.now.Add(time.Duration((0.8 + 0.4*s.rng.Float64()) * float64(testService)))
			s.latencies[r.caller] = append(s.latencies[r.caller], end.Sub(r.arrived))
			s.ends = append(s.ends, simEnd{end, ticket})
		}
		slices.SortFunc(s.ends, func(a, b simEnd) int { return a.at.Compare(b.at) })
		if len(s.ends) == 0 || s.ends[0].at.After(until) {
			s.now = until
			return
		}
		s.now = s.ends[0].at
		s.q.Done(s.ends[0].ticket, 1, s.now)
		s.ends = s.ends[1:]
	}
}

func (s *queueSim) push(w work.Work) error {
	_, err := s.q.Push(simRequest{w.Caller, s.now}, w, s.now)
	if err != nil {
		s.refused[w.Caller]++
	}
	return err
}

// run lets callers send at the given rates per second for d.
func (s *queueSim) run(d time.Duration, rates map[string]float64) {
	type arrival struct {
		at     time.Time
		caller string
	}
	var arrivals []arrival
	for i := range len(rates) {
		caller := callerName(i)
		for at := 0.0; ; {
			at += s.rng.ExpFloat64() / rates[caller]
			if at > d.Seconds() {
				break
			}
			arrivals = append(arrivals, arrival{s.now.Add(time.Duration(at * float64(time.Second))), caller})
		}
	}
	slices.SortFunc(arrivals, func(a, b arrival) int {
		return cmp.Or(a.at.Compare(b.at), cmp.Compare(a.caller, b.caller))
	})
	for _, a := range arrivals {
		s.advance(a.at)
		_ = s.push(testWork(a.caller, a.at))
	}
}

func callerName(i int) string { return fmt.Sprintf("customer-%02d", i) }

// othersP99 returns the 99th percentile of the latency of all customers but the first, and
// how many of their requests were refused.
func (s *queueSim) othersP99() (p99 time.Duration, refused int) {
	var all []time.Duration
	for caller, l := range s.latencies {
		if caller != callerName(0) {
			all = append(all, l...)
			refused += s.refused[caller]
		}
	}
	slices.Sort(all)
	return all[len(all)*99/100], refused
}

// flood returns what happens to 87 customers in 5 s in which the first sends factor times its
// share, after 20 s in which all send nine tenths of theirs.
func flood(factor float64) *queueSim {
	const customers = 87
	s := newQueueSim(shareOptions()...)
	share := testSlots / testService.Seconds() / customers
	rates := map[string]float64{}
	for i := range customers {
		rates[callerName(i)] = 0.9 * share
	}
	s.run(20*time.Second, rates)
	s.latencies, s.refused = map[string][]time.Duration{}, map[string]int{}
	rates[callerName(0)] = factor * share
	s.run(5*time.Second, rates)
	return s
}

// One customer sends ten times its share for 5 s, or far more, so that more arrives than
// the endpoints can serve. Without shares all customers wait for its backlog, and are
// refused when it fills the queue.
func TestOneCustomerFloods(t *testing.T) {
	g := NewWithT(t)
	before, _ := flood(0.9).othersP99()
	for _, factor := range []float64{10, 20, 60} {
		p99, refused := flood(factor).othersP99()
		g.Expect(p99).To(BeNumerically("<", 2*before), "at %v times its share; %s before", factor, before)
		g.Expect(refused).To(BeZero())
	}
}

// Requests of a higher priority overtake those that wait, and calls that the system makes
// itself come last. Otherwise an urgent request waits as long as all others.
func TestUrgentRequestsOvertake(t *testing.T) {
	g := NewWithT(t)
	s := newQueueSim(shareOptions()...)
	other := testWork("other", s.now)
	other.Priority = -1
	for range 3 * testSlots {
		g.Expect(s.push(other)).To(Succeed())
	}
	s.advance(s.now)
	internal, routine, urgent := testWork("internal", s.now), testWork("routine", s.now), testWork("urgent", s.now)
	internal.Kind, routine.Priority = wire.WorkKind_WORK_KIND_ROLLOUT, -1
	for _, w := range []work.Work{internal, routine, urgent} {
		g.Expect(s.push(w)).To(Succeed())
	}
	s.advance(s.now.Add(time.Second))
	end := func(caller string) time.Duration { return s.latencies[caller][0] }
	g.Expect(end("urgent")).To(BeNumerically("<", end("routine")))
	g.Expect(end("routine")).To(BeNumerically("<=", end("internal")))
	g.Expect(s.latencies["other"][testSlots:]).To(HaveEach(BeNumerically(">", end("urgent")-testService/2)), "it has overtaken all that waited")
}

// A request that can't end within its time is refused when it arrives. Otherwise its caller
// learns only at the end of its time that it has to ask again.
func TestRequestWithoutEnoughTimeIsRefusedAtArrival(t *testing.T) {
	g := NewWithT(t)
	s := newQueueSim(shareOptions()...)
	for range 6 * testSlots {
		g.Expect(s.push(testWork("other", s.now))).To(Succeed())
	}
	s.advance(s.now)
	hasty := testWork("hasty", s.now)
	hasty.Deadline = s.now.Add(4 * testService)
	g.Expect(s.push(hasty)).NotTo(Succeed())
	hasty.Deadline = s.now.Add(12 * testService)
	g.Expect(s.push(hasty)).To(Succeed())
}

// The process is paused for longer than callers wait. Those that wait get their refusal at
// once, and the pause doesn't count as the time that requests take: later ones would be
// refused that could be served.
func TestPausedProcess(t *testing.T) {
	g := NewWithT(t)
	s := newQueueSim(shareOptions()...)
	s.run(time.Second, map[string]float64{callerName(0): 400})
	for range 3 * testSlots {
		g.Expect(s.push(testWork("waiting", s.now))).To(Succeed())
	}
	s.advance(s.now)
	s.now = s.now.Add(10 * time.Second)
	for i := range s.ends {
		s.ends[i].at = s.now
	}
	s.advance(s.now)
	g.Expect(s.refused["waiting"]).To(BeNumerically(">=", 2*testSlots))
	g.Expect(s.q.Waiting()).To(BeZero())
	for range 4 * testSlots {
		g.Expect(s.push(testWork("later", s.now))).To(Succeed())
	}
	s.advance(s.now.Add(time.Second))
	g.Expect(s.refused["later"]).To(BeZero())
}

// The bodies of waiting requests take a bounded part of the memory. A request that outranks
// waiting ones displaces as many as make room for it, others are refused.
func TestBodiesOfWaitingRequestsAreBounded(t *testing.T) {
	g := NewWithT(t)
	s := newQueueSim(shareOptions()...)
	large := testWork("large", s.now)
	large.Bytes, large.Priority = testMaxBytes/4, -1
	for range testSlots + 4 {
		g.Expect(s.push(large)).To(Succeed())
		s.advance(s.now)
	}
	g.Expect(s.push(large)).NotTo(Succeed())
	s.advance(s.now)
	g.Expect(s.bodies.Load()).To(BeEquivalentTo(testMaxBytes))
	urgent := testWork("urgent", s.now)
	urgent.Bytes = testMaxBytes / 2
	g.Expect(s.push(urgent)).To(Succeed())
	s.advance(s.now)
	g.Expect(s.refused["large"]).To(Equal(3))
	g.Expect(s.bodies.Load()).To(BeEquivalentTo(testMaxBytes))
	s.advance(s.now.Add(time.Second))
	g.Expect(s.bodies.Load()).To(BeZero(), "nothing waits any more")
}

// All callers that were refused at one moment would return at one moment, and be refused
// again.
func TestRetryAfterDiffersBetweenRequests(t *testing.T) {
	g := NewWithT(t)
	for _, backlog := range []time.Duration{0, 400 * time.Millisecond} {
		var all []time.Duration
		for i := range 1000 {
			id := fmt.Sprint("request-", i)
			g.Expect(retryAfter(backlog, id)).To(Equal(retryAfter(backlog, id)))
			all = append(all, retryAfter(backlog, id))
		}
		slices.Sort(all)
		shortest := max(minRetryAfter, backlog*3/4)
		g.Expect(all[0]).To(BeNumerically(">=", shortest))
		g.Expect(all[999]).To(BeNumerically("<=", shortest*5/3))
		for tenth := range 9 {
			g.Expect(all[100*tenth+100]-all[100*tenth]).To(BeNumerically("~", shortest/15, shortest/30), "they are spread evenly")
		}
	}
}
