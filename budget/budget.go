// Package budget holds how an objective stands at one moment.
package budget

import (
	"time"

	"github.com/lavendermux/lavendermux/blame"
	"github.com/lavendermux/lavendermux/goal"
	"github.com/lavendermux/lavendermux/span"
)

const (
	// StateKept says that the promise is being kept.
	StateKept = "kept"
	// StateBurning says that the budget is being spent fast, in the short and in
	// the long window.
	StateBurning = "burning"
	// StateSpent says that nothing of the budget is left.
	StateSpent = "spent"
	// StateNoData says that nothing has been counted.
	StateNoData = "noData"
)

// Budget is one objective's error budget. A burn rate of 1 spends exactly
// the budget of a window in that window.
type Budget struct {
	// Policy is the resource that declares the objective.
	Policy string `json:"policy"`
	// Objective as declared, with its defaults.
	Objective goal.Objective `json:"objective"`
	// State is StateKept, StateBurning, StateSpent or StateNoData.
	State string `json:"state"`
	// Allowed is the share of events that may be bad, above 0 and below 1.
	Allowed float64 `json:"allowed"`
	// Short and Long are the two windows that are looked at together: the
	// long one says that it matters, the short one that it still goes on.
	Short span.Duration `json:"short"`
	Long  span.Duration `json:"long"`
	// ShortRate and LongRate are the burn rates over them.
	ShortRate float64 `json:"shortRate"`
	LongRate  float64 `json:"longRate"`
	// Threshold is the burn rate above which both windows mean StateBurning.
	Threshold float64 `json:"threshold"`
	// Good and Bad are the events in the objective's window.
	Good int64 `json:"good"`
	Bad  int64 `json:"bad"`
	// Left is the share of the budget that is left; below 0 when more than
	// all has been spent.
	Left float64 `json:"left"`
	// RunsOut is when nothing will be left at LongRate; zero when it will
	// not, or has happened.
	RunsOut time.Time `json:"runsOut,omitzero"`
	// Since is when counting began. Entries keep counts in memory only, so
	// it can be later than the window's start; Left then takes what came
	// before for good.
	Since time.Time `json:"since,omitzero"`
	// Blames are the worst first, over the objective's window.
	Blames []blame.Blame `json:"blames"`
	// Recent are the worst of the long window, who burn it now.
	Recent []blame.Blame `json:"recent"`
	// Line is the share that was left at the end of each hour from
	// LineStart; the last hour is not over yet.
	Line []float64 `json:"line"`
	// LineStart is the start of the first hour of Line.
	LineStart time.Time `json:"lineStart,omitzero"`
}
