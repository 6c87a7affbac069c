package check

import (
	"maps"
	"slices"

	"github.com/lavendermux/lavendermux/event"
)

// attribution compares what a delivered sample names with what engines made:
// each of its tokens must have been made, at its place, on the weights named.
// Where the text tells which run made the sample, that run's tokens are compared
// one by one: a spare run of the same slot on other weights must not stand in.
func attribution(events []event.Event, _ limits) []error {
	made := by(only(events, event.Made), slot)
	finished := by(only(events, event.Finished), slot)
	var out []error
	for _, d := range only(events, event.Delivered) {
		from := int64(0)
		if len(d.Spans) == 0 {
			out = append(out, broken(Attribution, slot(d), d, "names no weights"))
		}
		for _, s := range d.Spans {
			switch {
			case s.Version == "":
				out = append(out, broken(Attribution, slot(d), d, "tokens from %d on are of unknown weights", from))
			case !covered(made[slot(d)], s.Version, from, from+s.Tokens):
				out = append(out, broken(Attribution, slot(d), d,
					"tokens %d to %d are said to be of %s, which did not make them", from, from+s.Tokens, s.Version))
			}
			from += s.Tokens
		}
		if d.Answer != "" && !madeBy(finished[slot(d)], made[slot(d)], d) {
			out = append(out, broken(Attribution, slot(d), d, "no run made this text on the weights named"))
		}
	}
	return out
}

// madeBy tells whether some run of the slot ended with the text of d, and had
// the weights that d names for every token that it made itself, or that the runs
// which it went on from made before that.
func madeBy(finished, made []event.Event, d event.Event) bool {
	return slices.ContainsFunc(finished, func(f event.Event) bool {
		return f.Answer == d.Answer && chain(made, f.Request, d, len(made))
	})
}

// chain follows a run back to its start, over at most left runs.
func chain(made []event.Event, run string, d event.Event, left int) bool {
	for _, m := range made {
		if m.Request != run {
			continue
		}
		if !named(d.Spans, m) {
			return false
		}
		if m.After != "" && left > 0 && !chain(earlier(made, m.From), m.After, d, left-1) {
			return false
		}
	}
	return true
}

// earlier cuts off what runs made from a token on: a later run replaced it.
func earlier(made []event.Event, to int64) []event.Event {
	var out []event.Event
	for _, m := range made {
		if m.From < to {
			m.Tokens = min(m.Tokens, to-m.From)
			out = append(out, m)
		}
	}
	return out
}

// named tells whether spans name the weights of m for all of its tokens.
func named(spans []event.Event, m event.Event) bool {
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

// covered tells whether runs on version cover the tokens from, up to before to.
func covered(made []event.Event, version string, from, to int64) bool {
	runs := slices.DeleteFunc(slices.Clone(made), func(e event.Event) bool { return e.Version != version })
	slices.SortFunc(runs, func(a, b event.Event) int { return int(a.From - b.From) })
	for _, r := range runs {
		if r.From <= from {
			from = max(from, r.From+r.Tokens)
		}
	}
	return from >= to
}

// staleness counts from the oldest weights in a sample to the latest that the
// trainer had published when it sent the pull. What it publishes while the answer
// is under way cannot be held against the system.
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
	for _, e := range only(events, event.Bounded, event.Published, event.Pulled, event.Delivered) {
		t := trainers[e.Subscription]
		if t == nil {
			t = &trainer{numbers: map[string]int64{}}
			trainers[e.Subscription] = t
		}
		switch e.Kind {
		case event.Bounded:
			t.bound, t.bounded = e.Number, true
		case event.Published:
			t.numbers[e.Version] = e.Number
			t.latest = max(t.latest, e.Number)
		case event.Pulled:
			pulls[e.Pull] = asked{bound: t.bound, latest: t.latest}
		case event.Delivered:
			p, known := pulls[e.Pull]
			if !known {
				out = append(out, broken(Staleness, slot(e), e, "answers a pull that was not sent"))
			}
			for _, s := range e.Spans {
				// A bound that was widened meanwhile may be gone by as well.
				limit := max(p.bound, t.bound)
				age := p.latest - t.numbers[s.Version]
				if t.bounded && known && s.Version != "" && age > limit {
					out = append(out, broken(Staleness, slot(e), e, "%s is %d versions old, the bound is %d", s.Version, age, limit))
				}
			}
		}
	}
	return out
}

// exactlyOnce finds slots that came under two offers, offers that differ when
// they are sent again, and, in a complete history, slots that never came.
func exactlyOnce(events []event.Event, l limits) []error {
	delivered := by(only(events, event.Delivered), slot)
	submitted := by(only(events, event.Submitted), slot)
	var out []error
	for _, name := range slices.Sorted(maps.Keys(delivered)) {
		first := delivered[name][0]
		if len(submitted[name]) == 0 {
			out = append(out, broken(ExactlyOnce, name, first, "was delivered and never submitted"))
		}
		for _, d := range delivered[name][1:] {
			switch {
			case d.Offer != first.Offer:
				out = append(out, broken(ExactlyOnce, name, d, "came under the offers %s and %s", first.Offer, d.Offer))
			case !sameSpans(d.Spans, first.Spans) || d.Answer != first.Answer:
				out = append(out, broken(ExactlyOnce, name, d, "offer %s differs from when it was first sent", d.Offer))
			}
		}
	}
	for _, name := range slices.Sorted(maps.Keys(submitted)) {
		if l.complete && len(delivered[name]) == 0 {
			out = append(out, broken(ExactlyOnce, name, submitted[name][0], "was accepted and never delivered"))
		}
	}
	return out
}

func sameSpans(a, b []event.Event) bool {
	return slices.EqualFunc(a, b, func(x, y event.Event) bool {
		return x.Version == y.Version && x.Tokens == y.Tokens
	})
}
