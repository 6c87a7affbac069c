package check

import (
	"maps"
	"slices"

	"github.com/lavendermux/lavendermux/event"
)

// operationKey returns the key of an operation that must not run twice: the caller's
// idempotency key, else the request.
func operationKey(e event.Event) string {
	if e.Key != "" {
		return "key " + e.Key
	}
	return "request " + e.Request
}

// completeAnswer compares each answer with what an endpoint returned for the same
// request, or for another one with the same key.
func completeAnswer(events []event.Event, _ limits) []error {
	asked := groupBy(filter(events, event.Sent), requestID)
	finished := groupBy(filter(events, event.Finished), requestID)
	ofKey := groupBy(filter(events, event.Sent), operationKey)
	var out []error
	for _, a := range filter(events, event.Answered) {
		sent := asked[a.Request]
		if len(sent) == 0 {
			out = append(out, violation(CompleteAnswer, a.Request, a, "was answered and never sent"))
			continue
		}
		found := false
		for _, same := range ofKey[operationKey(sent[0])] {
			found = found || slices.ContainsFunc(finished[same.Request], func(f event.Event) bool {
				return f.Answer == a.Answer && !f.At.After(a.At)
			})
		}
		if !found {
			out = append(out, violation(CompleteAnswer, a.Request, a, "no endpoint made this answer for it"))
		}
	}
	return out
}

// refusedNotRun finds requests that were refused as not run but ran, before or after
// the refusal.
func refusedNotRun(events []event.Event, _ limits) []error {
	ran := groupBy(filter(events, event.Started), requestID)
	var out []error
	for _, r := range filter(events, event.NotRun) {
		if runs := ran[r.Request]; len(runs) > 0 {
			out = append(out, violation(RefusedNotRun, r.Request, r, "was refused as not run, and ran on %s", runs[0].Instance))
		}
	}
	return out
}

// atMostOnce finds operations that are not idempotent and ran more than once.
func atMostOnce(events []event.Event, _ limits) []error {
	ran := groupBy(filter(events, event.Started), requestID)
	var out []error
	once := slices.DeleteFunc(filter(events, event.Sent), func(e event.Event) bool { return e.Idempotent })
	operations := groupBy(once, operationKey)
	for _, name := range slices.Sorted(maps.Keys(operations)) {
		var runs []event.Event
		for _, a := range operations[name] {
			runs = append(runs, ran[a.Request]...)
		}
		if len(runs) > 1 {
			out = append(out, violation(AtMostOnce, name, runs[1], "ran on %s and on %s", runs[0].Instance, runs[1].Instance))
		}
	}
	return out
}

// drain finds work that starts on an endpoint too long after its drain began.
func drain(events []event.Event, l limits) []error {
	leaving := map[string]event.Event{}
	var out []error
	for _, e := range filter(events, event.Leaving, event.Stopping, event.Started) {
		since, known := leaving[e.Instance]
		switch {
		case e.Kind != event.Started && !known:
			leaving[e.Instance] = e
		case e.Kind == event.Started && known && e.At.Sub(since.At) > l.drain:
			out = append(out, violation(Drain, e.Instance, e, "began %s %s after it was to leave", e.Request, e.At.Sub(since.At)))
		}
	}
	return out
}

// gracefulStop finds requests whose caller was disconnected although every instance
// that stopped on their path, entry or endpoint, did so in a planned stop.
func gracefulStop(events []event.Event, _ limits) []error {
	asked := groupBy(filter(events, event.Sent), requestID)
	ran := groupBy(filter(events, event.Started), requestID)
	stops := groupBy(filter(events, event.Stopping), instanceID)
	faults := groupBy(filter(events, event.Killed, event.Partitioned), instanceID)
	var out []error
	for _, u := range filter(events, event.UnknownOutcome) {
		way := append(slices.Clone(asked[u.Request]), ran[u.Request]...)
		stopped, faulty := "", false
		for _, e := range way {
			faulty = faulty || before(faults[e.Instance], u)
			if before(stops[e.Instance], u) {
				stopped = e.Instance
			}
		}
		if stopped != "" && !faulty {
			out = append(out, violation(GracefulStop, u.Request, u, "was cut off by the planned stop of %s", stopped))
		}
	}
	return out
}

func before(events []event.Event, e event.Event) bool {
	return len(events) > 0 && !events[0].At.After(e.At)
}
