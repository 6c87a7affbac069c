package strays

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

const ms = time.Millisecond

// A run moves off an engine that has turned three times slower, but not for the
// few events that are left, nor because of a difference that load alone makes.
func TestMove(t *testing.T) {
	for name, c := range map[string]struct {
		run  Run
		want bool
	}{
		"much left, three times slower": {Run{Made: 20, Expected: 60, Here: 110 * ms, There: 37 * ms}, true},
		"past its estimate":             {Run{Made: 80, Expected: 40, Here: 110 * ms, There: 37 * ms}, true},
		"almost there":                  {Run{Made: 9, Expected: 10, Here: 110 * ms, There: 37 * ms}, false},
		"slower by its load":            {Run{Made: 20, Expected: 60, Here: 50 * ms, There: 37 * ms}, false},
		"a third slower, much left":     {Run{Made: 10, Expected: 116, Here: 63 * ms, There: 48 * ms}, true},
		"a third slower, moved before":  {Run{Made: 10, Expected: 116, Here: 63 * ms, There: 48 * ms, Moves: 1}, false},
		"three times slower again":      {Run{Made: 20, Expected: 60, Here: 110 * ms, There: 37 * ms, Moves: 3}, true},
		"a third slower, half left":     {Run{Made: 58, Expected: 116, Here: 63 * ms, There: 48 * ms}, false},
		"a little slower, much left":    {Run{Made: 10, Expected: 116, Here: 55 * ms, There: 48 * ms}, false},
		"other unknown":                 {Run{Made: 20, Expected: 160, Here: 110 * ms}, false},
		"no faster elsewhere":           {Run{Made: 20, Expected: 160, Here: 37 * ms, There: 110 * ms}, false},
	} {
		t.Run(name, func(t *testing.T) {
			NewWithT(t).Expect(c.run.Move()).To(Equal(c.want))
		})
	}
}

// After a move the same rule must not move the run back: the two engines are then
// compared the other way round.
func TestNoWandering(t *testing.T) {
	g := NewWithT(t)
	for here := 20; here < 300; here += 7 {
		for there := 20; there < 300; there += 7 {
			a := Run{Made: 30, Expected: 100, Here: time.Duration(here) * ms, There: time.Duration(there) * ms}
			b := a
			b.Here, b.There = a.There, a.Here
			g.Expect(a.Move() && b.Move()).To(BeFalse())
		}
	}
}
