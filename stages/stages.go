// Package stages tells from the logs of a deployment's processes where the time of
// trainers' steps went, and which callers got no answer at whom.
//
// A step is as late as the last item of the groups that its trainer waits for. Its time
// is therefore split along the way of that item: until the step was accepted, until the
// item started, its runs, the pauses between them, its score, the write of the result
// and the trainer's read. What a late step lost is told by the stage that took longest
// compared with the steps that were in time.
package stages

import (
	"bufio"
	"bytes"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// lineBytes bounds a line; longer ones are not this program's.
	lineBytes = 1 << 20

	statusAccepted = "202"
	// firstEpoch is that of a submission which has not changed hands.
	firstEpoch = "1"
)

type (
	// Report is the steps and live requests of a deployment. See New.
	Report struct {
		steps map[string]*step
		// items are the runs and scoring calls of all items, by submission and item.
		items map[itemKey]*item
		// lost counts live requests without an answer.
		lost map[loss]int
		live int
	}

	itemKey struct {
		batch, item string
	}

	// step is one submission of a trainer. A moment that no log tells is zero.
	step struct {
		id, model, number string
		// due is how long after the first request results are due; 0 if unknown.
		due                                            time.Duration
		asked, held, begun, whole, listed, read, ended time.Time
		straggler                                      string
		takeOvers, unkept, refused                     int
	}

	item struct {
		runs []run
		// scored is when the item's last scoring call ended.
		scored time.Time
	}

	run struct {
		from, to time.Time
		outcome  string
	}

	loss struct {
		outcome, cause, endpoint string
	}
)

// New returns an empty report.
//
//	r := stages.New()
//	err := r.Read(file)
//	fmt.Print(r.Table())
func New() *Report {
	return &Report{steps: make(map[string]*step), items: make(map[itemKey]*item), lost: make(map[loss]int)}
}

// Len is the number of steps.
func (r *Report) Len() int { return len(r.steps) }

// Read takes the log of a process; several may be read one after the other. Lines that
// aren't a logger's, and those about other things, are passed over.
func (r *Report) Read(from io.Reader) error {
	sc := bufio.NewScanner(from)
	sc.Buffer(nil, lineBytes)
	for sc.Scan() {
		if l, ok := parse(sc.Bytes()); ok {
			r.take(l)
		}
	}
	return errors.Wrap(sc.Err(), "reading a log")
}

func (r *Report) take(l line) {
	switch l.message {
	case "Request done.", "Stream done.":
		r.takeLive(l)
		return
	}
	id := l.fields["batch"]
	if id == "" {
		return
	}
	s := r.steps[id]
	if s == nil {
		s = &step{id: id}
		r.steps[id] = s
	}
	switch l.message {
	case "Batch submitted.":
		first(&s.asked, l.at.Add(-l.took()))
		s.model, s.number = l.fields["model"], l.fields["step"]
		if l.fields["status"] != statusAccepted {
			s.refused++
		}
	case "Batch held.":
		first(&s.held, l.at)
		if due, err := time.ParseDuration(l.fields["due"]); err == nil { // older logs have none
			s.due = due
		}
	case "Batch taken over.":
		if l.fields["epoch"] != firstEpoch { // else it was handed to its home, new
			s.takeOvers++
		}
	case "Results not kept yet.":
		s.unkept++
	case "Step begun.":
		first(&s.begun, l.at)
	case "Step whole.":
		if first(&s.whole, l.at) {
			s.straggler = l.fields["item"]
		}
	case "Step listed.":
		first(&s.listed, l.at)
	case "Step read.":
		first(&s.read, l.at)
	case "Batch ended.":
		first(&s.ended, l.at)
	default:
		r.takeItem(l)
	}
}

func (r *Report) takeItem(l line) {
	key := itemKey{batch: l.fields["batch"], item: l.fields["item"]}
	if key.item == "" {
		return
	}
	it := r.items[key]
	if it == nil {
		it = &item{}
		r.items[key] = it
	}
	switch l.message {
	case "Item run.":
		it.runs = append(it.runs, run{from: l.at.Add(-l.took()), to: l.at, outcome: l.fields["outcome"]})
	case "Item scored.":
		it.scored = l.at
	}
}

func (r *Report) takeLive(l line) {
	r.live++
	outcome := l.fields["outcome"]
	if outcome == "answered" {
		return
	}
	r.lost[loss{outcome: outcome, cause: l.fields["error"], endpoint: lastOf(l.fields["endpoints"])}]++
}

// lastOf returns the last name of a list as a log line shows it.
func lastOf(list string) string {
	names := strings.Fields(strings.Trim(list, "[]"))
	if len(names) == 0 {
		return "none"
	}
	return names[len(names)-1]
}

// first keeps the earliest of several moments, and reports whether at is.
func first(kept *time.Time, at time.Time) bool {
	if !kept.IsZero() && !at.Before(*kept) {
		return false
	}
	*kept = at
	return true
}

// ordered are the steps that were accepted, by the time at which they were asked.
func (r *Report) ordered() []*step {
	var out []*step
	for _, s := range r.steps {
		if !s.held.IsZero() && !s.asked.IsZero() {
			out = append(out, s)
		}
	}
	slices.SortFunc(out, func(a, b *step) int {
		if d := a.asked.Compare(b.asked); d != 0 {
			return d
		}
		return strings.Compare(a.id, b.id)
	})
	return out
}

// wanted are the messages that a report is made of; all others are passed over before
// they are taken apart, as they are most of a log.
var wanted = [][]byte{
	[]byte(`msg="Step `), []byte(`msg="Batch `), []byte(`msg="Item run."`), []byte(`msg="Item scored."`),
	[]byte(`msg="Results not kept yet."`), []byte(`msg="Request done."`), []byte(`msg="Stream done."`),
}

func isWanted(raw []byte) bool {
	return slices.ContainsFunc(wanted, func(w []byte) bool { return bytes.Contains(raw, w) })
}
