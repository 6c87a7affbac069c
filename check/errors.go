package check

import (
	"fmt"

	"github.com/lavendermux/lavendermux/event"
)

type (
	// InvariantError reports a violation of an invariant by a history.
	InvariantError struct {
		// Invariant is the invariant, one of the constants of this package.
		Invariant string
		// Subject is the request, slot, instance or resource concerned.
		Subject string
		// Problem is a sentence for people.
		Problem string
		// Event is the event that shows the violation.
		Event event.Event
	}
)

// Error implements error.
func (e *InvariantError) Error() string {
	return fmt.Sprintf("%s: %s: %s", e.Invariant, e.Subject, e.Problem)
}

func violation(point, subject string, at event.Event, format string, args ...any) error {
	return &InvariantError{Invariant: point, Subject: subject, Problem: fmt.Sprintf(format, args...), Event: at}
}
