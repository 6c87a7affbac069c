// Package demand describes the demand of one trainer for samples from shared engines.
package demand

import "time"

// Demand is the demand and progress of one trainer, as input for the scheduler.
type Demand struct {
	// Trainer is the trainer's name.
	Trainer string
	// MaxStaleness is the maximum staleness, in versions, of a sample at delivery.
	MaxStaleness int64
	// Version is the last weight version that the trainer published. LoadedVersion is
	// the one on which engines start new work; at most Version.
	Version, LoadedVersion int64
	// Published is when Version was published.
	Published time.Time
	// PublishInterval is the usual interval between versions; greater than 0.
	PublishInterval time.Duration
	// StepSize is the number of samples per step; at least 1.
	StepSize int
	// Outstanding is the number of samples that are running, or ready but not delivered.
	Outstanding int
	// Ready is the number of these that have finished.
	Ready int
	// Waiting is the number of samples that could start.
	Waiting int
	// ExpectedDuration is the expected run time of the next of them.
	ExpectedDuration time.Duration
	// IdleSince is when the trainer began to wait for its step; zero while it trains.
	IdleSince time.Time
	// IdleWeight and StalenessWeight, 0 to 1, are the relative costs of trainer idle
	// time and of sample staleness, as set by the trainer's operators.
	IdleWeight, StalenessWeight float64
}

// Missing returns the number of samples of the next step that are not ready.
func (d *Demand) Missing() int {
	return max(0, d.StepSize-d.Ready)
}
