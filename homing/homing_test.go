package homing

import (
	"fmt"
	"slices"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/lavendermux/lavendermux/place"
)

const slots = 8

type engine struct {
	home string
	// seen has the runs that each holder knows of: its own.
	seen map[string]int
}

func (e *engine) runs() int {
	n := 0
	for _, k := range e.seen {
		n += k
	}
	return n
}

// hand has the holder of each model place so many runs, in turn, each by what it knows.
func hand(engines []*engine, models []string, runs int, choose func([]*engine, string) []*engine) {
	picker := place.New()
	for range runs {
		for _, m := range models {
			fit := choose(engines, m)
			cands := make([]place.Candidate, len(fit))
			for i, e := range fit {
				cands[i] = place.Candidate{Slots: slots, Running: e.seen[m], Pace: 1}
			}
			if i, ok := picker.Pick(cands); ok {
				fit[i].seen[m]++
			}
		}
	}
}

func fleet(models []string) []*engine {
	engines := make([]*engine, 47)
	for i := range engines {
		engines[i] = &engine{home: models[i%len(models)], seen: make(map[string]int)}
	}
	return engines
}

// All engines have come up with the newest weights of all models, and three trainers hand
// in steps of 192 to 256 items at once. No engine may get more runs than it has slots, as
// those would wait where nobody sees them, and the step's trainer with them.
func TestThreeHoldersAtOnce(t *testing.T) {
	g := NewWithT(t)
	models := []string{"a", "b", "c"}
	most := func(choose func([]*engine, string) []*engine) int {
		engines := fleet(models)
		hand(engines, models, 240, choose)
		return slices.MaxFunc(engines, func(x, y *engine) int { return x.runs() - y.runs() }).runs()
	}
	g.Expect(most(func(all []*engine, _ string) []*engine { return all })).To(BeNumerically(">", slots), "without the choice")
	g.Expect(most(func(all []*engine, m string) []*engine {
		return Choose(all, m, func(e *engine) string { return e.home })
	})).To(BeNumerically("<=", slots))
}

// A model has no engine of its own left, or the planner is gone and nobody knows what the
// engines are meant for. Its work goes on wherever it can.
func TestNoEngineOfItsOwn(t *testing.T) {
	for home, want := range map[string]int{"a": 3, "": 3} {
		engines := []string{home, home, home}
		got := Choose(engines, "b", func(e string) string { return e })
		NewWithT(t).Expect(got).To(HaveLen(want), fmt.Sprintf("home %q", home))
	}
}
