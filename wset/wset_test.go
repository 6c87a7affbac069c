package wset

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/lavendermux/lavendermux/endpt"
)

func endpoint(id string, born int64) endpt.Endpoint {
	return endpt.Endpoint{ID: id, Service: "s", Addr: "10.0.0.1:1", Slots: 2, Born: born}
}

func set() *Set { return New(func() {}) }

// A worker starts again under its id. What was counted of the boot before must not
// be taken for the new one's, or its slots would look taken for ever.
func TestSameIDAnotherBoot(t *testing.T) {
	g := NewWithT(t)
	s := set()
	old := endpoint("e", 1)
	s.Put(old)
	s.Begin(old)
	s.Version(old, "m", 4)
	s.Put(endpoint("e", 2))
	s.End(old)
	v := s.Service("s")
	g.Expect(v).To(HaveLen(1))
	g.Expect(v[0].Running).To(BeZero())
	g.Expect(v[0].Versions).To(BeEmpty())
}

// An entry that was written before an answer showed a newer version arrives after
// it, and must not take the version back: work would be sent away from an engine
// that is fit for it.
func TestLateEntryKeepsVersion(t *testing.T) {
	g := NewWithT(t)
	s := set()
	e := endpoint("e", 1)
	e.Versions = map[string]int64{"m": 1}
	s.Put(e)
	s.Version(e, "m", 2)
	s.Put(e)
	g.Expect(s.Service("s")[0].Versions["m"]).To(BeEquivalentTo(2))
}

// Entries lapse while the store is away and are deleted in its history. For two
// seconds after its return they still count; one that is back by then stays.
func TestGrace(t *testing.T) {
	g := NewWithT(t)
	s := set()
	now := time.Now()
	s.Put(endpoint("a", 1))
	s.Put(endpoint("b", 1))
	s.Regained(now)
	s.Remove("a", now.Add(100*time.Millisecond))
	s.Remove("b", now.Add(100*time.Millisecond))
	s.Put(endpoint("b", 1))
	s.Sweep(now.Add(time.Second))
	g.Expect(s.Service("s")).To(HaveLen(2))
	s.Sweep(now.Add(3 * time.Second))
	g.Expect(s.Service("s")).To(HaveLen(1))
	s.Remove("b", now.Add(4*time.Second))
	g.Expect(s.Service("s")).To(BeEmpty())
}

// Another endpoint has the address: the one that was meant is forgotten, and a
// newer boot of it isn't.
func TestGone(t *testing.T) {
	g := NewWithT(t)
	s := set()
	s.Put(endpoint("e", 2))
	s.Gone(endpoint("e", 1))
	g.Expect(s.Service("s")).To(HaveLen(1))
	s.Gone(endpoint("e", 2))
	g.Expect(s.Service("s")).To(BeEmpty())
}

// An endpoint goes dark for seconds. After the first moments it still only gets what
// nobody else has a place for, since being idle it would look best of all; a sign of work
// makes it one like the others.
func TestSuspectUntilItWorks(t *testing.T) {
	g := NewWithT(t)
	s := set()
	now := time.Now()
	e := endpoint("e", 1)
	s.Put(e)
	s.Failed(e, now)
	v, _ := s.View(e)
	g.Expect(v.AvoidUntil).To(Equal(now.Add(avoidFor)))
	g.Expect(v.SuspectUntil).To(Equal(now.Add(avoidFor + suspectFor)))
	s.Worked(e, time.Millisecond)
	v, _ = s.View(e)
	g.Expect(v.SuspectUntil).To(BeZero())
	s.Overdue(e, now)
	v, _ = s.View(e)
	g.Expect(v.SuspectUntil).To(Equal(now.Add(suspectFor)))
}

// A process that has just started reads an engine's first events late, so that two of them
// come at once. The engine must not pass for ten times as fast as it is: the longest items
// of a step would gather there, and runs from elsewhere would move to it.
func TestFirstEventsComeTogether(t *testing.T) {
	g := NewWithT(t)
	e := endpt.Endpoint{ID: "engine", Service: "lm", Slots: 8}
	s := New(func() {})
	s.Put(e)
	pace := func() time.Duration { return s.All()[0].Pace }
	s.Worked(e, 4*time.Millisecond)
	g.Expect(pace()).To(BeZero(), "one interval tells nothing")
	s.Worked(e, 96*time.Millisecond)
	s.Worked(e, 50*time.Millisecond)
	g.Expect(pace()).To(BeNumerically("~", 50*time.Millisecond, time.Millisecond))
	for range 40 {
		s.Worked(e, 150*time.Millisecond)
	}
	g.Expect(pace()).To(BeNumerically(">", 140*time.Millisecond), "an engine that turns slow is known soon")
}
