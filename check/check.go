// Package check judges a history, of what callers, trainers, endpoints and
// operators saw, by the nine points that must always hold.
//
// It needs no knowledge of how the system works, and trusts nothing that the
// system says of itself: what truly ran and which weights truly made a token are
// the endpoints' own events.
package check

import (
	"slices"

	"github.com/lavendermux/lavendermux/event"
)

// The points that must always hold.
const (
	// Attribution: each sample names the weights that truly made it.
	Attribution = "attribution"
	// Staleness: no sample is older than its trainer's bound.
	Staleness = "staleness"
	// ExactlyOnce: each sample is delivered once.
	ExactlyOnce = "exactlyOnce"
	// WholeAnswer: a caller gets the whole answer to its own request.
	WholeAnswer = "wholeAnswer"
	// TrueNotRun: what is refused as not run did not run.
	TrueNotRun = "trueNotRun"
	// AtMostOnce: a request that is not idempotent runs at most once.
	AtMostOnce = "atMostOnce"
	// Drain: a leaving endpoint gets no new work after a few seconds.
	Drain = "drain"
	// GracefulStop: a planned stop cuts off no request.
	GracefulStop = "gracefulStop"
	// Configuration: what was accepted is in force everywhere in time, and stays.
	Configuration = "configuration"
)

// History returns everything in events that breaks a point, each a *PointError,
// in the order of the points. Events need not be sorted; of two at the same time
// the earlier in the slice happened first.
//
//	for _, err := range check.History(events, check.WithComplete()) {
//		t.Error(err)
//	}
func History(events []event.Event, opts ...Option) []error {
	l := limits{drain: defaultDrain, spread: defaultSpread}
	for _, opt := range opts {
		opt(&l)
	}
	sorted := slices.Clone(events)
	slices.SortStableFunc(sorted, func(a, b event.Event) int { return a.At.Compare(b.At) })
	var out []error
	for _, judge := range []func([]event.Event, limits) []error{
		attribution, staleness, exactlyOnce,
		wholeAnswer, trueNotRun, atMostOnce,
		drain, gracefulStop, configuration,
	} {
		out = append(out, judge(sorted, l)...)
	}
	return out
}

// only returns the events of some kinds.
func only(events []event.Event, kinds ...string) []event.Event {
	var out []event.Event
	for _, e := range events {
		if slices.Contains(kinds, e.Kind) {
			out = append(out, e)
		}
	}
	return out
}

// by groups events by a key.
func by(events []event.Event, key func(event.Event) string) map[string][]event.Event {
	out := map[string][]event.Event{}
	for _, e := range events {
		out[key(e)] = append(out[key(e)], e)
	}
	return out
}

func request(e event.Event) string { return e.Request }

func instance(e event.Event) string { return e.Instance }

// slot names a slot of a subscription.
func slot(e event.Event) string { return e.Subscription + "/" + e.Slot }
