package stages

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/lavendermux/lavendermux/grid"
)

// row is one step with the values computed from it.
type row struct {
	*step
	stageDurations
	late   time.Duration
	inTime bool
	cause  string
}

// rows returns the accepted steps with their stage times and causes, in the order of
// submission.
func (r *Report) rows() []row {
	var out []row
	var inTimeRows []stageDurations
	for _, s := range r.acceptedSteps() {
		w := row{step: s, stageDurations: s.stageTimes(r.items[itemKey{batch: s.id, item: s.straggler}])}
		late, isRead := s.late()
		w.late, w.inTime = late, isRead && late == 0
		if w.inTime {
			inTimeRows = append(inTimeRows, w.stageDurations)
		}
		out = append(out, w)
	}
	normal := medianTimes(inTimeRows)
	for i := range out {
		if !out[i].inTime {
			out[i].cause = out[i].step.cause(out[i].stageDurations, normal)
		}
	}
	return out
}

// Table formats the steps, the causes of the late ones and the live requests without a
// response, for a terminal. All times are in seconds.
func (r *Report) Table() string {
	rows := r.rows()
	var b strings.Builder
	b.WriteString(stepTable(rows).Text())
	b.WriteString("\n" + causeTable(rows).Text())
	fmt.Fprintf(&b, "\n%d live requests\n", r.liveRequests)
	if len(r.failures) > 0 {
		b.WriteString(r.failureTable().Text())
	}
	return b.String()
}

func stepTable(rows []row) *grid.Table {
	g := grid.New(append(append([]string{"BATCH", "MODEL", "STEP", "ASKED", "BEGUN"}, stageNames[:]...), "WHOLE", "LATE", "MOVED", "CAUSE")...)
	for _, w := range rows {
		cells := []string{w.id, w.model, w.number, formatSeconds(w.submitted.Sub(rows[0].submitted)), formatElapsed(w.submitted, w.started)}
		for _, d := range w.stageDurations {
			cells = append(cells, formatSeconds(d))
		}
		late := formatSeconds(w.late)
		if w.read.IsZero() {
			late = "lost"
		}
		g.Add(append(cells, formatElapsed(w.submitted, w.completed), late, strconv.Itoa(w.takeovers), w.cause)...)
	}
	return g
}

// causeTable counts the steps by cause, the most frequent cause first.
func causeTable(rows []row) *grid.Table {
	count, late := make(map[string]int), make(map[string]time.Duration)
	for _, w := range rows {
		name := w.cause
		if w.inTime {
			name = "in time"
		}
		count[name]++
		late[name] += w.late
	}
	names := make([]string, 0, len(count))
	for name := range count {
		names = append(names, name)
	}
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Or(cmp.Compare(count[b], count[a]), strings.Compare(a, b))
	})
	g := grid.New("CAUSE", "STEPS", "SECONDS LATE")
	for _, name := range names {
		g.Add(name, strconv.Itoa(count[name]), formatSeconds(late[name]))
	}
	return g
}

func (r *Report) failureTable() *grid.Table {
	keys := make([]failureKey, 0, len(r.failures))
	for k := range r.failures {
		keys = append(keys, k)
	}
	slices.SortFunc(keys, func(a, b failureKey) int {
		return cmp.Or(cmp.Compare(r.failures[b], r.failures[a]), strings.Compare(a.outcome, b.outcome),
			strings.Compare(a.cause, b.cause), strings.Compare(a.endpoint, b.endpoint))
	})
	g := grid.New("REQUESTS", "OUTCOME", "LAST AT", "ERROR")
	for _, k := range keys {
		g.Add(strconv.Itoa(r.failures[k]), k.outcome, k.endpoint, k.cause)
	}
	return g
}

func formatElapsed(from, to time.Time) string {
	if to.IsZero() {
		return "-"
	}
	return formatSeconds(to.Sub(from))
}

func formatSeconds(d time.Duration) string { return strconv.FormatFloat(d.Seconds(), 'f', 2, 64) }
