// Package move defines a reassignment of workers between claims.
package move

// Move reassigns workers from one role or pool to another.
type Move struct {
	// From and To are names of claims.
	From, To string
	// Count is the number of workers, at least 1.
	Count int
}
