// Package report formats the error budgets of service-level objectives as a table, as
// JSON and as one self-contained HTML page, and the load of a deployment, from the logs of
// its processes, as tables.
package report

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/lavendermux/lavendermux/blame"
	"github.com/lavendermux/lavendermux/budget"
	"github.com/lavendermux/lavendermux/burn"
	"github.com/lavendermux/lavendermux/goal"
	"github.com/lavendermux/lavendermux/grid"
)

const (
	timeFormat = "2006-01-02 15:04Z"
	percent    = 100
	// maxShownBlames bounds the blames in one row of the table.
	maxShownBlames = 2
)

type (
	// Report has the budgets of all objectives, merged over the entries that responded.
	Report struct {
		// At is the time of the report, in UTC.
		At time.Time `json:"at"`
		// Entries are the entries that responded.
		Entries []string `json:"entries"`
		// Missing are the entries that failed to respond, each with its error. The
		// report lacks their counts.
		Missing []string `json:"missing"`
		// Budgets are the budgets of all objectives, the worst first.
		Budgets []budget.Budget `json:"budgets"`
	}

	// Option configures a Report. See New.
	Option func(*Report)

	key struct {
		policy    string
		objective goal.Objective
	}
)

// New returns a report of the merged series of several entries.
//
//	r := report.New(time.Now(), series, report.WithEntries("entry-1", "entry-2"))
//	os.Stdout.WriteString(r.Table())
func New(at time.Time, series []burn.Series, opts ...Option) *Report {
	r := &Report{At: at.UTC().Truncate(time.Second), Entries: []string{}, Missing: []string{}, Budgets: []budget.Budget{}}
	for _, opt := range opts {
		opt(r)
	}
	merged := make(map[key]*burn.Series)
	for _, s := range series {
		k := key{policy: s.Policy, objective: s.Objective}
		if merged[k] == nil {
			clone := s.Clone()
			merged[k] = &clone
			continue
		}
		merged[k].Merge(s)
	}
	for _, s := range merged {
		r.Budgets = append(r.Budgets, s.Budget(at))
	}
	slices.SortFunc(r.Budgets, bySeverity)
	return r
}

// WithEntries adds the names of entries that responded. The default is none.
func WithEntries(names ...string) Option {
	return func(r *Report) { r.Entries = append(r.Entries, names...) }
}

// WithMissing adds entries that failed to respond, each with its error. The default is
// none.
func WithMissing(reasons ...string) Option {
	return func(r *Report) { r.Missing = append(r.Missing, reasons...) }
}

// Table returns the report for a terminal.
func (r *Report) Table() string {
	g := grid.New("STATE", "POLICY", "OBJECTIVE", "PROMISE", "BURN 5m", "BURN 1h", "LEFT", "RUNS OUT", "SINCE", "BURNT BY")
	for _, b := range r.Budgets {
		g.Add(b.State, b.Policy, b.Objective.Name, DescribeObjective(b.Objective),
			FormatRate(b.ShortRate), FormatRate(b.LongRate), FormatPercent(b.Left), formatTime(b.RunsOut), formatTime(b.Since), topBlames(b))
	}
	text := fmt.Sprintf("Service-level burn at %s, %s\n\n", r.At.Format(timeFormat), r.sources())
	if len(r.Budgets) == 0 {
		return text + "No policy declares an objective.\n"
	}
	return text + g.Text()
}

// DescribeObjective describes an objective in words.
func DescribeObjective(o goal.Objective) string {
	switch {
	case o.Success != 0 && o.Latency != 0:
		return fmt.Sprintf("%s of %s answered within %s, over %s", FormatPercent(o.Success), subject(o), o.Latency, o.Window)
	case o.Success != 0:
		return fmt.Sprintf("%s of %s answered, over %s", FormatPercent(o.Success), subject(o), o.Window)
	case o.Freshness != 0:
		return fmt.Sprintf("%s of samples fresh for %s, over %s", FormatPercent(o.Freshness), subject(o), o.Window)
	}
	return fmt.Sprintf("%s idle at most for %s, over %s", FormatPercent(o.IdleShare), subject(o), o.Window)
}

// FormatPercent formats a share as a percentage with up to two decimals.
func FormatPercent(v float64) string {
	return strconv.FormatFloat(roundToHundredth(v*percent), 'f', -1, 64) + "%"
}

// FormatRate formats a burn rate with one decimal.
func FormatRate(v float64) string {
	return strconv.FormatFloat(v, 'f', 1, 64)
}

func (r *Report) sources() string {
	text := fmt.Sprintf("from %d entries", len(r.Entries))
	if len(r.Missing) > 0 {
		text += "; without " + strings.Join(r.Missing, "; ")
	}
	return text
}

// topBlames formats the worst blames of the last hour, or of the whole window if the
// last hour has none.
func topBlames(b budget.Budget) string {
	blames := b.RecentBlames
	if len(blames) == 0 {
		blames = b.Blames
	}
	var names []string
	for _, top := range blames[:min(len(blames), maxShownBlames)] {
		names = append(names, blameText(top))
	}
	return strings.Join(names, ", ")
}

func blameText(b blame.Blame) string {
	return fmt.Sprintf("%s: %s %d", b.Who, b.Cause, b.Bad)
}

func subject(o goal.Objective) string {
	return cmp.Or(o.Caller, o.Service, o.Subscription)
}

func formatTime(t time.Time) string {
	if t.IsZero() {
		return "-"
	}
	return t.UTC().Format(timeFormat)
}

// roundToHundredth rounds v to two decimals.
func roundToHundredth(v float64) float64 {
	text := strconv.FormatFloat(v, 'f', 2, 64)
	rounded, err := strconv.ParseFloat(text, 64)
	if err != nil {
		return v
	}
	return rounded
}

func bySeverity(a, b budget.Budget) int {
	order := []string{budget.StateBurning, budget.StateExhausted, budget.StateMet, budget.StateNoData}
	return cmp.Or(
		cmp.Compare(slices.Index(order, a.State), slices.Index(order, b.State)),
		cmp.Compare(a.Left, b.Left),
		cmp.Compare(a.Policy, b.Policy),
		cmp.Compare(a.Objective.Name, b.Objective.Name),
	)
}
