package ring

import (
	"fmt"
	"math/bits"
	"math/rand/v2"
	"slices"
	"testing"

	. "github.com/onsi/gomega"
)

func numberedEntries(n int) []string {
	names := make([]string, n)
	for i := range names {
		names[i] = fmt.Sprintf("entry-%d", i)
	}
	return names
}

// Checks that neighbourhood is symmetric: otherwise an instance would take the
// requests of one that monitors it for those of a stranger.
func TestBothSidesKnowAnEdge(t *testing.T) {
	for _, n := range []int{2, 3, 31, 32, 33, 68, 350} {
		g := NewWithT(t)
		names := numberedEntries(n)
		r := New(names...)
		for _, a := range names {
			near, far := r.Neighbours(a)
			g.Expect(near).NotTo(ContainElement(a))
			for _, b := range near {
				back, _ := r.Neighbours(b)
				g.Expect(back).To(ContainElement(a), "%s and %s of %d", a, b, n)
			}
			for _, b := range far {
				_, back := r.Neighbours(b)
				g.Expect(back).To(ContainElement(a), "%s and %s of %d", a, b, n)
			}
		}
	}
}

// A fleet grows from 68 instances to 350. The load of each instance must stay
// nearly the same, or the probes overload the fleet.
func TestNeighboursGrowSlowly(t *testing.T) {
	g := NewWithT(t)
	count := func(n int) int {
		near, far := New(numberedEntries(n)...).Neighbours("entry-0")
		return len(near) + len(far)
	}
	g.Expect(count(32)).To(Equal(31))
	g.Expect(count(68)).To(BeNumerically("<=", 14))
	g.Expect(count(350)).To(BeNumerically("<=", 18))
	g.Expect(count(1000)).To(BeNumerically("<=", 20))
}

// Half of a fleet loses power at the same moment. News must still reach the
// remaining instances within few hops: a loss that some don't hear of leaves a
// trainer's step without an owner. An instance that lost all its neighbours hears
// the news once it has detected their loss.
func TestNewsReachesAllThatAreLeft(t *testing.T) {
	for seed := range uint64(20) {
		g := NewWithT(t)
		names := numberedEntries(350)
		random := rand.New(rand.NewPCG(seed, 1))
		left := slices.DeleteFunc(slices.Clone(names), func(string) bool { return random.Float64() < 0.5 })
		reached, hops := spread(left, names)
		g.Expect(reached).To(BeNumerically(">=", len(left)-1), "seed %d", seed)
		g.Expect(hops).To(BeNumerically("<=", 9), "seed %d", seed)
		reached, hops = spread(left, left)
		g.Expect(reached).To(Equal(len(left)), "seed %d", seed)
		g.Expect(hops).To(BeNumerically("<=", 8), "seed %d", seed)
	}
}

// spread gives a piece of news to the first instance of left, where each instance
// takes names for the fleet. It returns how many hear the news, and after how
// many hops.
func spread(left, names []string) (reached, hops int) {
	r := New(names...)
	heard, wave := map[string]bool{left[0]: true}, left[:1]
	for ; len(wave) > 0; hops++ {
		var next []string
		for _, a := range wave {
			near, far := r.Neighbours(a)
			for _, b := range append(near, far...) {
				if slices.Contains(left, b) && !heard[b] {
					heard[b] = true
					next = append(next, b)
				}
			}
		}
		wave = next
	}
	return len(heard), hops
}

// Instances join and leave a ring in any order. All must find the same neighbours, or some are
// monitored by nobody.
func TestOrderDoesNotDependOnHistory(t *testing.T) {
	g := NewWithT(t)
	names := numberedEntries(68)
	r := New(append(numberedEntries(100), names...)...)
	for _, name := range numberedEntries(100)[68:] {
		r.Remove(name)
		r.Remove(name)
	}
	slices.Reverse(names)
	other := New(names...)
	g.Expect(r.Len()).To(Equal(68))
	for _, name := range names {
		near, far := r.Neighbours(name)
		otherNear, otherFar := other.Neighbours(name)
		g.Expect(near).To(Equal(otherNear))
		g.Expect(far).To(Equal(otherFar))
	}
}

// News is passed on along a tree. Each instance must get it once, and nobody may have to send
// it to more than its neighbours, whatever the size of the fleet.
func TestSplitReachesAllOnce(t *testing.T) {
	for _, n := range []int{33, 50, 64, 65, 127, 400, 800} {
		g := NewWithT(t)
		names := numberedEntries(n)
		r, received, hops := New(names...), make(map[string]int), 0
		type share struct {
			name string
			span int
		}
		for wave := []share{{name: names[0], span: n}}; len(wave) > 0; hops++ {
			var next []share
			for _, s := range wave {
				received[s.name]++
				near, far := r.Neighbours(s.name)
				for name, span := range r.Split(s.name, s.span) {
					g.Expect(append(near, far...)).To(ContainElement(name))
					next = append(next, share{name: name, span: span})
				}
			}
			wave = next
		}
		g.Expect(received).To(HaveLen(n), "of %d", n)
		for name, times := range received {
			g.Expect(times).To(Equal(1), "%s of %d", name, n)
		}
		g.Expect(hops).To(BeNumerically("<=", 1+bits.Len(uint(n))), "of %d", n)
	}
}
