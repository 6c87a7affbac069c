package clocks

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// machine has a clock that the test sets.
type machine struct {
	day    time.Time
	steady time.Duration
	jump   time.Duration
}

func (m *machine) pass(d time.Duration) { m.steady += d }

func (m *machine) clock() *Clock {
	return New(func() time.Time { return m.day.Add(m.steady + m.jump) }, func() time.Duration { return m.steady })
}

func newMachine() *machine {
	return &machine{day: time.Date(2026, 3, 6, 3, 8, 0, 0, time.UTC), steady: time.Hour}
}

// hear has so many peers tell their time, each off by as much as off has.
func (m *machine) hear(c *Clock, off ...time.Duration) {
	for i, o := range off {
		c.Read(string(rune('a'+i)), m.day.Add(m.steady+time.Millisecond+o), m.steady, m.steady+2*time.Millisecond)
	}
}

// A machine's time of day jumps by three seconds, and later back. Its requests have to be
// counted into the same windows as everybody's all the while.
func TestOwnClockJumps(t *testing.T) {
	g := NewWithT(t)
	m := newMachine()
	c := m.clock()
	m.hear(c, 0, 3*time.Millisecond, -2*time.Millisecond, 0)
	for _, jump := range []time.Duration{3 * time.Second, -3 * time.Second, 400 * time.Millisecond, 0} {
		m.jump = jump
		m.pass(10 * time.Second)
		m.hear(c, time.Millisecond, 0, 0, -time.Millisecond)
		g.Expect(c.Now()).To(BeTemporally("~", m.day.Add(m.steady), 10*time.Millisecond), "%s", jump)
	}
	off, ok := c.Off()
	g.Expect(ok).To(BeTrue())
	g.Expect(off).To(BeNumerically("~", 0, 5*time.Millisecond))
}

// The clocks of some peers jump. They must not carry the others along.
func TestPeersClocksJump(t *testing.T) {
	g := NewWithT(t)
	m := newMachine()
	c := m.clock()
	m.hear(c, 5*time.Second, -4*time.Second, 0, 5*time.Second, time.Millisecond, 0, 0)
	g.Expect(c.Now()).To(Equal(m.day.Add(m.steady)))
}

// An answer that took half a second says little about the peer's clock, and one of last
// minute nothing. An instance without peers has only its own.
func TestUncertainReadings(t *testing.T) {
	g := NewWithT(t)
	m := newMachine()
	c := m.clock()
	g.Expect(c.Now()).To(Equal(m.day.Add(m.steady)))
	for _, name := range []string{"a", "b", "c"} {
		c.Read(name, m.day.Add(m.steady+9*time.Second), m.steady, m.steady+500*time.Millisecond)
	}
	g.Expect(c.Now()).To(Equal(m.day.Add(m.steady)))
	m.hear(c, 9*time.Second, 9*time.Second, 9*time.Second)
	g.Expect(c.Now()).NotTo(Equal(m.day.Add(m.steady)))
	m.pass(time.Minute)
	g.Expect(c.Now()).To(Equal(m.day.Add(m.steady)))
}
