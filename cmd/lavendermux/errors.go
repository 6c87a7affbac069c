package main

import (
	"fmt"
	"strings"
)

// unhealthyError lists the problems of a deployment, one a line.
type unhealthyError struct {
	Problems []string
}

// Error implements error.
func (e *unhealthyError) Error() string { return strings.Join(e.Problems, "\n") }

// notInForceError reports that a revision is not yet in force on all instances.
type notInForceError struct {
	what      string
	instances int
	of        int
}

// Error implements error.
func (e *notInForceError) Error() string {
	return fmt.Sprintf("%s is in force on %d of %d instances", e.what, e.instances, e.of)
}
