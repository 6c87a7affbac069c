package scorer

import "fmt"

// MismatchError reports a score response for a sample other than the requested one,
// as happens with late responses on a reused connection.
type MismatchError struct {
	// Want and Got are sample IDs.
	Want, Got string
}

// Error implements error.
func (e *MismatchError) Error() string {
	return fmt.Sprintf("requested the score of sample %q, got that of %q", e.Want, e.Got)
}
