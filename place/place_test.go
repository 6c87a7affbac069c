package place

import (
	"math/rand/v2"
	"testing"

	. "github.com/onsi/gomega"
)

// Work goes where it ends soonest: to the fast engine until it is so full that the
// slower, emptier one is faster.
func TestFastBeforeSlowUntilFull(t *testing.T) {
	g := NewWithT(t)
	p := New()
	c := []Candidate{{Slots: 12, Pace: 1}, {Slots: 12, Pace: 1.3}}
	var first int
	for n := range 24 {
		i, ok := p.Pick(c)
		g.Expect(ok).To(BeTrue())
		c[i].Running++
		if i == 1 && first == 0 {
			first = n
		}
	}
	g.Expect(first).To(BeNumerically(">=", 7))
	g.Expect(c[0].Running).To(Equal(12))
	_, ok := p.Pick(c)
	g.Expect(ok).To(BeFalse())
}

// An endpoint that failed a moment ago gets work only when all others are full.
func TestAvoided(t *testing.T) {
	g := NewWithT(t)
	c := []Candidate{{Slots: 2, Pace: 0.1, Avoid: true}, {Slots: 2, Running: 1, Pace: 9}}
	i, _ := New().Pick(c)
	g.Expect(i).To(Equal(1))
	c[1].Running = 2
	i, ok := New().Pick(c)
	g.Expect(ok).To(BeTrue())
	g.Expect(i).To(BeZero())
}

// A batch of a hundred generations, a tenth of them five times as long, on eleven
// engines of which a third is a third slower and one turns three times slower.
// Choosing by expected time ends the batch sooner than dealing it out in turn.
func TestBatchEndsSooner(t *testing.T) {
	g := NewWithT(t)
	var chosen, dealt float64
	for seed := range uint64(10) {
		rng := rand.New(rand.NewPCG(seed, 1))
		work := make([]float64, 100)
		for i := range work {
			work[i] = 0.5 + rng.Float64()
			if rng.IntN(10) == 0 {
				work[i] *= 5
			}
		}
		p := New()
		chosen += makespan(work, func(_ int, c []Candidate) int { i, _ := p.Pick(c); return i })
		dealt += makespan(work, func(n int, c []Candidate) int { return n % len(c) })
	}
	t.Logf("mean end of the batch: chosen %.2f, dealt in turn %.2f", chosen/10, dealt/10)
	g.Expect(chosen).To(BeNumerically("<", 0.8*dealt))
}

// makespan is when the last of the work ends, if each engine's pace is set by how
// much it was given.
func makespan(work []float64, pick func(n int, c []Candidate) int) float64 {
	c := make([]Candidate, 11)
	for i := range c {
		c[i] = Candidate{Slots: 12, Pace: 1}
		if i%3 == 2 {
			c[i].Pace = 1.3
		}
	}
	c[0].Pace = 3
	at := make([]int, len(work))
	for n := range work {
		at[n] = pick(n, c)
		c[at[n]].Running++
	}
	end := 0.0
	for n, w := range work {
		end = max(end, w*New().Score(c[at[n]]))
	}
	return end
}
