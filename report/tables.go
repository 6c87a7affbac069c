package report

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/lavendermux/lavendermux/grid"
	"github.com/lavendermux/lavendermux/stat"
)

const (
	// maxCustomers is how many customers have a row of their own, those with most requests.
	maxCustomers = 10
	// maxLoadRows bounds the rows of the other tables; the rest is one row.
	maxLoadRows = 50
	// maxShownCauses bounds the causes in one row.
	maxShownCauses = 2

	// nameWidth and numberWidth are the least widths of columns, so that tables look the same
	// whatever their values are.
	nameWidth   = 22
	numberWidth = 8

	noValue = "-"
	median  = 0.5
	p99     = 0.99
)

// Table formats the report for a terminal. All times are in milliseconds. The rows with most
// requests that were refused, late or failed come first.
func (l *load) Table() string {
	var b strings.Builder
	b.WriteString(l.sources())
	customers, others := topCustomers(l.customers)
	l.writeRequests(&b, "customer", customers, others)
	for _, t := range []struct {
		name string
		rows map[string]*requestRow
	}{{"route", l.routes}, {"data centre", l.dataCentres}, {"endpoint", l.endpoints}} {
		l.writeRequests(&b, t.name, slices.Collect(maps.Values(t.rows)), nil)
	}
	b.WriteString(l.unroutedText())
	models, endpoints := l.runRows()
	writeRuns(&b, "model", models)
	writeRuns(&b, "endpoint", endpoints)
	l.writeSubmissions(&b)
	return b.String()
}

// sources describes the logs, and what they lack.
func (l *load) sources() string {
	text := fmt.Sprintf("Load report from %d log lines (%d of other kinds skipped, %d damaged)\n", l.used, l.skipped, l.damaged)
	if l.dropped > 0 {
		text += fmt.Sprintf("%d lines were dropped by the processes: counts are too low.\n", l.dropped)
	}
	if len(l.routes) > 0 && !l.hasObjective {
		text += "No line has a latency objective: LATE counts the requests whose time budget ended.\n"
	}
	return text
}

// topCustomers returns the customers with most requests, and the others as one row.
func topCustomers(rows map[string]*requestRow) (top []*requestRow, others *requestRow) {
	list := slices.Collect(maps.Values(rows))
	slices.SortFunc(list, func(a, b *requestRow) int {
		return cmp.Or(cmp.Compare(b.all, a.all), strings.Compare(a.name, b.name))
	})
	if len(list) <= maxCustomers+1 { // one more takes no more space than "1 other"
		return list, nil
	}
	return list[:maxCustomers], mergeRequests(list[maxCustomers:])
}

func mergeRequests(rows []*requestRow) *requestRow {
	all := &requestRow{name: fmt.Sprintf("(%d others)", len(rows)), causes: make(map[string]int)}
	for _, w := range rows {
		all.merge(w)
	}
	return all
}

func (w *requestRow) bad() int { return w.refused + w.late + w.failed }

func (l *load) writeRequests(b *strings.Builder, by string, rows []*requestRow, others *requestRow) {
	if len(rows) == 0 {
		return
	}
	if len(rows) == 1 && rows[0].name == nameNone {
		fmt.Fprintf(b, "\nRequests by %s: no line names one.\n", by)
		return
	}
	slices.SortFunc(rows, func(a, b *requestRow) int {
		return cmp.Or(cmp.Compare(b.bad(), a.bad()), cmp.Compare(b.all, a.all), strings.Compare(a.name, b.name))
	})
	if len(rows) > maxLoadRows+1 {
		others = mergeRequests(rows[maxLoadRows:])
		rows = rows[:maxLoadRows]
	}
	if others != nil {
		rows = append(rows, others)
	}
	var total time.Duration
	for _, w := range rows {
		total += w.service
	}
	fmt.Fprintf(b, "\nRequests by %s\n", by)
	g := newTable(by, "REQUESTS", "SHARE", "REFUSED", "LATE", "FAILED", "P50", "P99", "WAIT P99")
	g.Header = append(g.Header, "REFUSED FOR")
	for _, w := range rows {
		wait := noValue
		if l.hasWait {
			wait = quantile(&w.waitMs, p99)
		}
		addRow(g, w.name, []string{strconv.Itoa(w.all), formatShare(w.service, total), strconv.Itoa(w.refused), strconv.Itoa(w.late),
			strconv.Itoa(w.failed), quantile(w.latencies(), median), quantile(w.latencies(), p99), wait}, topCauses(w.causes))
	}
	b.WriteString(g.Text())
}

// unroutedText names the requests that were rejected before they had a route.
func (l *load) unroutedText() string {
	if len(l.unrouted) == 0 {
		return ""
	}
	return "\nRejected before they had a route: " + topCauses(l.unrouted) + "\n"
}

// runRows returns the item runs by model and by endpoint.
func (l *load) runRows() (models, endpoints map[string]*runRow) {
	models, endpoints = make(map[string]*runRow), make(map[string]*runRow)
	for key, w := range l.runs {
		runRowOf(models, cmp.Or(key.model, l.models[key.batch], nameNone)).merge(w)
		runRowOf(endpoints, cmp.Or(key.endpoint, nameNone)).merge(w)
	}
	return models, endpoints
}

func runRowOf(rows map[string]*runRow, name string) *runRow {
	if rows[name] == nil {
		rows[name] = &runRow{name: name}
	}
	return rows[name]
}

func writeRuns(b *strings.Builder, by string, all map[string]*runRow) {
	if len(all) == 0 {
		return
	}
	rows := slices.Collect(maps.Values(all))
	slices.SortFunc(rows, func(a, b *runRow) int {
		return cmp.Or(cmp.Compare(b.all-b.completed, a.all-a.completed), cmp.Compare(b.all, a.all), strings.Compare(a.name, b.name))
	})
	if len(rows) > maxLoadRows+1 {
		others := &runRow{name: fmt.Sprintf("(%d others)", len(rows)-maxLoadRows)}
		for _, w := range rows[maxLoadRows:] {
			others.merge(w)
		}
		rows = append(rows[:maxLoadRows], others)
	}
	var total time.Duration
	for _, w := range rows {
		total += w.took
	}
	fmt.Fprintf(b, "\nItem runs by %s\n", by)
	g := newTable(by, "RUNS", "SHARE", "COMPLETED", "CUT OFF", "REJECTED", "BROKEN", "EVENTS", "INTERVAL")
	for _, w := range rows {
		interval := noValue
		if w.events > 0 {
			interval = formatMs(milliseconds(w.paceTime) / float64(w.events))
		}
		addRow(g, w.name, []string{strconv.Itoa(w.all), formatShare(w.took, total), strconv.Itoa(w.completed), strconv.Itoa(w.cutOff),
			strconv.Itoa(w.rejected), strconv.Itoa(w.broken), strconv.Itoa(w.events), interval})
	}
	b.WriteString(g.Text())
}

func (l *load) writeSubmissions(b *strings.Builder) {
	if len(l.submissions) == 0 {
		return
	}
	rows := slices.Collect(maps.Values(l.submissions))
	slices.SortFunc(rows, func(a, b *submissionRow) int {
		return cmp.Or(-strings.Compare(a.status, b.status), cmp.Compare(b.tookMs.Count(), a.tookMs.Count()), strings.Compare(a.model, b.model))
	})
	b.WriteString("\nSubmissions\n")
	g := newTable("model", "STATUS", "REQUESTS", "BATCHES", "P50", "P99", "MAX")
	g.Header = append(g.Header, "ERROR")
	for _, w := range rows {
		addRow(g, cmp.Or(w.model, nameNone), []string{w.status, strconv.Itoa(w.tookMs.Count()), strconv.Itoa(len(w.batches)),
			quantile(&w.tookMs, median), quantile(&w.tookMs, p99), quantile(&w.tookMs, 1)}, topCauses(w.errors))
	}
	b.WriteString(g.Text())
}

// newTable returns a table with a column of names and right-aligned columns of numbers.
func newTable(by string, numbers ...string) *grid.Table {
	header := []string{fmt.Sprintf("%-*s", nameWidth, strings.ToUpper(by))}
	for _, name := range numbers {
		header = append(header, alignRight(name, name))
	}
	return grid.New(header...)
}

// addRow adds a row to a table of newTable; texts follow the numbers.
func addRow(g *grid.Table, name string, numbers []string, texts ...string) {
	cells := []string{name}
	for i, n := range numbers {
		cells = append(cells, alignRight(n, g.Header[i+1]))
	}
	g.Add(append(cells, texts...)...)
}

func alignRight(text, header string) string {
	return fmt.Sprintf("%*s", max(numberWidth, len(header)), text)
}

// topCauses formats the most frequent causes, each after its number.
func topCauses(causes map[string]int) string {
	names := slices.SortedFunc(maps.Keys(causes), func(a, b string) int {
		return cmp.Or(cmp.Compare(causes[b], causes[a]), strings.Compare(a, b))
	})
	var texts []string
	others := 0
	for i, name := range names {
		if i < maxShownCauses {
			texts = append(texts, fmt.Sprintf("%d %s", causes[name], name))
			continue
		}
		others += causes[name]
	}
	if others > 0 {
		texts = append(texts, fmt.Sprintf("%d others", others))
	}
	return strings.Join(texts, ", ")
}

func quantile(s *stat.Series, q float64) string {
	if s.Count() == 0 {
		return noValue
	}
	return strconv.FormatFloat(s.Quantile(q), 'f', 0, 64)
}

func formatMs(v float64) string { return strconv.FormatFloat(v, 'f', 1, 64) }

func formatShare(part, total time.Duration) string {
	if total == 0 {
		return noValue
	}
	return strconv.FormatFloat(percent*float64(part)/float64(total), 'f', 1, 64) + "%"
}
