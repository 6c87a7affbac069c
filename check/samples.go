package check

import (
	"maps"
	"slices"

	"github.com/lavendermux/lavendermux/event"
)

// attribution compares what a delivered sample names with what engines generated: each
// of its tokens must have been generated, at its position, on the weights named. Where
// the text identifies the run, that run's tokens are compared one by one: a redundant
// run of the same slot on other weights must not stand in for it.
func attribution(events []event.Event, _ limits) []error {
	made := groupBy(filter(events, event.Generated), slotName)
	finished := groupBy(filter(events, event.Finished), slotName)
	var out []error
	for _, d := range filter(events, event.Delivered) {
		from := int64(0)
		if len(d.Spans) == 0 {
			out = append(out, violation(Attribution, slotName(d), d, "names no weights"))
		}
		for _, s := range d.Spans {
			switch {
			case s.Version == "":
				out = append(out, violation(Attribution, slotName(d), d, "tokens from %d on are of unknown weights", from))
			case !covers(made[slotName(d)], s.Version, from, from+s.Tokens):
				out = append(out, violation(Attribution, slotName(d), d,
					"tokens %d to %d are said to be of %s, which did not make them", from, from+s.Tokens, s.Version))
			}
			from += s.Tokens
		}
		if d.Answer != "" && !generatedBy(finished[slotName(d)], made[slotName(d)], d) {
			out = append(out, violation(Attribution, slotName(d), d, "no run made this text on the weights named"))
		}
	}
	return out
}

// generatedBy reports whether some run of the slot ended with the text of d and used
// the weights that d names for every token, its own and those of the runs that it
// resumed.
func generatedBy(finished, made []event.Event, d event.Event) bool {
	return slices.ContainsFunc(finished, func(f event.Event) bool {
		return f.Answer == d.Answer && matchesChain(made, f.Request, d, len(made))
	})
}

// matchesChain checks a run and the runs that it resumed, over at most left runs.
func matchesChain(made []event.Event, run string, d event.Event, left int) bool {
	for _, m := range made {
		if m.Request != run {
			continue
		}
		if !spansMatch(d.Spans, m) {
			return false
		}
		if m.ResumedFrom != "" && left > 0 && !matchesChain(truncateAt(made, m.From), m.ResumedFrom, d, left-1) {
			return false
		}
	}
	return true
}

// truncateAt drops the tokens from position to on, which a later run replaced.
func truncateAt(made []event.Event, to int64) []event.Event {
	var out []event.Event
	for _, m := range made {
		if m.From < to {
			m.Tokens = min(m.Tokens, to-m.From)
			out = append(out, m)
		}
	}
	return out
}

// spansMatch reports whether spans name the weights of m for all of its tokens.
func spansMatch(spans []event.Event, m event.Event) bool {
	from := int64(0)
	for _, s := range spans {
		to := from + s.Tokens
		if from < m.From+m.Tokens && m.From < to && s.Version != m.Version {
			return false
		}
		from = to
	}
	return from >= m.From+m.Tokens
}

// covers reports whether runs on version cover the tokens in [from, to).
func covers(made []event.Event, version string, from, to int64) bool {
	runs := slices.DeleteFunc(slices.Clone(made), func(e event.Event) bool { return e.Version != version })
	slices.SortFunc(runs, func(a, b event.Event) int { return int(a.From - b.From) })
	for _, r := range runs {
		if r.From <= from {
			from = max(from, r.From+r.Tokens)
		}
	}
	return from >= to
}

// staleness is measured from the oldest weights in a sample to the latest that the
// trainer had published when it sent the pull. Versions published while the answer is
// in flight don't count against the system.
func staleness(events []event.Event, _ limits) []error {
	type trainer struct {
		bound   int64
		bounded bool
		latest  int64
		numbers map[string]int64
	}
	type asked struct {
		bound  int64
		latest int64
	}
	trainers := map[string]*trainer{}
	pulls := map[string]asked{}
	var out []error
	for _, e := range filter(events, event.BoundSet, event.Published, event.Pulled, event.Delivered) {
		t := trainers[e.Subscription]
		if t == nil {
			t = &trainer{numbers: map[string]int64{}}
			trainers[e.Subscription] = t
		}
		switch e.Kind {
		case event.BoundSet:
			t.bound, t.bounded = e.Number, true
		case event.Published:
			t.numbers[e.Version] = e.Number
			t.latest = max(t.latest, e.Number)
		case event.Pulled:
			pulls[e.Pull] = asked{bound: t.bound, latest: t.latest}
		case event.Delivered:
			p, known := pulls[e.Pull]
			if !known {
				out = append(out, violation(Staleness, slotName(e), e, "answers a pull that was not sent"))
			}
			for _, s := range e.Spans {
				// A bound that was widened meanwhile may apply as well.
				limit := max(p.bound, t.bound)
				age := p.latest - t.numbers[s.Version]
				if t.bounded && known && s.Version != "" && age > limit {
					out = append(out, violation(Staleness, slotName(e), e, "%s is %d versions old, the bound is %d", s.Version, age, limit))
				}
			}
		}
	}
	return out
}

// exactlyOnce finds slots delivered under two offers, offers that differ when they are
// resent, and, in a complete history, slots that were never delivered.
func exactlyOnce(events []event.Event, l limits) []error {
	delivered := groupBy(filter(events, event.Delivered), slotName)
	submitted := groupBy(filter(events, event.Submitted), slotName)
	var out []error
	for _, name := range slices.Sorted(maps.Keys(delivered)) {
		first := delivered[name][0]
		if len(submitted[name]) == 0 {
			out = append(out, violation(ExactlyOnce, name, first, "was delivered and never submitted"))
		}
		for _, d := range delivered[name][1:] {
			switch {
			case d.Offer != first.Offer:
				out = append(out, violation(ExactlyOnce, name, d, "came under the offers %s and %s", first.Offer, d.Offer))
			case !sameSpans(d.Spans, first.Spans) || d.Answer != first.Answer:
				out = append(out, violation(ExactlyOnce, name, d, "offer %s differs from when it was first sent", d.Offer))
			}
		}
	}
	for _, name := range slices.Sorted(maps.Keys(submitted)) {
		if l.complete && len(delivered[name]) == 0 {
			out = append(out, violation(ExactlyOnce, name, submitted[name][0], "was accepted and never delivered"))
		}
	}
	return out
}

func sameSpans(a, b []event.Event) bool {
	return slices.EqualFunc(a, b, func(x, y event.Event) bool {
		return x.Version == y.Version && x.Tokens == y.Tokens
	})
}
