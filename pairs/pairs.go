// Package pairs is a paired comparison of policies that were run on the same days with
// the same seeds.
//
// A result differs far more between days, and between runs of one day, than between
// two policies, so that two means side by side prove nothing. Pairing cancels the
// differences between days, and the rest has a standard error.
package pairs

import (
	"fmt"
	"math"
	"slices"
	"strings"
)

// minStandardErrors is how many standard errors a difference must have to count. One
// in twenty differences that don't exist would pass it.
const minStandardErrors = 2

type (
	// Table holds the results of policies on the same runs; the zero value is empty.
	Table struct {
		policies []string
		results  map[string]map[string]float64
	}
)

// Add records the result of a policy on a run, such as "trouble-3 seed 11". The policy
// added first is the baseline.
//
//	t.Add("standing", "trouble-3 seed 11", 0.505)
//	t.Add("own engines first", "trouble-3 seed 11", 0.542)
//	fmt.Print(t.String())
func (t *Table) Add(policy, run string, value float64) {
	if t.results == nil {
		t.results = make(map[string]map[string]float64)
	}
	if t.results[policy] == nil {
		t.policies = append(t.policies, policy)
		t.results[policy] = make(map[string]float64)
	}
	t.results[policy][run] = value
}

// Difference returns by how much a policy's mean is above the baseline's over the runs
// that both have, the standard error of that difference, and the number of those runs.
func (t *Table) Difference(policy string) (mean, stdErr float64, runs int) {
	if len(t.policies) == 0 {
		return 0, 0, 0
	}
	var values []float64
	for run, value := range t.results[policy] {
		if baseline, ok := t.results[t.policies[0]][run]; ok {
			values = append(values, value-baseline)
		}
	}
	mean = meanOf(values)
	squares := 0.0
	for _, d := range values {
		squares += (d - mean) * (d - mean)
	}
	if len(values) > 1 {
		stdErr = math.Sqrt(squares/float64(len(values)-1)) / math.Sqrt(float64(len(values)))
	}
	return mean, stdErr, len(values)
}

// Verdict returns whether a policy is better or worse than the baseline, or that the
// runs can't tell them apart.
func (t *Table) Verdict(policy string) string {
	mean, stdErr, runs := t.Difference(policy)
	switch {
	case runs < 3 || math.Abs(mean) <= minStandardErrors*stdErr:
		return "not told apart"
	case mean > 0:
		return "better"
	}
	return "worse"
}

// String returns the comparison as a table in Markdown.
func (t *Table) String() string {
	var b strings.Builder
	runs := make(map[string]bool)
	for _, byRun := range t.results {
		for run := range byRun {
			runs[run] = true
		}
	}
	order := make([]string, 0, len(runs))
	for run := range runs {
		order = append(order, run)
	}
	slices.Sort(order)
	fmt.Fprintf(&b, "| play | %s |\n|%s\n", strings.Join(t.policies, " | "), strings.Repeat(" --- |", len(t.policies)+1))
	for _, run := range order {
		fmt.Fprintf(&b, "| %s |", run)
		for _, policy := range t.policies {
			b.WriteString(t.cell(policy, run))
		}
		b.WriteString("\n")
	}
	b.WriteString("| mean |")
	for _, policy := range t.policies {
		var values []float64
		for _, value := range t.results[policy] {
			values = append(values, value)
		}
		fmt.Fprintf(&b, " %.3f |", meanOf(values))
	}
	b.WriteString("\n")
	for _, policy := range t.policies[min(1, len(t.policies)):] {
		mean, stdErr, n := t.Difference(policy)
		fmt.Fprintf(&b, "\n%s: %+.3f, standard error %.3f, %d pairs: %s\n", policy, mean, stdErr, n, t.Verdict(policy))
	}
	return b.String()
}

func (t *Table) cell(policy, run string) string {
	value, ok := t.results[policy][run]
	if !ok {
		return " |"
	}
	return fmt.Sprintf(" %.3f |", value)
}

func meanOf(values []float64) float64 {
	if len(values) == 0 {
		return 0
	}
	sum := 0.0
	for _, x := range values {
		sum += x
	}
	return sum / float64(len(values))
}
