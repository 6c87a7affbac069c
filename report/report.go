// Package report shows service-level burn: as a table, as JSON and as one HTML
// page that needs nothing else.
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
	timeForm = "2006-01-02 15:04Z"
	percent  = 100
	// shownBlames is how many blames one line of the table has room for.
	shownBlames = 2
)

type (
	// Report is how all objectives stand, over the entries that answered.
	Report struct {
		// At is the time of the report, in UTC.
		At time.Time `json:"at"`
		// Entries answered.
		Entries []string `json:"entries"`
		// Missing did not answer, each with why; what they counted lacks here.
		Missing []string `json:"missing"`
		// Budgets are the objectives, those in trouble first.
		Budgets []budget.Budget `json:"budgets"`
	}

	// Option changes a Report as New makes it.
	Option func(*Report)

	key struct {
		policy    string
		objective goal.Objective
	}
)

// New adds up the series of several entries.
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
			own := s.Clone()
			merged[k] = &own
			continue
		}
		merged[k].Merge(s)
	}
	for _, s := range merged {
		r.Budgets = append(r.Budgets, s.Budget(at))
	}
	slices.SortFunc(r.Budgets, byTrouble)
	return r
}

// WithEntries names who answered. The default is nobody.
func WithEntries(names ...string) Option {
	return func(r *Report) { r.Entries = append(r.Entries, names...) }
}

// WithMissing names who did not, and why. The default is nobody.
func WithMissing(reasons ...string) Option {
	return func(r *Report) { r.Missing = append(r.Missing, reasons...) }
}

// Table returns the report for a terminal.
func (r *Report) Table() string {
	g := grid.New("STATE", "POLICY", "OBJECTIVE", "PROMISE", "BURN 5m", "BURN 1h", "LEFT", "RUNS OUT", "SINCE", "BURNT BY")
	for _, b := range r.Budgets {
		g.Add(b.State, b.Policy, b.Objective.Name, Promise(b.Objective),
			Rate(b.ShortRate), Rate(b.LongRate), Share(b.Left), moment(b.RunsOut), moment(b.Since), burntBy(b))
	}
	text := fmt.Sprintf("Service-level burn at %s, %s\n\n", r.At.Format(timeForm), r.sources())
	if len(r.Budgets) == 0 {
		return text + "No policy declares an objective.\n"
	}
	return text + g.Text()
}

// Promise says in words what an objective promises.
func Promise(o goal.Objective) string {
	switch {
	case o.Success != 0 && o.Latency != 0:
		return fmt.Sprintf("%s of %s answered within %s, over %s", Share(o.Success), subject(o), o.Latency, o.Window)
	case o.Success != 0:
		return fmt.Sprintf("%s of %s answered, over %s", Share(o.Success), subject(o), o.Window)
	case o.Freshness != 0:
		return fmt.Sprintf("%s of samples fresh for %s, over %s", Share(o.Freshness), subject(o), o.Window)
	}
	return fmt.Sprintf("%s idle at most for %s, over %s", Share(o.IdleShare), subject(o), o.Window)
}

// Share writes a share as a percentage with as many digits as it needs.
func Share(v float64) string {
	return strconv.FormatFloat(round(v*percent), 'f', -1, 64) + "%"
}

// Rate writes a burn rate.
func Rate(v float64) string {
	return strconv.FormatFloat(v, 'f', 1, 64)
}

func (r *Report) sources() string {
	text := fmt.Sprintf("from %d entries", len(r.Entries))
	if len(r.Missing) > 0 {
		text += "; without " + strings.Join(r.Missing, "; ")
	}
	return text
}

// burntBy names the worst of the last hour, or of the whole window when the last
// hour was good.
func burntBy(b budget.Budget) string {
	blames := b.Recent
	if len(blames) == 0 {
		blames = b.Blames
	}
	var names []string
	for _, one := range blames[:min(len(blames), shownBlames)] {
		names = append(names, blameText(one))
	}
	return strings.Join(names, ", ")
}

func blameText(b blame.Blame) string {
	return fmt.Sprintf("%s: %s %d", b.Who, b.Cause, b.Bad)
}

func subject(o goal.Objective) string {
	return cmp.Or(o.Caller, o.Service, o.Subscription)
}

func moment(t time.Time) string {
	if t.IsZero() {
		return "-"
	}
	return t.UTC().Format(timeForm)
}

// round keeps two digits after the point.
func round(v float64) float64 {
	text := strconv.FormatFloat(v, 'f', 2, 64)
	rounded, err := strconv.ParseFloat(text, 64)
	if err != nil {
		return v
	}
	return rounded
}

func byTrouble(a, b budget.Budget) int {
	order := []string{budget.StateBurning, budget.StateSpent, budget.StateKept, budget.StateNoData}
	return cmp.Or(
		cmp.Compare(slices.Index(order, a.State), slices.Index(order, b.State)),
		cmp.Compare(a.Left, b.Left),
		cmp.Compare(a.Policy, b.Policy),
		cmp.Compare(a.Objective.Name, b.Objective.Name),
	)
}
