// Package grid lays out rows of text for a terminal or a page.
package grid

import (
	"strings"
	"unicode/utf8"
)

const gap = "  "

// Grid is a table of text.
type Grid struct {
	// Head names the columns.
	Head []string
	// Rows hold one cell a column each; missing cells are empty.
	Rows [][]string
}

// New returns a grid with the named columns.
//
//	g := grid.New("NAME", "REVISION")
//	g.Add("filing-lm", "12")
func New(head ...string) *Grid {
	return &Grid{Head: head}
}

// Add appends a row.
func (g *Grid) Add(cells ...string) {
	g.Rows = append(g.Rows, cells)
}

// Text returns the table with aligned columns, for a terminal.
func (g *Grid) Text() string {
	widths := g.widths()
	var b strings.Builder
	for _, row := range g.all() {
		line := ""
		for i, w := range widths {
			line += pad(cell(row, i), w) + gap
		}
		b.WriteString(strings.TrimRight(line, " ") + "\n")
	}
	return b.String()
}

// Markdown returns the table as a page shows it.
func (g *Grid) Markdown() string {
	var b strings.Builder
	for i, row := range g.all() {
		cells := make([]string, len(g.Head))
		for j := range g.Head {
			cells[j] = strings.ReplaceAll(cell(row, j), "|", "\\|")
		}
		b.WriteString("| " + strings.Join(cells, " | ") + " |\n")
		if i == 0 {
			b.WriteString("|" + strings.Repeat(" --- |", len(g.Head)) + "\n")
		}
	}
	return b.String()
}

func (g *Grid) all() [][]string {
	return append([][]string{g.Head}, g.Rows...)
}

func (g *Grid) widths() []int {
	widths := make([]int, len(g.Head))
	for _, row := range g.all() {
		for i := range widths {
			widths[i] = max(widths[i], utf8.RuneCountInString(cell(row, i)))
		}
	}
	return widths
}

func cell(row []string, i int) string {
	if i >= len(row) {
		return ""
	}
	return row[i]
}

func pad(s string, width int) string {
	return s + strings.Repeat(" ", max(0, width-utf8.RuneCountInString(s)))
}
