package hedge

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

const ms = time.Millisecond

// work draws the time of a call: 200 ms at the mean, one in a hundred five times as long.
func work(r *rand.Rand) time.Duration {
	d := 200 * math.Exp(0.5*r.NormFloat64()-0.125)
	if r.Float64() < 0.01 {
		d *= 5
	}
	return time.Duration(d * float64(ms))
}

// Seventy-two calls make a step, and the slowest decides when it ends. With a second copy
// the step is scored sooner by a quarter or more, and at most one call in twelve is
// doubled even though the times that are observed are those with the second copies.
func TestStepsAreScoredSooner(t *testing.T) {
	g := NewWithT(t)
	r := rand.New(rand.NewPCG(1, 2))
	var w Wait
	var plain, hedged time.Duration
	calls, doubled := 0, 0
	for range 200 {
		var slowest, slowestHedged time.Duration
		for range 72 {
			took := work(r)
			slowest = max(slowest, took)
			calls++
			if after := w.After(time.Second); took > after {
				doubled++
				took = min(took, after+work(r))
			}
			w.Observe(took)
			slowestHedged = max(slowestHedged, took)
		}
		plain += slowest
		hedged += slowestHedged
	}
	g.Expect(float64(hedged)).To(BeNumerically("<", 0.75*float64(plain)))
	g.Expect(float64(doubled) / float64(calls)).To(BeNumerically("<", 1.0/12))
}

// The estimate comes within a fifth of the true quantile, 400 ms, in two hundred calls, on
// nine of ten plays; on a deployment that is half or twice as fast it does so as well.
func TestEstimateComesNear(t *testing.T) {
	for name, scale := range map[string]float64{"half": 0.5, "as is": 1, "double": 2} {
		t.Run(name, func(t *testing.T) {
			near := 0
			for seed := range uint64(100) {
				r := rand.New(rand.NewPCG(seed, 7))
				var w Wait
				for range 200 {
					w.Observe(time.Duration(scale * float64(work(r))))
				}
				truth := scale * 405 * float64(ms)
				if math.Abs(float64(w.After(0))-truth) < 0.2*truth {
					near++
				}
			}
			NewWithT(t).Expect(near).To(BeNumerically(">=", 90))
		})
	}
}

// The whole service turns ten times slower. Copies of every call would double its load
// just then; after two steps the wait has followed, and few are doubled again.
func TestNoStormWhenAllIsSlow(t *testing.T) {
	g := NewWithT(t)
	r := rand.New(rand.NewPCG(3, 4))
	var w Wait
	for range 200 {
		w.Observe(work(r))
	}
	doubled := 0
	for n := range 400 {
		took := 10 * work(r)
		if took > w.After(time.Second) && n >= 200 {
			doubled++
		}
		w.Observe(took)
	}
	g.Expect(doubled).To(BeNumerically("<", 25))
}

// Nothing was observed yet, or calls take next to nothing.
func TestBounds(t *testing.T) {
	g := NewWithT(t)
	var w Wait
	g.Expect(w.After(time.Second)).To(Equal(time.Second))
	for range 100 {
		w.Observe(time.Millisecond)
	}
	g.Expect(w.After(time.Second)).To(Equal(50 * ms))
}
