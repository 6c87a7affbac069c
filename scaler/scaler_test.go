package scaler_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/lavendermux/lavendermux/scaler"
)

// play has a scaler see the same load for a while, with the endpoints that it asked for
// there at once, and returns what it wanted last.
func play(s *scaler.Scaler, l scaler.Limits, have map[string]int, from, to time.Duration, load func(at time.Duration) float64) map[string]int {
	var wanted map[string]int
	for at := from; at < to; at += 250 * time.Millisecond {
		wanted = s.Wanted(l, scaler.State{Now: at, Load: load(at), Slots: 4, Have: have})
		have = wanted
	}
	return wanted
}

func flat(n float64) func(time.Duration) float64 { return func(time.Duration) float64 { return n } }

func TestMoreAtOnceFewerLater(t *testing.T) {
	g := NewWithT(t)
	l := scaler.Limits{Min: 1, Max: 10, Boot: 5 * time.Second}
	s := scaler.New()
	have := map[string]int{"a": 1, "b": 1}
	g.Expect(play(s, l, have, 0, 10*time.Second, flat(2))).To(Equal(map[string]int{"a": 1, "b": 1}))
	high := play(s, l, have, 10*time.Second, 18*time.Second, flat(28))
	g.Expect(high).To(Equal(map[string]int{"a": 5, "b": 5}), "28 requests at 4 places each, seven tenths busy")
	g.Expect(play(s, l, high, 18*time.Second, 77*time.Second, flat(2))).To(Equal(high), "the load was high a moment ago")
	g.Expect(play(s, l, high, 77*time.Second, 90*time.Second, flat(2))).To(Equal(map[string]int{"a": 1, "b": 1}))
}

// A load that swings between two bounds must not have endpoints come and go: each costs a
// boot time in which callers wait.
func TestSwingsAreHeld(t *testing.T) {
	g := NewWithT(t)
	l := scaler.Limits{Min: 1, Max: 10, Boot: 5 * time.Second}
	s := scaler.New()
	swing := func(at time.Duration) float64 {
		if at/(4*time.Second)%2 == 0 {
			return 6
		}
		return 12
	}
	settled := play(s, l, map[string]int{"a": 2, "b": 2}, 0, 90*time.Second, swing)
	g.Expect(settled["a"] + settled["b"]).To(BeNumerically(">=", 12/4))
	changes := 0
	have := settled
	for at := 90 * time.Second; at < 5*time.Minute; at += 250 * time.Millisecond {
		wanted := s.Wanted(l, scaler.State{Now: at, Load: swing(at), Slots: 4, Have: have})
		if wanted["a"] != have["a"] || wanted["b"] != have["b"] {
			changes++
		}
		have = wanted
	}
	g.Expect(changes).To(BeZero())
}

func TestWithinLimits(t *testing.T) {
	g := NewWithT(t)
	l := scaler.Limits{Min: 2, Max: 3, Boot: time.Second}
	have := map[string]int{"a": 2, "b": 2, "c": 0}
	g.Expect(play(scaler.New(), l, have, 0, 2*time.Minute, flat(0))).To(Equal(map[string]int{"a": 2, "b": 2, "c": 2}))
	g.Expect(play(scaler.New(), l, have, 0, 2*time.Minute, flat(1000))).To(Equal(map[string]int{"a": 3, "b": 3, "c": 3}))
}

// Endpoints of a data centre crash. Those that are wanted there stay wanted, and the
// others aren't asked to make up for it: whoever runs the endpoints brings them back.
func TestLostEndpointsStayWanted(t *testing.T) {
	g := NewWithT(t)
	l := scaler.Limits{Min: 0, Max: 9, Boot: time.Second}
	s := scaler.New()
	had := play(s, l, map[string]int{"a": 3, "b": 3}, 0, 10*time.Second, flat(12))
	g.Expect(s.Wanted(l, scaler.State{Now: 10 * time.Second, Load: 12, Slots: 4, Have: map[string]int{"b": 3}})).To(Equal(had))
	g.Expect(s.Wanted(l, scaler.State{Now: 11 * time.Second, Load: 12})).To(Equal(had), "all are gone")
}

// Nobody knows the endpoints yet, as after a start: no number may be ordered.
func TestNothingWantedBeforeEndpointsAreKnown(t *testing.T) {
	g := NewWithT(t)
	g.Expect(scaler.New().Wanted(scaler.Limits{Min: 1, Max: 3}, scaler.State{Load: 50, Slots: 4})).To(BeEmpty())
}

// With a forecast a load that climbs is met before it is there: what is ordered now serves
// a boot time later.
func TestClimbIsForeseen(t *testing.T) {
	g := NewWithT(t)
	l := scaler.Limits{Min: 1, Max: 50, Boot: 10 * time.Second}
	climb := func(at time.Duration) float64 { return 4 + at.Seconds() }
	have := map[string]int{"a": 4}
	ahead := play(scaler.New(scaler.WithForecast()), l, have, 0, 20*time.Second, climb)
	behind := play(scaler.New(), l, have, 0, 20*time.Second, climb)
	g.Expect(ahead["a"]).To(BeNumerically("~", 32/(4*0.7), 2))
	g.Expect(behind["a"]).To(BeNumerically("~", 22/(4*0.7), 2))
}

// Endpoints stand unevenly over the data centres. None is moved for the sake of that: an
// order that gives one up here for one there costs a boot time.
func TestUnevenEndpointsStay(t *testing.T) {
	g := NewWithT(t)
	l := scaler.Limits{Min: 1, Max: 6, Boot: time.Second}
	have := map[string]int{"a": 1, "b": 3}
	s := scaler.New()
	g.Expect(play(s, l, have, 0, 10*time.Second, flat(8))).To(Equal(have))
	g.Expect(play(s, l, have, 10*time.Second, 30*time.Second, flat(14))).To(Equal(map[string]int{"a": 2, "b": 3}))
}

// An entry that lives hasn't told its load. What is missing must not pass for calm.
func TestPartialLoadGivesNothingUp(t *testing.T) {
	g := NewWithT(t)
	l := scaler.Limits{Min: 1, Max: 6, Boot: time.Second}
	s := scaler.New()
	have := play(s, l, map[string]int{"a": 4}, 0, 50*time.Second, flat(11))
	for at := 50 * time.Second; at < 5*time.Minute; at += time.Second {
		g.Expect(s.Wanted(l, scaler.State{Now: at, Load: 1, Partial: true, Slots: 4, Have: have})).To(Equal(have))
	}
}

// An instance decides again after others did for a while. What it saw before must not give
// up what they have ordered since.
func TestGapIsForgotten(t *testing.T) {
	g := NewWithT(t)
	l := scaler.Limits{Min: 1, Max: 9, Boot: time.Second}
	s := scaler.New()
	g.Expect(play(s, l, map[string]int{"a": 2}, 0, 30*time.Second, flat(1))).To(Equal(map[string]int{"a": 2}))
	since := map[string]int{"a": 7}
	g.Expect(play(s, l, since, 50*time.Second, 70*time.Second, flat(8))).To(Equal(since))
}
