// Package matrix is the coverage matrix of faults and steps: which test proves which
// fault at which step. docs/FAULTS.md is generated from it, and its tests run a small
// but complete deployment in virtual time.
package matrix

import (
	"slices"
)

// The states of a cell.
const (
	// Proved cells name the test that injects the fault while the step is in progress.
	Proved = "proved"
	// Impossible cells say why the fault cannot affect the step.
	Impossible = "cannot happen"
	// Unproved cells have no proof.
	Unproved = "not proved"
)

type (
	// Cell is one fault at one step.
	Cell struct {
		// Fault is the row.
		Fault string
		// Step is the column.
		Step string
		// State is Proved, Impossible or Unproved.
		State string
		// Test is the name of the test of this package that proves the cell, empty
		// in any other state.
		Test string
		// Reason is the reason why the fault cannot affect the step; empty in any other
		// state.
		Reason string
	}

	// row is one fault with the tests that inject it. A step in neither map is Unproved.
	row struct {
		fault  string
		proved map[string][]string
		cannot map[string][]string
	}
)

// Steps returns the columns of the table in order.
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
	c := Cell{Fault: r.fault, Step: step, State: Unproved}
	for test, steps := range r.proved {
		// The lowest name, so that the result for a cell with two tests is
		// deterministic.
		if slices.Contains(steps, step) && (c.Test == "" || test < c.Test) {
			c.State, c.Test = Proved, test
		}
	}
	for why, steps := range r.cannot {
		if c.State == Unproved && slices.Contains(steps, step) {
			c.State, c.Reason = Impossible, why
		}
	}
	return c
}
