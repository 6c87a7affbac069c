// Package genreq holds what a model engine is asked to generate.
package genreq

// Request is one piece of work for an engine.
type Request struct {
	// ID is unique for the engine; a cancel names it.
	ID string `json:"id"`
	// Model names the model or adapter.
	Model string `json:"model"`
	// Prompt is the text to continue.
	Prompt string `json:"prompt"`
	// Prior is what an earlier stream of the same work has made; the engine
	// continues after it and does not repeat it.
	Prior string `json:"prior,omitempty"`
	// PriorTokens is the length of Prior, in tokens.
	PriorTokens int64 `json:"priorTokens,omitempty"`
	// MaxTokens bounds the whole answer, prior tokens included.
	MaxTokens int64 `json:"maxTokens"`
	// Priority orders waiting work; greater goes first.
	Priority int32 `json:"priority"`
}
