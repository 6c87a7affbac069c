// Package pairs compares ways of deciding that were played on the same days with the same
// seeds.
//
// One day's figure differs from the next by far more than two ways do, and one play of a
// day from the next play of it, so that two means side by side prove nothing. In pairs the
// days' own differences cancel out, and what is left shows how sure the rest is.
package pairs

import (
	"fmt"
	"math"
	"slices"
	"strings"
)

// surely is how many standard errors a difference must have to count: one in twenty
// differences that aren't there would.
const surely = 2

type (
	// Table has the figures of ways on the same plays; the zero value is empty.
	Table struct {
		ways    []string
		figures map[string]map[string]float64
	}
)

// Add takes the figure of a way on a play, such as "trouble-3 seed 11". The way that is
// added first is the one that stands.
//
//	t.Add("standing", "trouble-3 seed 11", 0.505)
//	t.Add("own engines first", "trouble-3 seed 11", 0.542)
//	fmt.Print(t.String())
func (t *Table) Add(way, play string, figure float64) {
	if t.figures == nil {
		t.figures = make(map[string]map[string]float64)
	}
	if t.figures[way] == nil {
		t.ways = append(t.ways, way)
		t.figures[way] = make(map[string]float64)
	}
	t.figures[way][play] = figure
}

// Difference returns by how much a way's mean is above the standing one's, over the plays
// that both have, its standard error, and how many plays that are.
func (t *Table) Difference(way string) (mean, spread float64, plays int) {
	if len(t.ways) == 0 {
		return 0, 0, 0
	}
	var all []float64
	for play, figure := range t.figures[way] {
		if standing, ok := t.figures[t.ways[0]][play]; ok {
			all = append(all, figure-standing)
		}
	}
	mean = meanOf(all)
	squares := 0.0
	for _, d := range all {
		squares += (d - mean) * (d - mean)
	}
	if len(all) > 1 {
		spread = math.Sqrt(squares/float64(len(all)-1)) / math.Sqrt(float64(len(all)))
	}
	return mean, spread, len(all)
}

// Verdict says whether a way is better or worse than the standing one, or that the plays
// don't tell.
func (t *Table) Verdict(way string) string {
	mean, spread, plays := t.Difference(way)
	switch {
	case plays < 3 || math.Abs(mean) <= surely*spread:
		return "not told apart"
	case mean > 0:
		return "better"
	}
	return "worse"
}

// String is the comparison as a table in markdown.
func (t *Table) String() string {
	var b strings.Builder
	plays := make(map[string]bool)
	for _, of := range t.figures {
		for play := range of {
			plays[play] = true
		}
	}
	order := make([]string, 0, len(plays))
	for play := range plays {
		order = append(order, play)
	}
	slices.Sort(order)
	fmt.Fprintf(&b, "| play | %s |\n|%s\n", strings.Join(t.ways, " | "), strings.Repeat(" --- |", len(t.ways)+1))
	for _, play := range order {
		fmt.Fprintf(&b, "| %s |", play)
		for _, way := range t.ways {
			b.WriteString(t.cell(way, play))
		}
		b.WriteString("\n")
	}
	b.WriteString("| mean |")
	for _, way := range t.ways {
		var all []float64
		for _, figure := range t.figures[way] {
			all = append(all, figure)
		}
		fmt.Fprintf(&b, " %.3f |", meanOf(all))
	}
	b.WriteString("\n")
	for _, way := range t.ways[min(1, len(t.ways)):] {
		mean, spread, n := t.Difference(way)
		fmt.Fprintf(&b, "\n%s: %+.3f, standard error %.3f, %d pairs: %s\n", way, mean, spread, n, t.Verdict(way))
	}
	return b.String()
}

func (t *Table) cell(way, play string) string {
	figure, ok := t.figures[way][play]
	if !ok {
		return " |"
	}
	return fmt.Sprintf(" %.3f |", figure)
}

func meanOf(all []float64) float64 {
	if len(all) == 0 {
		return 0
	}
	sum := 0.0
	for _, x := range all {
		sum += x
	}
	return sum / float64(len(all))
}
