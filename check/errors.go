package check

import (
	"fmt"

	"github.com/lavendermux/lavendermux/event"
)

type (
	// PointError says that a history breaks one of the points that must always
	// hold.
	PointError struct {
		// Point is one of the constants of this package.
		Point string
		// Subject is the request, slot, instance or resource that it is about.
		Subject string
		// Problem is a sentence for people.
		Problem string
		// Event is the line at which it shows.
		Event event.Event
	}
)

// Error implements error.
func (e *PointError) Error() string {
	return fmt.Sprintf("%s: %s: %s", e.Point, e.Subject, e.Problem)
}

func broken(point, subject string, at event.Event, format string, args ...any) error {
	return &PointError{Point: point, Subject: subject, Problem: fmt.Sprintf(format, args...), Event: at}
}
