// Package grpreq describes a trainer's request for a group of samples.
package grpreq

import (
	"github.com/lavendermux/lavendermux/fault"
)

const (
	// maxIDBytes is the maximum length of a group's ID in bytes.
	maxIDBytes = 128
	// maxSamples is the maximum number of samples per group.
	maxSamples = 1024
)

// Group is a prompt and the number of samples to generate from it.
type Group struct {
	// ID is unique in its subscription, has at most 128 bytes and contains no slash.
	// Submitting an ID again has no effect.
	ID string `json:"id"`
	// Step is the trainer's step number, at least 0. Groups of lower steps are
	// generated first.
	Step int64 `json:"step"`
	// Prompt is the prompt text; not empty.
	Prompt string `json:"prompt"`
	// Samples is the number of samples, 1 to 1,024. The default is the subscription's
	// groupSize.
	Samples int `json:"samples"`
	// MaxTokens is the maximum length of a sample in tokens. The default is the pool's
	// maxOutput.
	MaxTokens int64 `json:"maxTokens"`
	// ExpectedTokens is the trainer's estimate of a sample's length; 0 for none.
	ExpectedTokens int64 `json:"expectedTokens"`
}

// Validate returns a *fault.FieldsError that lists all invalid fields.
//
//	g := grpreq.Group{ID: "s3-g17", Step: 3, Prompt: "Draft a notice", Samples: 8, MaxTokens: 512}
//	err := g.Validate()
func (g Group) Validate() error {
	var bad fault.FieldsError
	if g.ID == "" || len(g.ID) > maxIDBytes {
		bad.Addf("id", "has %d bytes, not 1 to %d", len(g.ID), maxIDBytes)
	}
	for _, c := range g.ID {
		if c == '/' || c < ' ' {
			bad.Addf("id", "%q holds a slash or a control character", g.ID)
			break
		}
	}
	if g.Step < 0 {
		bad.Addf("step", "is %d, below 0", g.Step)
	}
	if g.Prompt == "" {
		bad.Addf("prompt", "is empty")
	}
	if g.Samples < 1 || g.Samples > maxSamples {
		bad.Addf("samples", "is %d, not 1 to %d", g.Samples, maxSamples)
	}
	if g.MaxTokens < 1 {
		bad.Addf("maxTokens", "is %d, below 1", g.MaxTokens)
	}
	if g.ExpectedTokens < 0 {
		bad.Addf("expectedTokens", "is %d, below 0", g.ExpectedTokens)
	}
	return bad.Err()
}
