package main

import "fmt"

// notYetError says that a revision is not in force everywhere.
type notYetError struct {
	what      string
	instances int
	of        int
}

// Error implements error.
func (e *notYetError) Error() string {
	return fmt.Sprintf("%s is in force on %d of %d instances", e.what, e.instances, e.of)
}
