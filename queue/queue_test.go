package queue

import (
	"slices"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/lavendermux/lavendermux/admit"
	"github.com/lavendermux/lavendermux/fault"
	"github.com/lavendermux/lavendermux/slots"
	"github.com/lavendermux/lavendermux/wire"
	"github.com/lavendermux/lavendermux/work"
)

func TestQueue(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "queue")
}

// tokenRate is in tokens per second: 100 tokens take a second.
const tokenRate = 100

var start = time.Unix(1000, 0)

func rollout(seconds, within float64) work.Work {
	return work.Work{
		Kind:           wire.WorkKind_WORK_KIND_ROLLOUT,
		ExpectedTokens: int64(seconds * tokenRate),
		Deadline:       at(within),
	}
}

func live(seconds, within float64) work.Work {
	w := rollout(seconds, within)
	w.Kind = wire.WorkKind_WORK_KIND_LIVE
	return w
}

func at(seconds float64) time.Time {
	return start.Add(time.Duration(seconds * float64(time.Second)))
}

func newQueue(n int, opts ...Option) *Queue[string] {
	return New[string](slots.New(n), append([]Option{WithTokenRate(tokenRate), WithMargin(1)}, opts...)...)
}

func push(q *Queue[string], name string, w work.Work, now time.Time) uint64 {
	GinkgoHelper()
	ticket, err := q.Push(name, w, now)
	Expect(err).NotTo(HaveOccurred())
	return ticket
}

// refusal pushes work that must be refused and returns the refusal.
func refusal(q *Queue[string], w work.Work, now time.Time) *fault.NotRunError {
	GinkgoHelper()
	_, err := q.Push("refused", w, now)
	var notRun *fault.NotRunError
	Expect(errors.As(err, &notRun)).To(BeTrue(), "%v", err)
	return notRun
}

func pop(q *Queue[string], now time.Time) string {
	item, _, _ := q.Pop(now)
	return item
}

func expired(q *Queue[string], now time.Time) map[string]string {
	causes := map[string]string{}
	q.Expire(now, func(item string, err *fault.NotRunError) { causes[item] = err.Cause })
	return causes
}

var _ = Describe("Queue", func() {
	// More requests arrive than the engine can finish in time. A queue without
	// prediction keeps them until their deadline, and callers learn neither that
	// nothing ran nor when to retry.
	It("refuses at once work that can't finish in time and returns when it could", func() {
		q := newQueue(1)
		for i := range 3 {
			push(q, "first", live(2, 10), start)
			Expect(pop(q, start)).To(Equal(map[bool]string{true: "first"}[i == 0]))
		}
		err := refusal(q, live(2, 5), start)
		Expect(err.Cause).To(Equal(CauseSaturated))
		Expect(err.RetryAfter).To(Equal(3*time.Second), "three times 2 s ahead and its own 2 s exceed 5 s by 3 s")

		later := start.Add(err.RetryAfter)
		q.Done(1, 2*tokenRate, at(2))
		Expect(pop(q, at(2))).To(Equal("first"))
		push(q, "again", live(2, 8), later)
	})

	It("refuses at once work that no slot is open to", func() {
		q := New[string](slots.New(2, slots.WithLiveReserve(1)))
		Expect(refusal(q, rollout(1, 100), start).Cause).To(Equal(CauseSaturated))
		push(q, "live", live(1, 100), start)
	})

	// The endpoint's role changes to live while rollouts wait for it.
	It("gives up waiting work at once when no slot is open to it any more", func() {
		endpointSlots := slots.New(1)
		q := New[string](endpointSlots, WithTokenRate(tokenRate))
		push(q, "running", rollout(1, 100), start)
		pop(q, start)
		push(q, "waiting", work.Work{Kind: wire.WorkKind_WORK_KIND_ROLLOUT}, start)
		push(q, "live", live(1, 100), start)
		Expect(expired(q, start)).To(BeEmpty())
		slots.WithLiveReserve(1)(endpointSlots)
		Expect(expired(q, start)).To(Equal(map[string]string{"waiting": CauseSaturated}))
	})

	It("refuses at once work whose service time exceeds its deadline", func() {
		q := newQueue(4)
		push(q, "probe", live(6, 5), start)
		Expect(refusal(q, live(6, 5), start).Cause).To(Equal(CauseTooLong))
	})

	// A caller sends the maximum number of tokens as the expected number, forty times
	// the real one. By that estimate nothing finishes in time.
	It("probes with work that is too long by the estimate and corrects inflated expectations", func() {
		q := newQueue(4)
		refused := 0
		for i := range 200 {
			now := at(float64(i))
			ticket, err := q.Push("answer", live(40, float64(i)+10), now)
			if err != nil {
				refused++
				continue
			}
			Expect(expired(q, now)).To(BeEmpty())
			Expect(pop(q, now)).To(Equal("answer"))
			q.Done(ticket, tokenRate, now.Add(time.Second))
		}
		Expect(refused).To(BeZero(), "the first is a probe, the others are admitted by the corrected estimate")
	})

	// All work really is too long. Each probe takes a slot until its deadline.
	It("probes at most once per interval", func() {
		q := newQueue(4)
		probes := 0
		for i := range 60 {
			if ticket, err := q.Push("long", live(40, float64(i)+10), at(float64(i))); err == nil {
				probes++
				q.Cancel(ticket, at(float64(i)))
			}
		}
		Expect(probes).To(Equal(2))
	})

	// A script submits work and cancels it. Work that never ran must not count
	// against the caller.
	It("refunds the charge of work that is cancelled before it runs", func() {
		shares := admit.New()
		q := newQueue(1, WithAdmission(shares))
		w, other := live(1, 100), live(1, 100)
		w.Caller, other.Caller = "script", "other"
		push(q, "running", other, start)
		pop(q, start)
		ticket := push(q, "waiting", w, start)
		push(q, "waiting", w, start)
		Expect(shares.Excess(w, start)).To(BeNumerically(">", 0))
		q.Cancel(ticket, start)
		Expect(shares.Excess(w, start)).To(BeZero())
	})

	// A short request arrives behind a queue of long ones.
	It("lets short work overtake long work that has not waited long", func() {
		q := newQueue(1)
		push(q, "running", live(1, 100), start)
		pop(q, start)
		push(q, "long", live(10, 100), start)
		push(q, "short", live(1, 100), at(5))
		q.Done(1, tokenRate, at(5))
		Expect(pop(q, at(5))).To(Equal("short"))
	})

	// With shortest job first, a steady stream of short work starves long work.
	It("serves long work first once it has waited in proportion to its length", func() {
		q := newQueue(1, WithStretch(3))
		push(q, "running", live(1, 200), start)
		pop(q, start)
		push(q, "long", live(10, 200), start)
		push(q, "short", live(1, 200), at(28))
		q.Done(1, tokenRate, at(28))
		Expect(pop(q, at(28))).To(Equal("long"))
	})

	It("orders live work before rollouts and higher priority first", func() {
		q := newQueue(1)
		push(q, "rollout", rollout(1, 100), start)
		push(q, "live", live(5, 100), start)
		urgent := live(5, 100)
		urgent.Priority = 1
		push(q, "urgent", urgent, start)
		var order []string
		for range 3 {
			item, ticket, ok := q.Pop(start)
			Expect(ok).To(BeTrue())
			Expect(pop(q, start)).To(BeEmpty(), "one slot runs one request")
			order = append(order, item)
			q.Cancel(ticket, start)
		}
		Expect(order).To(Equal([]string{"urgent", "live", "rollout"}))
	})

	// Live work arrives that displaces an admitted rollout. The rollout is refused at
	// that moment, not at its deadline.
	It("refuses displaced work at once", func() {
		q := newQueue(1)
		push(q, "running", live(2, 10), start)
		pop(q, start)
		push(q, "rollout", rollout(3, 6), start)
		push(q, "live", live(3, 10), start)
		Expect(expired(q, start)).To(Equal(map[string]string{"rollout": CauseDisplaced}))
		Expect(expired(q, start)).To(BeEmpty(), "each is refused once")
	})

	// Running work takes longer than expected, so that the work behind it can no
	// longer finish in time.
	It("gives up work as soon as it can no longer finish in time", func() {
		q := newQueue(1)
		push(q, "running", live(1, 100), start)
		pop(q, start)
		push(q, "waiting", live(2, 5), start)
		q.Cancel(1, at(4))
		Expect(pop(q, at(4))).To(BeEmpty(), "work that can't finish in time isn't started")
		next, ok := q.NextExpiry()
		Expect(ok).To(BeTrue())
		Expect(next).To(Equal(at(3)))
		Expect(expired(q, next)).To(BeEmpty())
		Expect(expired(q, next.Add(time.Millisecond))).To(Equal(map[string]string{"waiting": CauseSaturated}))
		_, ok = q.NextExpiry()
		Expect(ok).To(BeFalse())
	})

	// Live work takes all slots and keeps arriving. By the slots alone, a rollout
	// with a deadline fits into the gaps of the moment; by the forecast it does not.
	It("predicts the live work that will precede a rollout", func() {
		simulate := func(opts ...Option) error {
			q := newQueue(4, opts...)
			for i := range 120 {
				now := at(float64(i))
				for range 4 {
					push(q, "live", live(1, float64(i)+4), now)
				}
				for item, ticket, ok := q.Pop(now); ok; item, ticket, ok = q.Pop(now) {
					Expect(item).To(Equal("live"))
					q.Done(ticket, tokenRate, now.Add(time.Second))
				}
			}
			for range 4 {
				push(q, "live", live(1, 130), at(120))
				pop(q, at(120))
			}
			_, err := q.Push("rollout", rollout(20, 120+60), at(120))
			return err
		}
		Expect(simulate(WithForecastWindow(0))).To(Succeed())
		Expect(simulate()).To(MatchError(ContainSubstring(CauseSaturated)))
	})

	It("limits waiting work without a deadline", func() {
		q := newQueue(1, WithLimit(2))
		for range 2 {
			push(q, "rollout", work.Work{Kind: wire.WorkKind_WORK_KIND_ROLLOUT}, start)
		}
		Expect(refusal(q, work.Work{Kind: wire.WorkKind_WORK_KIND_ROLLOUT}, start).RetryAfter).To(BeNumerically(">", 0))
		push(q, "live", work.Work{Kind: wire.WorkKind_WORK_KIND_LIVE}, start)
		Expect(expired(q, start)).To(HaveLen(1), "live work displaces the last rollout")
		Expect(q.Load(start).Waiting).To(BeEquivalentTo(2))
	})

	It("learns the token rate of its endpoint", func() {
		q := newQueue(1)
		for range 50 {
			ticket := push(q, "slow", rollout(1, 1000), start)
			pop(q, start)
			q.Done(ticket, tokenRate, at(10))
		}
		push(q, "probe", live(1, 5), start)
		Expect(refusal(q, live(1, 5), start).Cause).To(Equal(CauseTooLong), "by now an estimate of 1 s has become 10 s")
	})

	// One caller sends as much as the endpoint can do; another sends two requests.
	It("orders callers above their fair share behind the others", func() {
		q := newQueue(1, WithAdmission(admit.New()))
		heavy, light := live(1, 10000), live(1, 10000)
		heavy.Caller, light.Caller = "heavy", "light"
		for range 20 {
			push(q, "heavy", heavy, start)
		}
		push(q, "light", light, start)
		push(q, "heavy", heavy, start)
		push(q, "light", light, start)
		var last []string
		for _, e := range q.waiting[len(q.waiting)-3:] {
			last = append(last, e.item)
		}
		Expect(last).To(Equal([]string{"light", "light", "heavy"}))
	})

	// With first come, first served, all work of a lasting overload is late by as much as the
	// first.
	It("serves work that can end by its objective before late work, which keeps its order", func() {
		q := newQueue(1)
		push(q, "running", live(2, 100), start)
		pop(q, start)
		aimed := func(by float64) work.Work {
			w := live(1, 100)
			w.Objective = at(by)
			return w
		}
		push(q, "first", aimed(4), start)
		push(q, "second", aimed(5), start)
		push(q, "fresh", aimed(12), at(6))
		q.Done(1, 2*tokenRate, at(6))
		var order []string
		for range 3 {
			item, ticket, ok := q.Pop(at(6))
			Expect(ok).To(BeTrue())
			order = append(order, item)
			q.Done(ticket, tokenRate, at(6))
		}
		Expect(order).To(Equal([]string{"fresh", "first", "second"}))
	})

	// More work with an objective arrives than the slots can do. Late work is refused at
	// arrival, and at the latest once other work has gone before it for 5/3 of its objective.
	It("refuses late work while other work takes the slots, but not after an interruption", func() {
		overload := func(q *Queue[string], from, until float64) (longest time.Duration, refused int) {
			for s := from; s < until; s += 0.5 {
				now := at(s)
				for t, r := range q.running {
					if now.Sub(r.startedAt) >= time.Second {
						q.Done(t, tokenRate, now)
					}
				}
				w := live(1, s+60)
				w.Objective = at(s + 6)
				if _, err := q.Push("work", w, now); err != nil {
					refused++
				}
				waiting := slices.Clone(q.waiting)
				for range expired(q, now) {
					refused++
				}
				for _, e := range waiting {
					if !slices.Contains(q.waiting, e) {
						longest = max(longest, now.Sub(e.pushedAt))
					}
				}
				pop(q, now)
			}
			return longest, refused
		}
		q := newQueue(1, WithForecastWindow(5*time.Second))
		longest, refused := overload(q, 0, 100)
		Expect(longest).To(BeNumerically("<=", 10500*time.Millisecond))
		Expect(refused).To(BeNumerically(">", 80))

		q = newQueue(1, WithForecastWindow(5*time.Second))
		for _, name := range []string{"running", "a", "b"} {
			w := live(1, 60)
			w.Objective = at(6)
			push(q, name, w, start)
		}
		pop(q, start)
		q.Done(1, tokenRate, at(20))
		Expect(expired(q, at(20))).To(BeEmpty())
		Expect(pop(q, at(20))).To(Equal("a"))
		Expect(expired(q, at(20.1))).To(BeEmpty(), "no other work has gone before it")
	})

	// A caller far above its share sends without a pause. Its work must not go before that of
	// others which has become late because of it.
	It("keeps work of callers above their share behind late work of others", func() {
		q := newQueue(1, WithForecastWindow(0), WithAdmission(admit.New(admit.WithPenalty(4))))
		heavy, light := live(1, 1000), live(1, 1000)
		heavy.Caller, light.Caller = "heavy", "light"
		push(q, "light", light, start)
		for range 20 {
			push(q, "heavy", heavy, start)
		}
		light.Objective = at(4)
		push(q, "late", light, start)
		heavy.Objective = at(20)
		push(q, "heavy", heavy, at(10))
		q.demote(at(10))
		i := slices.IndexFunc(q.waiting, func(e *entry[string]) bool { return e.item == "late" })
		j := slices.IndexFunc(q.waiting, func(e *entry[string]) bool { return e.work.Objective.Equal(at(20)) })
		Expect(q.waiting[i].late).To(BeTrue())
		Expect(i).To(BeNumerically("<", j))
	})

	It("removes cancelled work, waiting or running", func() {
		q := newQueue(1)
		running := push(q, "running", live(1, 10), start)
		pop(q, start)
		waiting := push(q, "waiting", live(1, 10), start)
		Expect(q.Cancel(waiting, start)).To(BeTrue())
		Expect(q.Cancel(waiting, start)).To(BeFalse())
		Expect(q.Cancel(running, start)).To(BeTrue())
		Expect(q.Load(start).Running + q.Load(start).Waiting).To(BeZero())
	})
})

// Checks for random sequences that all admitted work is started or given up,
// exactly once, and that no more work runs than there are slots. A caller whose
// work is lost here would wait forever.
func TestQueueLosesNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const n = 3
		q := New[uint64](slots.New(n, slots.WithLiveReserve(0.3)), WithTokenRate(tokenRate), WithLimit(8))
		now := start
		pending := map[uint64]bool{}
		var running []uint64
		take := func(ticket uint64) {
			if !pending[ticket] {
				t.Fatalf("work %d was returned twice or never admitted", ticket)
			}
			delete(pending, ticket)
		}
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "elapsed")) * time.Millisecond)
			if rapid.Bool().Draw(t, "push") {
				w := work.Work{
					Kind:           wire.WorkKind(rapid.IntRange(1, 2).Draw(t, "kind")),
					ExpectedTokens: int64(rapid.IntRange(0, 1000).Draw(t, "tokens")),
				}
				if rapid.Bool().Draw(t, "hasDeadline") {
					w.Deadline = now.Add(time.Duration(rapid.IntRange(0, 20).Draw(t, "within")) * time.Second)
				}
				if ticket, err := q.Push(q.lastTicket+1, w, now); err == nil {
					pending[ticket] = true
				}
			}
			q.Expire(now, func(ticket uint64, _ *fault.NotRunError) { take(ticket) })
			for item, ticket, ok := q.Pop(now); ok; item, ticket, ok = q.Pop(now) {
				take(item)
				running = append(running, ticket)
			}
			if len(running) > n {
				t.Fatalf("%d running on %d slots", len(running), n)
			}
			if len(running) > 0 && rapid.Bool().Draw(t, "done") {
				q.Done(running[0], 100, now.Add(time.Second))
				running = running[1:]
			}
			if int(q.Load(now).Waiting) != len(pending) {
				t.Fatalf("%d waiting, want %d", q.Load(now).Waiting, len(pending))
			}
		}
	})
}
