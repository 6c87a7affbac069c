// Package budget defines the state of an objective's error budget at one point in time.
package budget

import (
	"time"

	"github.com/lavendermux/lavendermux/blame"
	"github.com/lavendermux/lavendermux/goal"
	"github.com/lavendermux/lavendermux/xtime"
)

const (
	// StateMet means that the objective is met.
	StateMet = "kept"
	// StateBurning means that the burn rates of the short and the long window are above
	// the threshold.
	StateBurning = "burning"
	// StateExhausted means that the budget is exhausted.
	StateExhausted = "spent"
	// StateNoData means that there were no events.
	StateNoData = "noData"
)

// Budget is the error budget of one objective. A burn rate of 1 spends exactly the budget
// of a window in that window.
type Budget struct {
	// Policy is the name of the resource that declares the objective.
	Policy string `json:"policy"`
	// Objective is the declared objective with defaults applied.
	Objective goal.Objective `json:"objective"`
	// State is one of the constants above.
	State string `json:"state"`
	// Allowed is the share of events that may be bad, above 0 and below 1.
	Allowed float64 `json:"allowed"`
	// Short and Long are the two windows of the alert: the long one shows that a burn is
	// significant, the short one that it still goes on.
	Short xtime.Duration `json:"short"`
	Long  xtime.Duration `json:"long"`
	// ShortRate and LongRate are the burn rates over these windows.
	ShortRate float64 `json:"shortRate"`
	LongRate  float64 `json:"longRate"`
	// Threshold is the burn rate that both windows exceed in StateBurning.
	Threshold float64 `json:"threshold"`
	// Good and Bad are the events in the objective's window.
	Good int64 `json:"good"`
	Bad  int64 `json:"bad"`
	// Left is the remaining share of the budget; below 0 if it is overspent.
	Left float64 `json:"left"`
	// RunsOut is when the budget will be exhausted at LongRate; zero if that is not
	// within a window, or the budget is exhausted already.
	RunsOut time.Time `json:"runsOut,omitzero"`
	// Since is the start of counting. Entries keep counts in memory only, so it can be
	// later than the start of the window; Left then assumes that all events before it
	// were good.
	Since time.Time `json:"since,omitzero"`
	// Blames are the top causes over the objective's window, the worst first.
	Blames []blame.Blame `json:"blames"`
	// RecentBlames are the top causes over the long window, the worst first.
	RecentBlames []blame.Blame `json:"recent"`
	// History is the remaining share of the budget at the end of each hour; the last hour is
	// the current one.
	History []float64 `json:"line"`
	// HistoryStart is the start of the first hour of History.
	HistoryStart time.Time `json:"lineStart,omitzero"`
}
