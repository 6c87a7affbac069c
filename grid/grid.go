// Package grid formats tables as aligned text or Markdown.
package grid

import (
	"strings"
	"unicode/utf8"
)

const columnGap = "  "

// Table is a table of text.
type Table struct {
	// Header has the column headers.
	Header []string
	// Rows have one cell per column; missing cells are empty.
	Rows [][]string
}

// New returns a Table without rows, with the given column headers.
//
//	g := grid.New("NAME", "REVISION")
//	g.Add("filing-lm", "12")
func New(head ...string) *Table {
	return &Table{Header: head}
}

// Add appends a row.
func (g *Table) Add(cells ...string) {
	g.Rows = append(g.Rows, cells)
}

// Text returns the table with aligned columns, for a terminal.
func (g *Table) Text() string {
	widths := g.widths()
	var b strings.Builder
	for _, row := range g.allRows() {
		line := ""
		for i, w := range widths {
			line += pad(cellAt(row, i), w) + columnGap
		}
		b.WriteString(strings.TrimRight(line, " ") + "\n")
	}
	return b.String()
}

// Markdown returns the table in Markdown.
func (g *Table) Markdown() string {
	var b strings.Builder
	for i, row := range g.allRows() {
		cells := make([]string, len(g.Header))
		for j := range g.Header {
			cells[j] = strings.ReplaceAll(cellAt(row, j), "|", "\\|")
		}
		b.WriteString("| " + strings.Join(cells, " | ") + " |\n")
		if i == 0 {
			b.WriteString("|" + strings.Repeat(" --- |", len(g.Header)) + "\n")
		}
	}
	return b.String()
}

func (g *Table) allRows() [][]string {
	return append([][]string{g.Header}, g.Rows...)
}

func (g *Table) widths() []int {
	widths := make([]int, len(g.Header))
	for _, row := range g.allRows() {
		for i := range widths {
			widths[i] = max(widths[i], utf8.RuneCountInString(cellAt(row, i)))
		}
	}
	return widths
}

func cellAt(row []string, i int) string {
	if i >= len(row) {
		return ""
	}
	return row[i]
}

func pad(s string, width int) string {
	return s + strings.Repeat(" ", max(0, width-utf8.RuneCountInString(s)))
}
