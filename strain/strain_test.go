package strain

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

const ms = time.Millisecond

func feed(g *Gauge, now *time.Time, lateness time.Duration, during time.Duration) (changes int) {
	for t := time.Duration(0); t < during; t += Every {
		*now = now.Add(Every)
		if g.Observe(lateness, *now) {
			changes++
		}
	}
	return changes
}

// A machine turns six times slower under the streams of two steps. It shows within
// a second and a half, and is over only once it was calm for a while, so that work
// doesn't go to and fro.
func TestSlowMachine(t *testing.T) {
	g := NewWithT(t)
	var s Gauge
	now := time.Now()
	g.Expect(feed(&s, &now, 2*ms, 10*time.Second)).To(BeZero())
	g.Expect(feed(&s, &now, 100*ms, 1500*ms)).To(Equal(1))
	g.Expect(s.Strained()).To(BeTrue())
	feed(&s, &now, 2*ms, 4*time.Second)
	g.Expect(s.Strained()).To(BeTrue())
	g.Expect(feed(&s, &now, 2*ms, 8*time.Second)).To(Equal(1))
	g.Expect(s.Strained()).To(BeFalse())
}

// A process is frozen for five seconds, or a collection of garbage stops it for a
// moment each second. Neither is strain: the machine has time, and handing its work
// over would cost more than it brings.
func TestPauses(t *testing.T) {
	g := NewWithT(t)
	var s Gauge
	now := time.Now()
	s.Observe(5*time.Second, now)
	g.Expect(s.Strained()).To(BeFalse())
	for range 20 {
		feed(&s, &now, 80*ms, 50*ms)
		feed(&s, &now, 2*ms, 950*ms)
		g.Expect(s.Strained()).To(BeFalse())
	}
}
