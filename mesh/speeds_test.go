package mesh

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/lavendermux/lavendermux/speed"
)

// Measurements change all the time. If they were gossiped as other changes are, or passed on
// with them, each instance would get those of all others: their bytes must be bounded by the
// number of neighbours.
func TestSpeedsGoToNeighboursOnly(t *testing.T) {
	const (
		seconds   = 3
		endpoints = 32
		// maxBytes is half of what control may cost an instance in a second.
		maxBytes = 10_000
	)
	for _, n := range []int{20, 100} {
		withDeployment(t, n, func(d *deployment) {
			measure := func() (calls, bytes float64) {
				time.Sleep(time.Second)
				d.calls.Store(0)
				d.bytes.Store(0)
				for range seconds {
					for _, m := range d.members {
						m.share(endpoints)
					}
					time.Sleep(time.Second)
				}
				return float64(d.calls.Load()) / seconds / float64(n), float64(d.bytes.Load()) / seconds / float64(n)
			}
			calls, bytes := measure()
			for _, m := range d.members {
				m.mu.Lock()
				m.speeds = make(map[string]speed.Sum)
				m.mu.Unlock()
			}
			callsWith, bytesWith := measure()
			t.Logf("%d instances: %.1f calls and %.0f bytes a second each, with the speeds of %d endpoints %.1f and %.0f", n, calls, bytes, endpoints, callsWith, bytesWith)
			// If they were gossiped, each instance would get a message for each of the others.
			d.g.Expect(callsWith).To(BeNumerically("<", 1.5*calls), "a change of speeds alone sends nothing")
			d.g.Expect(bytesWith - bytes).To(BeNumerically("<", maxBytes))
			d.members[0].hold("b") // gossiped, with the status
			time.Sleep(time.Second)
			near, far := d.members[0].ring.Neighbours("entry-000")
			d.members[0].mu.Lock()
			d.g.Expect(d.members[0].told).To(HaveLen(len(near) + len(far)))
			d.members[0].mu.Unlock()
			for _, m := range d.members {
				m.Mesh.mu.Lock()
				for _, p := range m.peers {
					d.g.Expect(p.Speeds).To(BeEmpty(), "at %s about %s", m.self.Name, p.Name)
				}
				m.Mesh.mu.Unlock()
			}
		})
	}
}

// share changes the speeds of an instance, if it shares any.
func (m *testInstance) share(endpoints int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.speeds == nil {
		return
	}
	speeds := make(map[string]speed.Sum)
	for i := range endpoints {
		n := 1 + (i+time.Now().Second())%40
		speeds[fmt.Sprintf("desk-%d/1764813%06d", i, i*7919)] = speed.Sum{Samples: n, Logs: float64(n*1007+i) / 100}
	}
	m.speeds = speeds
}
