// Package token holds one event of an engine's stream.
package token

// Token is one event of a stream: some tokens, or the end.
type Token struct {
	// Text is what was made since the last event.
	Text string `json:"text,omitempty"`
	// Tokens is how many tokens Text is.
	Tokens int64 `json:"tokens,omitempty"`
	// Version is the weight version that made them, in the engine's own word;
	// empty from an engine that does not say.
	Version string `json:"version,omitempty"`
	// Done marks the end; a stream without it was cut off.
	Done bool `json:"done,omitempty"`
	// Total is the length of the whole answer in tokens, prior ones included;
	// it comes with Done.
	Total int64 `json:"total,omitempty"`
	// Finish is why the engine stopped: "stop", "length" or "cancelled".
	Finish string `json:"finish,omitempty"`
}
