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

// row is one step with what was worked out of it.
type row struct {
	*step
	parts
	late  time.Duration
	isOK  bool
	cause string
}

// rows are the steps with their causes, in the order in which they were asked.
func (r *Report) rows() []row {
	var out []row
	var inTime []parts
	for _, s := range r.ordered() {
		w := row{step: s, parts: s.split(r.items[itemKey{batch: s.id, item: s.straggler}])}
		late, isRead := s.late()
		w.late, w.isOK = late, isRead && late == 0
		if w.isOK {
			inTime = append(inTime, w.parts)
		}
		out = append(out, w)
	}
	normal := usual(inTime)
	for i := range out {
		if !out[i].isOK {
			out[i].cause = out[i].step.cause(out[i].parts, normal)
		}
	}
	return out
}

// Table returns the steps, what the late ones waited for, and the live requests
// without an answer, for a terminal. All times are in seconds.
func (r *Report) Table() string {
	rows := r.rows()
	var b strings.Builder
	b.WriteString(stepTable(rows).Text())
	b.WriteString("\n" + causeTable(rows).Text())
	fmt.Fprintf(&b, "\n%d live requests\n", r.live)
	if len(r.lost) > 0 {
		b.WriteString(r.lossTable().Text())
	}
	return b.String()
}

func stepTable(rows []row) *grid.Grid {
	g := grid.New(append(append([]string{"BATCH", "MODEL", "STEP", "ASKED", "BEGUN"}, stageNames[:]...), "WHOLE", "LATE", "MOVED", "CAUSE")...)
	for _, w := range rows {
		cells := []string{w.id, w.model, w.number, seconds(w.asked.Sub(rows[0].asked)), since(w.asked, w.begun)}
		for _, d := range w.parts {
			cells = append(cells, seconds(d))
		}
		late := seconds(w.late)
		if w.read.IsZero() {
			late = "lost"
		}
		g.Add(append(cells, since(w.asked, w.whole), late, strconv.Itoa(w.takeOvers), w.cause)...)
	}
	return g
}

// causeTable sums the late steps up by their causes, the most frequent first.
func causeTable(rows []row) *grid.Grid {
	count, late := make(map[string]int), make(map[string]time.Duration)
	for _, w := range rows {
		name := w.cause
		if w.isOK {
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
		g.Add(name, strconv.Itoa(count[name]), seconds(late[name]))
	}
	return g
}

func (r *Report) lossTable() *grid.Grid {
	losses := make([]loss, 0, len(r.lost))
	for l := range r.lost {
		losses = append(losses, l)
	}
	slices.SortFunc(losses, func(a, b loss) int {
		return cmp.Or(cmp.Compare(r.lost[b], r.lost[a]), strings.Compare(a.outcome, b.outcome),
			strings.Compare(a.cause, b.cause), strings.Compare(a.endpoint, b.endpoint))
	})
	g := grid.New("REQUESTS", "OUTCOME", "LAST AT", "ERROR")
	for _, l := range losses {
		g.Add(strconv.Itoa(r.lost[l]), l.outcome, l.endpoint, l.cause)
	}
	return g
}

func since(from, to time.Time) string {
	if to.IsZero() {
		return "-"
	}
	return seconds(to.Sub(from))
}

func seconds(d time.Duration) string { return strconv.FormatFloat(d.Seconds(), 'f', 2, 64) }
