package bound

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// fixture is a pool with a clock of its own and the names of evicted claims.
type fixture struct {
	pool    *Pool
	now     time.Time
	evicted []string
}

func newFixture(total int64) *fixture {
	f := &fixture{now: time.Unix(0, 0)}
	f.pool = New(total, WithClock(func() time.Time { return f.now }), WithStallTime(time.Second))
	return f
}

func (f *fixture) claim(name string, rank Rank, n int64) *Claim {
	c := f.pool.Claim(rank, func() { f.evicted = append(f.evicted, name) })
	c.Grow(n)
	return c
}

// Many claims that never finish hold everything: those that stalled make room first, the longest
// stalled ahead.
func TestStalledClaimsAreEvictedFirst(t *testing.T) {
	g, f := NewWithT(t), newFixture(100)
	f.claim("first", First, 10)
	f.now = f.now.Add(100 * time.Millisecond)
	f.claim("second", First, 10)
	f.now = f.now.Add(2 * time.Second)
	f.claim("large", First, 70)
	g.Expect(f.claim("new", First, 15).Grow(0)).To(BeTrue())
	g.Expect(f.evicted).To(Equal([]string{"first"}))
	g.Expect(f.pool.Used()).To(Equal(int64(95)))
}

// A claim that grows without end can't push out others that need less.
func TestLargestClaimYieldsToSmallOnes(t *testing.T) {
	g, f := NewWithT(t), newFixture(100)
	large := f.claim("large", First, 60)
	f.claim("small", First, 30)
	g.Expect(large.Grow(20)).To(BeFalse())
	g.Expect(f.evicted).To(BeEmpty())
	g.Expect(f.claim("other", First, 20).Grow(0)).To(BeTrue())
	g.Expect(f.evicted).To(Equal([]string{"large"}))
	g.Expect(large.Grow(1)).To(BeFalse(), "an evicted claim grows again")
	g.Expect(large.SetRank(Pinned)).To(BeFalse())
}

// What is lost with a claim decides before its size and age; what is pinned is never evicted.
func TestRanksGoFirst(t *testing.T) {
	g, f := NewWithT(t), newFixture(100)
	pinned := f.claim("pinned", Pinned, 40)
	f.claim("second", Second, 30)
	f.claim("first", First, 10)
	f.claim("writing", Stalled, 20)
	g.Expect(f.pool.Fits(60)).To(BeTrue())
	g.Expect(f.pool.Fits(61)).To(BeFalse())
	g.Expect(f.claim("a", Third, 10).Grow(0)).To(BeTrue())
	g.Expect(f.evicted).To(Equal([]string{"first"}))
	g.Expect(pinned.Grow(30)).To(BeTrue())
	g.Expect(f.evicted).To(Equal([]string{"first", "second"}))
	g.Expect(pinned.Grow(20)).To(BeFalse(), "only a claim that hasn't stalled could make room")
	f.now = f.now.Add(2 * time.Second)
	g.Expect(pinned.Grow(10)).To(BeTrue())
}

// Claims never add up to more than the pool, whatever holders do, and all of it comes back.
func TestPoolIsNeverExceeded(t *testing.T) {
	g, f := NewWithT(t), newFixture(1000)
	rng := rand.New(rand.NewPCG(1, 1))
	var claims []*Claim
	for range 20000 {
		f.now = f.now.Add(time.Duration(rng.IntN(300)) * time.Millisecond)
		action := rng.IntN(6)
		switch {
		case len(claims) < 50:
			claims = append(claims, f.claim("", Rank(rng.IntN(ranks+1)), int64(rng.IntN(100))))
		case action == 0:
			i := rng.IntN(len(claims))
			claims[i].Release()
			claims = append(claims[:i], claims[i+1:]...)
		case action == 1:
			claims[rng.IntN(len(claims))].SetRank(Rank(rng.IntN(ranks + 1)))
		case action == 2:
			claims[rng.IntN(len(claims))].Shrink(int64(rng.IntN(100)))
		default:
			claims[rng.IntN(len(claims))].Grow(int64(rng.IntN(200)))
		}
		sum := int64(0)
		for _, c := range claims {
			sum += c.size
		}
		g.Expect(f.pool.used).To(Equal(sum))
		g.Expect(sum).To(BeNumerically("<=", 1000))
	}
	for _, c := range claims {
		c.Release()
	}
	g.Expect(f.pool.used).To(BeZero())
	g.Expect(f.pool.evictable).To(BeZero())
}

// Parts of a pool that add up to more than it has can't use more together; a claim of one part makes
// room for another one of it, and what can't be refused counts as well.
func TestPartsOfAPool(t *testing.T) {
	g := NewWithT(t)
	whole := New(100)
	now := time.Unix(0, 0)
	bodies, batches := New(80, WithParent(whole), WithClock(func() time.Time { return now })), New(60, WithParent(whole))
	evicted := false
	stalled := bodies.Claim(First, func() { evicted = true })
	g.Expect(stalled.Grow(40)).To(BeTrue())
	g.Expect(batches.Take(60)).To(BeTrue())
	g.Expect(batches.Take(1)).To(BeFalse())
	g.Expect(bodies.Fits(40)).To(BeTrue())
	g.Expect(bodies.Fits(41)).To(BeFalse())
	now = now.Add(time.Minute)
	c := bodies.Claim(First, func() {})
	g.Expect(c.Grow(40)).To(BeTrue())
	g.Expect(evicted).To(BeTrue())
	g.Expect(whole.Used()).To(BeEquivalentTo(100))
	batches.Adjust(10)
	g.Expect(c.Grow(1)).To(BeFalse())
	batches.Adjust(-70)
	c.Release()
	stalled.Release()
	g.Expect([]int64{whole.Used(), bodies.Used(), batches.Used()}).To(Equal([]int64{0, 0, 0}))
}

// Claims that have stalled are evicted at once, without a need for room, but for those of higher ranks.
func TestEvictStalled(t *testing.T) {
	g, f := NewWithT(t), newFixture(100)
	f.claim("old", First, 1)
	f.claim("idle", Third, 1)
	f.now = f.now.Add(2 * time.Second)
	f.claim("new", First, 1)
	f.pool.EvictStalled(Third)
	g.Expect(f.evicted).To(Equal([]string{"old"}))
	g.Expect(f.pool.Used()).To(BeEquivalentTo(2))
}
