// Package pool defines the pool resource: the workers of one model service, the
// models they serve, and how live requests and rollouts share their slots.
package pool

import (
	"time"

	"github.com/lavendermux/lavendermux/fault"
	"github.com/lavendermux/lavendermux/netad"
	"github.com/lavendermux/lavendermux/xtime"
)

const (
	defaultLiveReserve  = 0.2
	defaultQueueLimit   = 64
	defaultSwitchWithin = xtime.Duration(6 * time.Second)
	defaultStageRate    = 2
	defaultMaxOutput    = 4096
	maxOutputTokens     = 1 << 20
	maxQueueLimit       = 1 << 16
)

// Pool is the spec of a resource of kind "pool".
type Pool struct {
	// Service is the model service whose workers form the pool; not empty.
	Service string `json:"service"`
	// Models are served by every worker; at least one, without duplicates.
	Models []string `json:"models"`
	// Scorer is the URL of the service that scores finished samples; empty if
	// trainers get samples without a score.
	Scorer string `json:"scorer,omitempty"`
	// LiveReserve is the fraction of slots, 0 to 1, that rollouts never use, so
	// that live requests start at once. The default is 0.2.
	LiveReserve float64 `json:"liveReserve"`
	// MinimumSlots is the number of rollout slots, over the whole pool, that live
	// requests never use. The default is 0.
	MinimumSlots int `json:"minimumSlots"`
	// GuaranteeSlots is the number of rollout slots that are returned soon after
	// live requests took them; at least MinimumSlots. The default is 0, which
	// means MinimumSlots.
	GuaranteeSlots int `json:"guaranteeSlots"`
	// QueueLimit is the maximum number of requests queued at one worker; further
	// ones are rejected. At least 1. The default is 64.
	QueueLimit int `json:"queueLimit"`
	// SwitchTimeout bounds the time to activate a staged version on all workers.
	// The default is 6s.
	SwitchTimeout xtime.Duration `json:"switchWithin"`
	// StagePerSecond is the rate at which workers start to stage a version, over
	// the whole pool; it bounds the load on the weight store. The default is 2.
	StagePerSecond float64 `json:"stagePerSecond"`
	// MaxOutputTokens is the maximum length of one response, in tokens. The default
	// is 4096.
	MaxOutputTokens int `json:"maxOutput"`
}

// Default returns a Pool with default values; Service and Models have none.
//
//	p := pool.Default()
//	err := strict.Decode(raw, &p)
func Default() Pool {
	return Pool{
		LiveReserve:     defaultLiveReserve,
		QueueLimit:      defaultQueueLimit,
		SwitchTimeout:   defaultSwitchWithin,
		StagePerSecond:  defaultStageRate,
		MaxOutputTokens: defaultMaxOutput,
	}
}

// Validate returns a *fault.FieldsError that lists every invalid field.
func (p Pool) Validate() error {
	var bad fault.FieldsError
	bad.Check(p.Service != "", "service", "is empty; name the service whose workers form the pool")
	p.checkModels(&bad)
	if p.Scorer != "" {
		bad.Merge("scorer", netad.CheckURL(p.Scorer))
	}
	bad.Check(p.LiveReserve >= 0 && p.LiveReserve <= 1, "liveReserve", "is a share and lies between 0 and 1")
	bad.Check(p.MinimumSlots >= 0, "minimumSlots", "is negative")
	bad.Check(p.GuaranteeSlots == 0 || p.GuaranteeSlots >= p.MinimumSlots, "guaranteeSlots", "is below minimumSlots")
	bad.Check(p.QueueLimit >= 1 && p.QueueLimit <= maxQueueLimit, "queueLimit", "lies between 1 and 65536")
	bad.Check(p.SwitchTimeout > 0, "switchWithin", "is not above zero")
	bad.Check(p.StagePerSecond > 0, "stagePerSecond", "is not above zero; nothing would ever be staged")
	bad.Check(p.MaxOutputTokens >= 1 && p.MaxOutputTokens <= maxOutputTokens, "maxOutput", "lies between 1 and 1048576 tokens")
	return bad.Err()
}

func (p Pool) checkModels(bad *fault.FieldsError) {
	bad.Check(len(p.Models) > 0, "models", "is empty; name at least one model")
	seen := make(map[string]bool)
	for _, m := range p.Models {
		bad.Check(m != "", "models", "holds an empty name")
		if seen[m] {
			bad.Addf("models", "names %q twice", m)
		}
		seen[m] = true
	}
}
