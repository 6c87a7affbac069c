// Package genev describes the events of an engine's output stream.
package genev

// Event is one event of a stream: generated tokens, or the end of the stream.
type Event struct {
	// Text is the text generated since the last event.
	Text string `json:"text,omitempty"`
	// Tokens is the length of Text in tokens.
	Tokens int64 `json:"tokens,omitempty"`
	// Version is the weight version that generated the tokens, as reported by the
	// engine; empty if the engine does not report versions.
	Version string `json:"version,omitempty"`
	// Done marks the end of the stream. A stream that ends without it is incomplete.
	Done bool `json:"done,omitempty"`
	// TotalTokens is the length of the whole output in tokens, including prior tokens. It is
	// set together with Done.
	TotalTokens int64 `json:"total,omitempty"`
	// Finish is the reason why the engine stopped: "stop", "length" or "cancelled".
	Finish string `json:"finish,omitempty"`
}
