// Package demand holds what one trainer needs from the shared engines.
package demand

import "time"

// Demand is one trainer's need as the choice between trainers sees it.
type Demand struct {
	// Trainer names it.
	Trainer string
	// Bound is the greatest age in versions at which a sample may be delivered.
	Bound int64
	// Version is the last that the trainer has published, Loaded the one that
	// engines start new work on; Loaded is at most Version.
	Version, Loaded int64
	// Published is when Version was published, and Every the usual time between
	// two versions; Every is greater than 0.
	Published time.Time
	Every     time.Duration
	// Step is how many samples the trainer takes for one step; at least 1.
	Step int
	// Held is how many samples run or are ready and not yet delivered.
	Held int
	// Ready is how many of Held have finished.
	Ready int
	// Waiting is how many samples could begin.
	Waiting int
	// Duration is how long the next of them is expected to run.
	Duration time.Duration
	// Idle is since when the trainer waits for its step; zero while it trains.
	Idle time.Time
	// IdleWeight and StalenessWeight, 0 to 1, say what the trainer's operators
	// mind: a trainer that waits, or samples of old weights.
	IdleWeight, StalenessWeight float64
}

// Lacking returns how many samples of the next step are not ready.
func (d *Demand) Lacking() int {
	return max(0, d.Step-d.Ready)
}
