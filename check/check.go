// Package check verifies a history of what callers, trainers, endpoints and operators
// saw against nine invariants.
//
// It knows nothing of how the system works, and trusts nothing that the system reports
// of itself: what really ran, and which weights really generated a token, are events
// of the endpoints.
package check

import (
	"slices"

	"github.com/lavendermux/lavendermux/event"
)

// The invariants.
const (
	// Attribution: each sample names the weights that really generated it.
	Attribution = "attribution"
	// Staleness: no sample is older than its trainer's bound.
	Staleness = "staleness"
	// ExactlyOnce: each sample is delivered exactly once.
	ExactlyOnce = "exactlyOnce"
	// CompleteAnswer: a caller gets the complete answer to its own request.
	CompleteAnswer = "wholeAnswer"
	// RefusedNotRun: a request refused as not run did not run.
	RefusedNotRun = "trueNotRun"
	// AtMostOnce: a request that is not idempotent runs at most once.
	AtMostOnce = "atMostOnce"
	// Drain: a leaving endpoint gets no new work after a few seconds.
	Drain = "drain"
	// GracefulStop: a planned stop disconnects no request.
	GracefulStop = "gracefulStop"
	// Configuration: an accepted change applies everywhere in time and is never undone
	// by an older revision.
	Configuration = "configuration"
)

// History returns all violations of the invariants in events, each a *InvariantError, in
// the order of the invariants. Events need not be sorted; of two at the same time the
// earlier in the slice happened first.
//
//	for _, err := range check.History(events, check.WithComplete()) {
//	t.Error(err)
//	}
func History(events []event.Event, opts ...Option) []error {
	l := limits{drain: defaultDrainTime, propagation: defaultPropagation}
	for _, opt := range opts {
		opt(&l)
	}
	sorted := slices.Clone(events)
	slices.SortStableFunc(sorted, func(a, b event.Event) int { return a.At.Compare(b.At) })
	var out []error
	for _, judge := range []func([]event.Event, limits) []error{
		attribution, staleness, exactlyOnce,
		completeAnswer, refusedNotRun, atMostOnce,
		drain, gracefulStop, configuration,
	} {
		out = append(out, judge(sorted, l)...)
	}
	return out
}

// filter returns the events of the given kinds.
func filter(events []event.Event, kinds ...string) []event.Event {
	var out []event.Event
	for _, e := range events {
		if slices.Contains(kinds, e.Kind) {
			out = append(out, e)
		}
	}
	return out
}

// groupBy groups events by a key.
func groupBy(events []event.Event, key func(event.Event) string) map[string][]event.Event {
	out := map[string][]event.Event{}
	for _, e := range events {
		out[key(e)] = append(out[key(e)], e)
	}
	return out
}

func requestID(e event.Event) string { return e.Request }

func instanceID(e event.Event) string { return e.Instance }

// slotName returns the name of a slot, unique over subscriptions.
func slotName(e event.Event) string { return e.Subscription + "/" + e.Slot }
