// Package move holds one shift of workers.
package move

// Move says to shift workers from one role or pool to another.
type Move struct {
	// From and To are names of claims.
	From, To string
	// Count is at least 1.
	Count int
}
