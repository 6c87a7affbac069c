package lineup

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/lavendermux/lavendermux/place"
)

func randomCandidates(rng *rand.Rand, n int) []place.Candidate {
	out := make([]place.Candidate, n)
	for i := range out {
		slots := 1 + rng.IntN(6)
		out[i] = place.Candidate{
			Slots: slots, Running: rng.IntN(slots + 1), UnitTime: 0.03 + float64(rng.IntN(4))*0.01,
			Remote: rng.IntN(2) == 0, Avoid: rng.IntN(4) == 0,
		}
	}
	return out
}

// The heap must not place work elsewhere than a scan of all candidates would.
func TestTakesWhatThePickerPicks(t *testing.T) {
	g := NewWithT(t)
	rng := rand.New(rand.NewPCG(7, 11))
	picker := place.New()
	for range 200 {
		candidates := randomCandidates(rng, 1+rng.IntN(60))
		scanned := slices.Clone(candidates)
		l := New(picker, candidates)
		for {
			want, wantOK := picker.Pick(scanned)
			got, ok := l.Take()
			g.Expect(ok).To(Equal(wantOK))
			if !ok {
				break
			}
			g.Expect(got).To(Equal(want))
			scanned[want].Running++
		}
	}
}

// A run that looks for another endpoint must not be offered its own.
func TestBestLeavesOneOut(t *testing.T) {
	g := NewWithT(t)
	rng := rand.New(rand.NewPCG(3, 5))
	picker := place.New()
	for range 200 {
		candidates := randomCandidates(rng, 1+rng.IntN(40))
		l := New(picker, slices.Clone(candidates))
		except := rng.IntN(len(candidates))
		candidates[except].Running = candidates[except].Slots
		want, wantOK := picker.Pick(candidates)
		got, ok := l.Best(except)
		g.Expect(ok).To(Equal(wantOK))
		if ok {
			g.Expect(got).To(Equal(want))
		}
	}
}

// A step of 224 items on all engines of a fleet: the cost of a start is that of a few
// comparisons, not of a look at each engine.
func BenchmarkStep(b *testing.B) {
	const items = 224
	for _, n := range []int{50, 400, 800} {
		candidates := randomCandidates(rand.New(rand.NewPCG(1, 2)), n)
		b.Run(fmt.Sprintf("engines=%d", n), func(b *testing.B) {
			for b.Loop() {
				l := New(place.New(), slices.Clone(candidates))
				for range items {
					l.Take()
				}
			}
		})
	}
}
