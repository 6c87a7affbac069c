package epset

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/lavendermux/lavendermux/endpt"
	"github.com/lavendermux/lavendermux/speed"
)

// desks is a registry of plain endpoints with a clock.
type desks struct {
	*Registry
	all []endpt.Endpoint
	now time.Time
}

func newDesks(n int) *desks {
	d := &desks{Registry: New(func() {}), now: time.Now()}
	for i := range n {
		d.all = append(d.all, newEndpoint(fmt.Sprint("desk-", i), 1))
		d.Put(d.all[i])
	}
	return d
}

// run has each endpoint serve a request a second; desk-0 takes twice as long.
func (d *desks) run(seconds int) (changes []SpeedChange) {
	for range seconds {
		d.now = d.now.Add(time.Second)
		for i, e := range d.all {
			took := 24 * time.Millisecond
			if i == 0 {
				took *= 2
			}
			d.ObserveRequest(e, took, d.now)
		}
		found, _ := d.JudgeSpeeds(d.now)
		changes = append(changes, found...)
	}
	return changes
}

// factor returns that of desk-0.
func (d *desks) factor() float64 { return d.Available("s")[0].Factor }

// An endpoint is slow and is replaced under the same ID. What was measured, here or by
// neighbours, must not count for the new incarnation, or it gets no requests for half a minute.
func TestSpeedOfNewIncarnation(t *testing.T) {
	g, d := NewWithT(t), newDesks(4)
	changes := d.run(20)
	g.Expect(changes).To(HaveLen(1))
	g.Expect(changes[0].ID).To(Equal("desk-0"))
	g.Expect(changes[0].OwnSamples).To(BeNumerically(">=", 8))
	g.Expect(d.factor()).To(BeNumerically("~", 2, 0.1))
	d.SetNeighbourSpeeds("entry-1", d.OwnSpeeds(), d.now)
	restarted := newEndpoint("desk-0", 2)
	d.Put(restarted)
	g.Expect(d.factor()).To(BeEquivalentTo(1))
	d.JudgeSpeeds(d.now)
	g.Expect(d.factor()).To(BeEquivalentTo(1))
	for range 20 {
		d.ObserveRequest(d.all[0], time.Second, d.now) // late, of the earlier incarnation
	}
	d.JudgeSpeeds(d.now.Add(time.Second))
	g.Expect(d.factor()).To(BeEquivalentTo(1))
}

// An instance that has no requests of its own must learn from its neighbours which endpoint is
// slow, and forget it when it hears no more from them: the last news of a lost neighbour would
// count forever.
func TestNeighboursSpeedsExpire(t *testing.T) {
	g, neighbour, d := NewWithT(t), newDesks(4), newDesks(4)
	neighbour.run(20)
	d.SetNeighbourSpeeds("entry-1", neighbour.OwnSpeeds(), d.now)
	d.SetNeighbourSpeeds("entry-2", neighbour.OwnSpeeds(), d.now)
	changes, slow := d.JudgeSpeeds(d.now)
	g.Expect(changes).To(HaveLen(1))
	g.Expect(changes[0].NeighbourSamples).To(BeNumerically(">=", 8))
	g.Expect(slow).To(HaveLen(1))
	g.Expect(d.OwnSpeeds()).To(BeEmpty(), "what neighbours sent is not sent on as own")
	d.JudgeSpeeds(d.now.Add(neighbourTime + time.Millisecond))
	g.Expect(d.speeds.neighbours).To(BeEmpty())
	changes, slow = d.JudgeSpeeds(d.now.Add(time.Minute))
	g.Expect(changes).To(HaveLen(1))
	g.Expect(slow).To(BeEmpty())
	g.Expect(d.factor()).To(BeEquivalentTo(1))
}

// A deployment has more plain endpoints than may be shared, and a neighbour that sends more.
// Messages and memory must stay bounded.
func TestSharedSpeedsAreBounded(t *testing.T) {
	g, d := NewWithT(t), newDesks(50)
	d.run(3)
	g.Expect(d.OwnSpeeds()).To(HaveLen(maxSpeeds))
	sums := make(map[string]speed.Sum)
	for i := range maxSpeeds + 1 {
		sums[fmt.Sprintf("desk-%d/1", i)] = speed.Sum{Samples: 100, Logs: 1200}
	}
	d.SetNeighbourSpeeds("entry-1", sums, d.now)
	d.JudgeSpeeds(d.now)
	g.Expect(d.speeds.neighbours).To(BeEmpty())
}

// Requests to engines take as long as their texts are. Their durations must not count as the
// speed of the engine.
func TestRequestsToEnginesDoNotCount(t *testing.T) {
	g, d := NewWithT(t), newDesks(4)
	for i := range d.all {
		d.all[i].Versions = map[string]int64{"m": 1}
		d.Put(d.all[i])
	}
	g.Expect(d.run(20)).To(BeEmpty())
	g.Expect(d.Available("s")[0].UnitTime).To(BeNumerically("~", 48*time.Millisecond, time.Millisecond))
	g.Expect(d.OwnSpeeds()).To(BeEmpty())
}
