package speed

import (
	"cmp"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// fleet is a service whose endpoints are observed at intervals.
type fleet struct {
	group  []*Estimator
	random *rand.Rand
	now    time.Duration
	sigma  float64
	// observed is the number of endpoints that get requests, 0 for all.
	observed int
}

func newFleet(n int, seed uint64, sigma float64) *fleet {
	f := &fleet{random: rand.New(rand.NewPCG(seed, 7)), sigma: sigma}
	for range n {
		f.group = append(f.group, &Estimator{})
	}
	return f
}

// duration returns the duration of a unit of work with noise; one in a hundred takes five
// times as long.
func (f *fleet) duration(typical time.Duration) time.Duration {
	factor := math.Exp(f.sigma * f.random.NormFloat64())
	if f.random.IntN(100) == 0 {
		factor *= 5
	}
	return time.Duration(factor * float64(typical))
}

// round has each endpoint observed once, and judges. speedOf is the speed of each.
func (f *fleet) round(interval time.Duration, speedOf func(i int) float64) {
	f.now += interval
	for i, e := range f.group {
		if f.observed > 0 && i >= f.observed {
			break
		}
		e.Observe(f.duration(time.Duration(float64(24*time.Millisecond)/speedOf(i))), f.now)
	}
	f.now += sampleSpan
	Judge(f.group, nil, f.now)
}

func even(int) float64 { return 1 }

// oneInFour gives one in four engines a lower speed, as one customer's have.
func oneInFour(i int) float64 {
	if i%4 == 0 {
		return 0.55
	}
	return 1.2
}

// A lasting difference must be found within seconds, also under noise, and fast endpoints not be
// taken for slow beside it.
func TestLastingDifference(t *testing.T) {
	for _, n := range []int{4, 44, 700} {
		g, total, most, slow, wrong, windows := NewWithT(t), 0, 0, 0, 0, 0
		for seed := range uint64(1 + 80/n) {
			f, found := newFleet(n, seed, 0.5), make(map[int]int)
			for rounds := 1; rounds <= 40; rounds++ {
				f.round(time.Second, oneInFour)
				for i, e := range f.group {
					if e.Factor() > 1 {
						found[i] = cmp.Or(found[i], rounds)
					}
				}
			}
			windows += n * 3 / 4
			for i, rounds := range found {
				if i%4 > 0 {
					wrong++
					continue
				}
				total, most, slow = total+rounds, max(most, rounds), slow+1
				g.Expect(f.group[i].Factor()).To(BeNumerically("~", 2.18, 0.8))
			}
		}
		t.Logf("%d endpoints: believed after %.1f observations in the mean, %d at most, of %d slow ones; %d of %d fast ones taken for slow",
			n, float64(total)/float64(slow), most, slow, wrong, windows)
		g.Expect(slow).To(Equal(windows/3), "all slow ones are found")
		g.Expect(wrong).To(BeNumerically("<=", 1+windows/1000), "fast ones taken for slow in a window of 40 observations")
		g.Expect(most).To(BeNumerically("<=", 32))
	}
}

// Noise must not move requests between endpoints that are equally fast, also when all of them
// slow down together, as under load: under 1 in 1,000 windows of 40 observations.
func TestNoiseIsIgnored(t *testing.T) {
	const trials, observations = 300, 200
	for _, c := range []struct{ n, observed int }{{3, 2}, {3, 3}, {4, 4}, {44, 44}} {
		n := c.observed
		for _, interval := range []time.Duration{50 * time.Millisecond, time.Second} {
			slow, spells, windows := 0, 0, trials*observations/40*n
			for seed := range uint64(trials) {
				f := newFleet(c.n, seed, 0.5)
				f.observed = c.observed
				wasSlow, wasInSpell := make([]bool, c.n), make([]bool, c.n)
				for o := range observations {
					f.round(interval, func(int) float64 { return 1 - 0.75*float64(o*2/observations) })
					for i, e := range f.group {
						if e.Factor() > 1 && !wasSlow[i] {
							slow++
						}
						if e.InSpell() && !wasInSpell[i] {
							spells++
						}
						wasSlow[i], wasInSpell[i] = e.Factor() > 1, e.InSpell()
					}
				}
			}
			t.Logf("%d endpoints, %d of them observed, each per %v: of %d windows %d taken for slow, %d for a spell", c.n, n, interval+sampleSpan, windows, slow, spells)
			g := NewWithT(t)
			g.Expect(float64(slow) / float64(windows)).To(BeNumerically("<", 0.001))
			g.Expect(float64(spells) / float64(windows)).To(BeNumerically("<", 0.001))
		}
	}
}

// An engine that is slow for two seconds must be avoided for that time, and not be taken for
// a slow one afterwards.
func TestSpell(t *testing.T) {
	g, f := NewWithT(t), newFleet(44, 1, 0.2)
	for range 100 {
		f.round(0, even)
	}
	const rounds = 2 * int(time.Second/sampleSpan)
	began := 0
	for i := range 3 * rounds {
		f.round(0, func(e int) float64 {
			if e == 0 && i < rounds {
				return 1.0 / 3
			}
			return 1
		})
		if f.group[0].InSpell() && began == 0 {
			began = i + 1
		}
		for j, e := range f.group {
			g.Expect(e.Factor()).To(BeEquivalentTo(1), "engine %d at %d", j, i)
			g.Expect(j > 0 && e.InSpell()).To(BeFalse(), "engine %d at %d", j, i)
		}
	}
	t.Logf("spell noticed after %v", time.Duration(began)*sampleSpan)
	g.Expect(began).To(And(BeNumerically(">", 0), BeNumerically("<", rounds/2)))
	g.Expect(f.group[0].InSpell()).To(BeFalse(), "the spell has ended")
}

// One decode step that stalls for half a second delays the events of all requests of an
// engine. These are one observation, and not a spell.
func TestStallIsNoSpell(t *testing.T) {
	g, f := NewWithT(t), newFleet(4, 1, 0)
	for range 100 {
		f.round(0, even)
	}
	for range 8 {
		f.group[0].Observe(500*time.Millisecond, f.now)
	}
	for range 20 {
		f.round(0, even)
		g.Expect(f.group[0].InSpell()).To(BeFalse())
	}
}

// Of two endpoints, the faster one must not get the requests of all entries. With a third one
// that nobody has measured, the slower of the two is left.
func TestTwoEndpointsHaveNoTypicalOne(t *testing.T) {
	g := NewWithT(t)
	for endpoints, factor := range map[int]float64{1: 1, 2: 1, 3: 1.2 / 0.55} {
		f := newFleet(endpoints, 1, 0)
		f.observed = 2
		for range 100 {
			f.round(time.Second, oneInFour)
		}
		g.Expect(f.group[0].Factor()).To(BeNumerically("~", factor, 0.1), "%d endpoints", endpoints)
	}
}

// A slow endpoint gets no requests. It must be tried again, or it stays slow forever; between
// the limits of the hysteresis it stays slow, or it would change all the time.
func TestSlowEndpointRecovers(t *testing.T) {
	g, f := NewWithT(t), newFleet(4, 1, 0)
	slowBy := func(factor float64) func(int) float64 {
		return func(i int) float64 {
			if i == 0 {
				return 1 / factor
			}
			return 1
		}
	}
	run := func(seconds int, factor float64) {
		for range seconds {
			f.round(time.Second-sampleSpan, slowBy(factor))
		}
	}
	run(60, 1.6)
	g.Expect(f.group[0].Factor()).To(BeNumerically("~", 1.6, 0.05))
	run(100, 1.3)
	g.Expect(f.group[0].Factor()).To(BeNumerically("~", 1.3, 0.02), "above the lower limit")
	run(100, 1.1)
	g.Expect(f.group[0].Factor()).To(BeEquivalentTo(1))
	run(100, 1.3)
	g.Expect(f.group[0].Factor()).To(BeEquivalentTo(1), "below the upper limit")
	run(60, 2)
	judgeAfter := func(d time.Duration) float64 {
		f.now += d
		Judge(f.group, nil, f.now)
		return f.group[0].Factor()
	}
	g.Expect(judgeAfter(staleTime-time.Second)).To(BeNumerically("~", 2, 0.1), "not observed")
	g.Expect(judgeAfter(2*time.Second)).To(BeNumerically("~", 2, 0.1), "kept without observations")
	g.Expect(judgeAfter(staleTime)).To(BeEquivalentTo(1), "not observed for long")
}

// An entry sees one request in ten seconds at each endpoint. With its neighbours' sums it must
// find the slow one, and without them must not guess.
func TestNeighboursSums(t *testing.T) {
	g, f := NewWithT(t), newFleet(4, 1, 0.2)
	for range 3 {
		f.round(10*time.Second, oneInFour)
	}
	g.Expect(f.group[0].Factor()).To(BeEquivalentTo(1))
	others := newFleet(4, 2, 0.2)
	sums := make([]Sum, 4)
	for range 12 {
		others.round(500*time.Millisecond, oneInFour)
	}
	for i, e := range others.group {
		sums[i] = sums[i].Add(e.Recent(others.now)).Add(Sum{Samples: 5, Logs: math.NaN()}).Add(Sum{Samples: -5, Logs: 50})
		g.Expect(sums[i].Samples).To(BeNumerically("~", 12, 1))
	}
	Judge(f.group, sums, f.now)
	g.Expect(f.group[0].Factor()).To(BeNumerically("~", 2.18, 0.5))
	g.Expect(f.group[1].Factor()).To(BeEquivalentTo(1))
	g.Expect(others.group[0].Recent(others.now+buckets*bucketTime)).To(BeZero(), "sums are of the last 10 s")
}

func BenchmarkObserve(b *testing.B) {
	// Eight requests of an engine have an event each in one decode step.
	var e Estimator
	now := time.Duration(0)
	for i := 0; b.Loop(); i++ {
		if i%8 == 0 {
			now += 40 * time.Millisecond
		}
		e.Observe(40*time.Millisecond, now)
	}
}
