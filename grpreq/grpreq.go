// Package grpreq holds a group of samples as a trainer asks for it.
package grpreq

import (
	"github.com/lavendermux/lavendermux/fault"
)

const (
	// maxID bounds a group's id, in bytes.
	maxID = 128
	// maxSamples bounds a group.
	maxSamples = 1024
)

// Group is one prompt and how many samples are wanted of it.
type Group struct {
	// ID is unique in its subscription, at most 128 bytes without a slash. The
	// same id submitted twice is one group.
	ID string `json:"id"`
	// Step is the trainer's own number of the step, at least 0; groups of a
	// lesser step are due first.
	Step int64 `json:"step"`
	// Prompt is the text to continue; not empty.
	Prompt string `json:"prompt"`
	// Samples is how many are wanted, 1 to 1,024. The default is the
	// subscription's groupSize.
	Samples int `json:"samples"`
	// MaxTokens bounds each sample. The default is the pool's maxOutput.
	MaxTokens int64 `json:"maxTokens"`
	// ExpectedTokens is the trainer's guess of the length; 0 for none.
	ExpectedTokens int64 `json:"expectedTokens"`
}

// Validate returns a *fault.FieldsError that names all wrong fields.
//
//	g := grpreq.Group{ID: "s3-g17", Step: 3, Prompt: "Draft a notice", Samples: 8, MaxTokens: 512}
//	err := g.Validate()
func (g Group) Validate() error {
	var bad fault.FieldsError
	if g.ID == "" || len(g.ID) > maxID {
		bad.Addf("id", "has %d bytes, not 1 to %d", len(g.ID), maxID)
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
