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

	. "github.com/onsi/gomega"

	"github.com/lavendermux/lavendermux/endpt"
	"github.com/lavendermux/lavendermux/epset"
	"github.com/lavendermux/lavendermux/logs"
	"github.com/lavendermux/lavendermux/manif"
	"github.com/lavendermux/lavendermux/meter"
	"github.com/lavendermux/lavendermux/reqbuf"
	"github.com/lavendermux/lavendermux/upstr"
)

// desks is a service of four endpoints that answer after some time.
type desks struct {
	*WithT
	f   *Forwarder
	set *epset.Registry

	mu    sync.Mutex
	takes func(endpoint string, request int) time.Duration
	sends []time.Time
}

const (
	target   = 150 * time.Millisecond
	workTime = 24 * time.Millisecond
)

// Send implements upstr.Sender.
func (d *desks) Send(ctx context.Context, c upstr.Call) (*upstr.Response, error) {
	d.mu.Lock()
	var request int
	_, _ = fmt.Sscan(c.ID, &request)
	takes := d.takes(c.Endpoint.ID, request)
	d.sends = append(d.sends, time.Now())
	d.mu.Unlock()
	select {
	case <-time.After(takes):
		return &upstr.Response{Status: http.StatusOK, Body: io.NopCloser(strings.NewReader("x"))}, nil
	case <-ctx.Done():
		return nil, &upstr.UnknownOutcomeError{Endpoint: c.Endpoint.ID, Cause: ctx.Err()}
	}
}

// withDesks runs f with four endpoints that take as long as takes says.
func withDesks(t *testing.T, takes func(endpoint string, request int) time.Duration, f func(d *desks)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		d := &desks{WithT: NewWithT(t), set: epset.New(func() {}), takes: takes}
		for i := range 4 {
			d.set.Put(endpt.Endpoint{ID: fmt.Sprint("desk-", i), Service: "desk", Slots: 6})
		}
		d.f = New(d.set, d, "", logs.New(io.Discard), meter.New())
		f(d)
		time.Sleep(time.Minute)
	})
}

// send sends a request, and returns how long it took and the delays of its copies.
func (d *desks) send(request int, kind manif.Kind) (took time.Duration, delays []time.Duration, err error) {
	route := &manif.Route{Name: "r", Kind: kind, Target: target, Timeout: 2 * time.Second, MaxAttempts: 2,
		Split: []manif.WeightedService{{Service: "desk", Weight: 1}}}
	d.sends = nil
	start := time.Now()
	_, err = d.f.Forward(context.Background(), Request{ID: fmt.Sprint(request), Body: reqbuf.Of(fmt.Append(nil, request)), Route: route})
	took = time.Since(start)
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, at := range d.sends {
		delays = append(delays, at.Sub(start))
	}
	return took, delays, err
}

func (d *desks) counted(outcome string) (n int64) {
	s, ok := d.f.meter.Registry().Get(fmt.Sprintf(`lavendermux_hedges_total{route="r",outcome="%s"}`, outcome)).(interface{ Count() int64 })
	if !ok {
		return 0
	}
	return s.Count()
}

// An endpoint stops responding. The second copy of its request must go out so early that its
// answer is within the objective, once the entry knows how long requests take.
func TestHedgeIsInTime(t *testing.T) {
	const warm, silent = 20, 100
	first := ""
	withDesks(t, func(endpoint string, request int) time.Duration {
		if request < silent {
			return workTime
		}
		if first == "" {
			first = endpoint
		}
		if endpoint == first {
			return time.Minute
		}
		return workTime
	}, func(d *desks) {
		for i := range warm {
			_, delays, err := d.send(i, manif.Idempotent)
			d.Expect(err).NotTo(HaveOccurred())
			d.Expect(delays).To(HaveLen(1))
		}
		took, delays, err := d.send(silent, manif.Idempotent)
		d.Expect(err).NotTo(HaveOccurred())
		d.Expect(delays).To(Equal([]time.Duration{0, target - 2*workTime}))
		d.Expect(took).To(Equal(target - workTime))
		d.Expect(d.counted("sent")).To(BeEquivalentTo(1))
		d.Expect(d.counted("inTime")).To(BeEquivalentTo(1))
		time.Sleep(time.Second)
		d.set.JudgeSpeeds(time.Now())
		d.Expect(d.set.OwnSpeeds()[first+"/0"].Samples).To(BeNumerically(">", 0), "the copy that was cancelled is measured")
	})
}

// The second copy must not go out while most requests still run, nor before enough is known, nor
// later than it did without that. Each case is a median, and when the copy goes out.
func TestHedgeDelay(t *testing.T) {
	for _, c := range []struct {
		median, delay time.Duration
		known         int
	}{
		{workTime, target - 2*workTime, minMedianSamples},
		{workTime, time.Duration(hedgeTargetFactor * float64(target)), minMedianSamples - 1},
		{40 * time.Millisecond, 120 * time.Millisecond, minMedianSamples},
		{100 * time.Millisecond, time.Duration(hedgeTargetFactor * float64(target)), minMedianSamples},
		{time.Millisecond, target - 2*time.Millisecond, minMedianSamples},
	} {
		withDesks(t, func(_ string, request int) time.Duration {
			if request < c.known {
				return c.median
			}
			return time.Second
		}, func(d *desks) {
			for i := range c.known {
				_, _, err := d.send(i, manif.Idempotent)
				d.Expect(err).NotTo(HaveOccurred())
			}
			_, delays, err := d.send(c.known, manif.Idempotent)
			d.Expect(err).NotTo(HaveOccurred())
			d.Expect(delays).To(Equal([]time.Duration{0, c.delay}), "median %v", c.median)
		})
	}
}

// All endpoints slow down. Early copies of all requests would double their load; only a
// twentieth and the burst may have one, and the others wait as long as they did without.
func TestHedgeBudget(t *testing.T) {
	const warm, slow = 20, 100
	withDesks(t, func(_ string, request int) time.Duration {
		if request < warm {
			return workTime
		}
		return 180 * time.Millisecond // after an early hedge, and before a late one
	}, func(d *desks) {
		hedged := 0
		for i := range warm + slow {
			_, delays, err := d.send(i, manif.Idempotent)
			d.Expect(err).NotTo(HaveOccurred())
			hedged += len(delays) - 1
		}
		d.Expect(hedged).To(BeNumerically("<=", hedgeBurst+hedgeRatio*(warm+slow)))
		d.Expect(hedged).To(BeNumerically(">=", hedgeBurst))
		// Once most of the recent requests were slow, no copy of theirs is early.
		d.Expect(d.counted("overBudget")).To(BeNumerically(">", recentDurations/4-hedged))
		d.takes = func(string, int) time.Duration { return time.Second }
		_, delays, _ := d.send(warm+slow, manif.Idempotent)
		d.Expect(delays).To(Equal([]time.Duration{0, time.Duration(hedgeTargetFactor * float64(target))}), "an endpoint that may have stopped responding")
	})
}

// A request that may run once only must never have a second copy.
func TestNoHedgeOfRequestsThatRunOnce(t *testing.T) {
	withDesks(t, func(_ string, request int) time.Duration {
		if request < 2*minMedianSamples {
			return workTime
		}
		return time.Second
	}, func(d *desks) {
		for i := range 3 * minMedianSamples {
			_, delays, err := d.send(i, manif.AtMostOnce)
			d.Expect(err).NotTo(HaveOccurred())
			d.Expect(delays).To(HaveLen(1))
		}
	})
}
