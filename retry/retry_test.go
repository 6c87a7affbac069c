package retry

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lavendermux/lavendermux/fault"
)

func TestRetry(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "retry")
}

var (
	errUnknown = &fault.UnknownOutcomeError{Cause: "cutOff"}
	errLeaving = &fault.NotRunError{Cause: "draining"}
	errFull    = &fault.NotRunError{Cause: "saturated", RetryAfter: time.Second}
)

var _ = Describe("Budget", func() {
	rng := rand.New(rand.NewPCG(1, 1))

	// A connection breaks after the request may have been executed. Repeating a
	// request that is not idempotent would, for example, book a slot twice.
	It("never retries a non-idempotent request that may have run", func() {
		_, ok := New().Retry(errUnknown, false, 1, rng)
		Expect(ok).To(BeFalse())
		Expect(New().Failover(errUnknown, 1)).To(BeFalse())
		_, ok = New().Retry(errUnknown, true, 1, rng)
		Expect(ok).To(BeTrue())
		_, ok = New().Retry(errLeaving, false, 1, rng)
		Expect(ok).To(BeTrue(), "a request that did not run may be retried")
	})

	// The refusal tells when the work could finish in time. Waiting for that inside
	// the entry would hold the request until near its deadline.
	It("does not hold a request that was refused with a retry delay", func() {
		_, ok := New().Retry(errFull, true, 1, rng)
		Expect(ok).To(BeFalse())
		Expect(New().Failover(errFull, 1)).To(BeTrue(), "another endpoint may accept it at once")
	})

	// Every endpoint fails. Without a budget each request is sent three times, and
	// the endpoints get three times the load when they recover.
	It("limits the retries to its ratio of the requests", func() {
		b := New(WithRatio(0.1), WithBurst(10))
		retries := 0
		for range 1000 {
			b.Deposit()
			for attempt := 1; ; attempt++ {
				if _, ok := b.Retry(errUnknown, true, attempt, rng); !ok {
					break
				}
				retries++
			}
		}
		Expect(retries).To(BeNumerically("~", 110, 1), "a tenth of 1000, and the initial 10")
	})

	// A service slows down, and each request would be sent twice just when the service
	// can't carry it.
	It("limits the hedges to its ratio of the requests", func() {
		b := New(WithRatio(0.05), WithBurst(3))
		hedges := 0
		for range 1000 {
			b.Deposit()
			if b.Hedge() {
				hedges++
			}
		}
		Expect(hedges).To(BeNumerically("~", 52, 1), "a twentieth of 1000, and the initial 3")
	})

	It("stops after the maximum number of attempts", func() {
		_, ok := New(WithMaxAttempts(2)).Retry(errUnknown, true, 2, rng)
		Expect(ok).To(BeFalse())
	})

	// All callers fail at the same moment. If all waited the same time, all would
	// return at the same moment and fail again.
	It("spreads the retries uniformly up to a bound that doubles", func() {
		for attempt, most := range map[int]time.Duration{1: time.Second, 2: 2 * time.Second, 5: 4 * time.Second} {
			b := New(WithBackoff(time.Second, 4*time.Second), WithBurst(1000), WithMaxAttempts(9))
			var quarters [4]int
			for range 400 {
				wait, ok := b.Retry(errUnknown, true, attempt, rng)
				Expect(ok).To(BeTrue())
				Expect(wait).To(BeNumerically("<=", most))
				quarters[min(int(4*wait/most), 3)]++
			}
			Expect(quarters).To(HaveEach(BeNumerically(">", 60)), "%v", quarters)
		}
	})
})
