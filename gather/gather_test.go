package gather_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/gomega"

	"github.com/lavendermux/lavendermux/gather"
)

// Calls arrive before, during and after runs. A call must never get the result of a run that
// began before it: what it asks about may have changed since.
func TestRunBeginsAfterTheCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		const runTime = time.Second
		runs := 0
		f := gather.New(func(context.Context) error {
			runs++
			time.Sleep(runTime)
			return nil
		})
		var calls sync.WaitGroup
		for i := range 100 {
			calls.Go(func() {
				time.Sleep(time.Duration(i%10) * 100 * time.Millisecond)
				asked := time.Now()
				g.Expect(f.Do(t.Context())).To(Succeed())
				took := time.Since(asked)
				g.Expect(took).To(BeNumerically(">=", runTime))
				g.Expect(took).To(BeNumerically("<=", 2*runTime))
			})
		}
		calls.Wait()
		g.Expect(runs).To(Equal(2))
		g.Expect(f.Do(t.Context())).To(Succeed())
		g.Expect(runs).To(Equal(3))
	})
}

// Callers arrive one after the other, faster than the delay. They share runs, so that there are
// no more than one per delay.
func TestDelayBoundsTheRuns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		runs := 0
		f := gather.New(func(context.Context) error {
			runs++
			return nil
		}, gather.WithDelay(100*time.Millisecond))
		var calls sync.WaitGroup
		for i := range 1000 {
			calls.Go(func() {
				time.Sleep(time.Duration(i) * time.Millisecond)
				g.Expect(f.Do(t.Context())).To(Succeed())
			})
		}
		calls.Wait()
		g.Expect(runs).To(BeNumerically("<=", 11))
		time.Sleep(time.Minute)
	})
}

// One caller gives up. The run goes on for the others, who get its error.
func TestCallerGivesUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		errDown := errors.New("down")
		f := gather.New(func(context.Context) error {
			time.Sleep(time.Second)
			return errDown
		})
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		defer cancel()
		other := make(chan error, 1)
		go func() { other <- f.Do(t.Context()) }()
		g.Expect(f.Do(ctx)).To(MatchError(context.DeadlineExceeded))
		g.Expect(<-other).To(MatchError(errDown))
		time.Sleep(time.Minute)
	})
}
