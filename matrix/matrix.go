// Package matrix says which fault is proved at which step: the table that
// docs/FAULTS.md is made from, and the tests that prove its cells over a whole
// small deployment in virtual time.
package matrix

import (
	"slices"
)

// The states of a cell.
const (
	// Proved cells name the test that plays the fault while the step is under way.
	Proved = "proved"
	// Cannot cells say why the fault cannot meet the step.
	Cannot = "cannot happen"
	// Open cells have no proof.
	Open = "not proved"
)

type (
	// Cell is one fault at one step.
	Cell struct {
		// Fault is the row.
		Fault string
		// Step is the column.
		Step string
		// State is Proved, Cannot or Open.
		State string
		// Test is the name of the test of this package that proves the cell, empty
		// in any other state.
		Test string
		// Why says why the fault cannot meet the step; empty in any other state.
		Why string
	}

	// row is one fault with the tests that play it. A step without either is
	// Open.
	row struct {
		fault  string
		proved map[string][]string
		cannot map[string][]string
	}
)

// Steps returns the columns of the table in their order.
func Steps() []string {
	return slices.Concat(live, rollout, weights, configuration, stopping, takeOver)
}

// Table returns all cells, row by row.
//
//	for _, c := range matrix.Table() {
//		fmt.Println(c.Fault, c.Step, c.State)
//	}
func Table() []Cell {
	var out []Cell
	for _, r := range rows {
		for _, step := range Steps() {
			out = append(out, r.cell(step))
		}
	}
	return out
}

func (r row) cell(step string) Cell {
	c := Cell{Fault: r.fault, Step: step, State: Open}
	for test, steps := range r.proved {
		// The least name, so that a cell with two tests does not depend on chance.
		if slices.Contains(steps, step) && (c.Test == "" || test < c.Test) {
			c.State, c.Test = Proved, test
		}
	}
	for why, steps := range r.cannot {
		if c.State == Open && slices.Contains(steps, step) {
			c.State, c.Why = Cannot, why
		}
	}
	return c
}
