package check

import (
	"time"

	"github.com/lavendermux/lavendermux/event"
)

// configuration finds instances that go back to an older revision, also by a restart,
// and instances that use a revision superseded too long ago. For a partitioned
// instance the time counts from the heal.
func configuration(events []event.Event, l limits) []error {
	type held struct{ instance, resource string }
	inForce := map[held]int64{}
	accepted := map[string][]event.Event{}
	cut := map[string]bool{}
	healed := map[string]time.Time{}
	var out []error
	for _, e := range filter(events, event.Accepted, event.Applied, event.Partitioned, event.Healed) {
		switch e.Kind {
		case event.Accepted:
			accepted[e.Resource] = append(accepted[e.Resource], e)
		case event.Partitioned:
			cut[e.Instance] = true
		case event.Healed:
			cut[e.Instance] = false
			healed[e.Instance] = e.At
		case event.Applied:
			k := held{e.Instance, e.Resource}
			if e.Number < inForce[k] {
				out = append(out, violation(Configuration, e.Instance, e,
					"went back from revision %d of %q to %d", inForce[k], e.Resource, e.Number))
			}
			inForce[k] = max(inForce[k], e.Number)
			if late := missedRevision(accepted[e.Resource], e, healed[e.Instance], l); late > 0 && !cut[e.Instance] {
				out = append(out, violation(Configuration, e.Instance, e,
					"goes by revision %d of %q, %d was accepted long ago", e.Number, e.Resource, late))
			}
		}
	}
	return out
}

// missedRevision returns a revision that must be in use by the time of e and is not,
// or 0.
func missedRevision(accepted []event.Event, e event.Event, healed time.Time, l limits) int64 {
	for _, a := range accepted {
		from := a.At
		if healed.After(from) {
			from = healed
		}
		if a.Number > e.Number && e.At.Sub(from) > l.propagation {
			return a.Number
		}
	}
	return 0
}
