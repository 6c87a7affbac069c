package main

import (
	"fmt"
	"strings"
)

// notWholeError says what stands against a deployment being whole, a line each.
type notWholeError struct {
	Problems []string
}

// Error implements error.
func (e *notWholeError) Error() string { return strings.Join(e.Problems, "\n") }

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
