// Package genreq describes a generation request to a model engine.
package genreq

// Request asks an engine to continue a prompt.
type Request struct {
	// ID is unique within the engine and identifies the request for cancellation.
	ID string `json:"id"`
	// Model names the model or adapter.
	Model string `json:"model"`
	// Prompt is the text to continue.
	Prompt string `json:"prompt"`
	// Prior is the output of an earlier stream of the same request; the engine
	// continues after it and does not repeat it.
	Prior string `json:"prior,omitempty"`
	// PriorTokens is the length of Prior, in tokens.
	PriorTokens int64 `json:"priorTokens,omitempty"`
	// MaxTokens is the maximum length of the output, including prior tokens.
	MaxTokens int64 `json:"maxTokens"`
	// Priority orders queued requests; higher values go first.
	Priority int32 `json:"priority"`
}
