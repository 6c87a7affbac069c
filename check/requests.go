package check

import (
	"maps"
	"slices"

	"github.com/lavendermux/lavendermux/event"
)

// operation is what must not run twice: the caller's key, else the request.
func operation(e event.Event) string {
	if e.Key != "" {
		return "key " + e.Key
	}
	return "request " + e.Request
}

// wholeAnswer compares each answer with what an endpoint made for the same
// request, or for another one with the same key.
func wholeAnswer(events []event.Event, _ limits) []error {
	asked := by(only(events, event.Asked), request)
	finished := by(only(events, event.Finished), request)
	ofKey := by(only(events, event.Asked), operation)
	var out []error
	for _, a := range only(events, event.Answered) {
		sent := asked[a.Request]
		if len(sent) == 0 {
			out = append(out, broken(WholeAnswer, a.Request, a, "was answered and never sent"))
			continue
		}
		found := false
		for _, same := range ofKey[operation(sent[0])] {
			found = found || slices.ContainsFunc(finished[same.Request], func(f event.Event) bool {
				return f.Answer == a.Answer && !f.At.After(a.At)
			})
		}
		if !found {
			out = append(out, broken(WholeAnswer, a.Request, a, "no endpoint made this answer for it"))
		}
	}
	return out
}

// trueNotRun finds requests that were refused as not run and ran, before the
// refusal or after it.
func trueNotRun(events []event.Event, _ limits) []error {
	ran := by(only(events, event.Ran), request)
	var out []error
	for _, r := range only(events, event.NotRun) {
		if runs := ran[r.Request]; len(runs) > 0 {
			out = append(out, broken(TrueNotRun, r.Request, r, "was refused as not run, and ran on %s", runs[0].Instance))
		}
	}
	return out
}

// atMostOnce counts the runs of each operation that may not be repeated.
func atMostOnce(events []event.Event, _ limits) []error {
	ran := by(only(events, event.Ran), request)
	var out []error
	once := slices.DeleteFunc(only(events, event.Asked), func(e event.Event) bool { return e.Idempotent })
	operations := by(once, operation)
	for _, name := range slices.Sorted(maps.Keys(operations)) {
		var runs []event.Event
		for _, a := range operations[name] {
			runs = append(runs, ran[a.Request]...)
		}
		if len(runs) > 1 {
			out = append(out, broken(AtMostOnce, name, runs[1], "ran on %s and on %s", runs[0].Instance, runs[1].Instance))
		}
	}
	return out
}

// drain finds work that begins on an endpoint too long after it began to leave.
func drain(events []event.Event, l limits) []error {
	leaving := map[string]event.Event{}
	var out []error
	for _, e := range only(events, event.Leaving, event.Stopping, event.Ran) {
		since, known := leaving[e.Instance]
		switch {
		case e.Kind != event.Ran && !known:
			leaving[e.Instance] = e
		case e.Kind == event.Ran && known && e.At.Sub(since.At) > l.drain:
			out = append(out, broken(Drain, e.Instance, e, "began %s %s after it was to leave", e.Request, e.At.Sub(since.At)))
		}
	}
	return out
}

// gracefulStop finds requests whose caller was cut off although all that died on
// their way, the entry or an endpoint, did so in a planned stop.
func gracefulStop(events []event.Event, _ limits) []error {
	asked := by(only(events, event.Asked), request)
	ran := by(only(events, event.Ran), request)
	stops := by(only(events, event.Stopping), instance)
	faults := by(only(events, event.Killed, event.Cut), instance)
	var out []error
	for _, u := range only(events, event.Unknown) {
		way := append(slices.Clone(asked[u.Request]), ran[u.Request]...)
		stopped, faulty := "", false
		for _, e := range way {
			faulty = faulty || before(faults[e.Instance], u)
			if before(stops[e.Instance], u) {
				stopped = e.Instance
			}
		}
		if stopped != "" && !faulty {
			out = append(out, broken(GracefulStop, u.Request, u, "was cut off by the planned stop of %s", stopped))
		}
	}
	return out
}

func before(events []event.Event, e event.Event) bool {
	return len(events) > 0 && !events[0].At.After(e.At)
}
