// Package subscr defines the subscription resource: which samples a trainer
// gets, how stale they may be and how soon a step should be complete.
package subscr

import (
	"time"

	"github.com/lavendermux/lavendermux/fault"
	"github.com/lavendermux/lavendermux/xtime"
)

const (
	defaultStalenessBound = 4
	defaultWeight         = 0.5
	defaultStepWithin     = xtime.Duration(4 * time.Minute)
	defaultGroupSize      = 8
	maxGroupSize          = 1024
	defaultStragglerMoves = 4
	maxStragglerMoves     = 64
)

// Subscription is the spec of a resource of kind "subscription".
type Subscription struct {
	// Pool is the name of an existing pool that generates the samples.
	Pool string `json:"pool"`
	// Model is the model in training; the pool serves it.
	Model string `json:"model"`
	// StalenessBound is the maximum number of versions by which the oldest weights
	// in a sample may lag the trainer's newest at delivery; 0 delivers only
	// samples of the newest weights. The default is 4.
	StalenessBound int64 `json:"stalenessBound"`
	// IdleWeight is the relative cost of a trainer's idle time when trainers
	// compete, 0 to 1. The default is 0.5.
	IdleWeight float64 `json:"idleWeight"`
	// StalenessWeight is the relative cost of a sample's staleness, 0 to 1.
	// IdleWeight and StalenessWeight are not both 0. The default is 0.5.
	StalenessWeight float64 `json:"stalenessWeight"`
	// StepTarget is the target time for all samples of a step to be complete. The
	// default is 4m.
	StepTarget xtime.Duration `json:"stepWithin"`
	// GroupSize is the number of samples generated for one prompt, 1 to 1024. The
	// default is 8.
	GroupSize int `json:"groupSize"`
	// MaxStragglerMoves is the maximum number of times that a straggling sample may
	// migrate to another worker near the end of a step, 0 to 64. The default is 4.
	MaxStragglerMoves int `json:"stragglerMoves"`
	// TrainerCursor says that the trainer sends its cursor with each pull, so that
	// delivery continues during an outage of the metadata store. The default is
	// false, which works with every trainer.
	TrainerCursor bool `json:"cursor"`
}

// Default returns a Subscription with default values; Pool and Model have none.
//
//	s := subscr.Default()
//	err := strict.Decode(raw, &s)
func Default() Subscription {
	return Subscription{
		StalenessBound:    defaultStalenessBound,
		IdleWeight:        defaultWeight,
		StalenessWeight:   defaultWeight,
		StepTarget:        defaultStepWithin,
		GroupSize:         defaultGroupSize,
		MaxStragglerMoves: defaultStragglerMoves,
	}
}

// Validate returns a *fault.FieldsError that lists every invalid field. The
// existence of the pool is checked with the references between resources.
func (s Subscription) Validate() error {
	var bad fault.FieldsError
	bad.Check(s.Pool != "", "pool", "is empty; name the pool that makes the samples")
	bad.Check(s.Model != "", "model", "is empty; name the model that is trained")
	bad.Check(s.StalenessBound >= 0, "stalenessBound", "is negative")
	bad.Check(s.IdleWeight >= 0 && s.IdleWeight <= 1, "idleWeight", "lies between 0 and 1")
	bad.Check(s.StalenessWeight >= 0 && s.StalenessWeight <= 1, "stalenessWeight", "lies between 0 and 1")
	bad.Check(s.IdleWeight != 0 || s.StalenessWeight != 0, "idleWeight", "and stalenessWeight are both 0; one must count")
	bad.Check(s.StepTarget > 0, "stepWithin", "is not above zero")
	bad.Check(s.GroupSize >= 1 && s.GroupSize <= maxGroupSize, "groupSize", "lies between 1 and 1024")
	bad.Check(s.MaxStragglerMoves >= 0 && s.MaxStragglerMoves <= maxStragglerMoves, "stragglerMoves", "lies between 0 and 64")
	return bad.Err()
}
