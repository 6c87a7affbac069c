package scorer

import "fmt"

// MixedUpError says that a service answered about another sample than the one
// it was asked about, as happens when answers come late on a reused connection.
type MixedUpError struct {
	// Asked and Got are sample ids.
	Asked, Got string
}

// Error implements error.
func (e *MixedUpError) Error() string {
	return fmt.Sprintf("asked to score %q, got an answer about %q", e.Asked, e.Got)
}
