// Package stages breaks down the latency of trainers' steps by stage, from the logs of a
// deployment's processes, and counts failed live requests by outcome and endpoint.
//
// A step is as late as its straggler, the last item of the groups that its trainer waits
// for. The time of the step is therefore split by the stages of that item: until the
// step was accepted, until the item started, its attempts, the gaps between them, its
// scoring, the write of the result and the trainer's read. The cause of a late step is
// the stage that exceeds its median over the steps in time the most.
package stages

import (
	"io"
	"slices"
	"strings"
	"time"

	"github.com/lavendermux/lavendermux/lines"
)

const (
	statusAccepted = "202"
	// firstEpoch is the epoch of a batch that still has its first owner.
	firstEpoch = "1"
)

type (
	// Report has the steps and live requests of a deployment. See New.
	Report struct {
		steps map[string]*step
		// items are the attempts and scoring calls of all items, by batch and item.
		items map[itemKey]*item
		// failures counts the live requests without a response.
		failures     map[failureKey]int
		liveRequests int
	}

	itemKey struct {
		batch, item string
	}

	// step is one batch of a trainer. A time that is in no log is zero.
	step struct {
		id, model, number string
		// due is the deadline of the results, measured from the first request; 0 if
		// unknown.
		due                                                          time.Duration
		submitted, accepted, started, completed, listed, read, ended time.Time
		straggler                                                    string
		takeovers, unsaved, rejected                                 int
	}

	item struct {
		attempts []attempt
		// scored is the end of the last scoring call.
		scored time.Time
	}

	attempt struct {
		start, end time.Time
		outcome    string
	}

	failureKey struct {
		outcome, cause, endpoint string
	}
)

// New returns an empty report.
//
//	r := stages.New()
//	err := r.Read(file)
//	fmt.Print(r.Table())
func New() *Report {
	return &Report{steps: make(map[string]*step), items: make(map[itemKey]*item), failures: make(map[failureKey]int)}
}

// Len returns the number of steps.
func (r *Report) Len() int { return len(r.steps) }

// Read adds the log of one process; it may be called once for each of several logs, in
// any order. Lines that are not valid log lines or are irrelevant are skipped.
func (r *Report) Read(from io.Reader) error {
	_, _, err := lines.Read(from, wantedMessages, r.addLine)
	return err
}

func (r *Report) addLine(l lines.Line) {
	switch l.Message {
	case "Request done.", "Stream done.":
		r.addLiveLine(l)
		return
	}
	id := l.Fields["batch"]
	if id == "" {
		return
	}
	s := r.steps[id]
	if s == nil {
		s = &step{id: id}
		r.steps[id] = s
	}
	switch l.Message {
	case "Batch submitted.":
		keepEarliest(&s.submitted, l.At.Add(-l.Duration("took")))
		s.model, s.number = l.Fields["model"], l.Fields["step"]
		if l.Fields["status"] != statusAccepted {
			s.rejected++
		}
	case "Batch held.":
		keepEarliest(&s.accepted, l.At)
		if due, err := time.ParseDuration(l.Fields["due"]); err == nil { // absent in logs of earlier versions
			s.due = due
		}
	case "Batch taken over.":
		if l.Fields["epoch"] != firstEpoch { // the first epoch is an assignment, not a takeover
			s.takeovers++
		}
	case "Results not kept yet.":
		s.unsaved++
	case "Step begun.":
		keepEarliest(&s.started, l.At)
	case "Step whole.":
		if keepEarliest(&s.completed, l.At) {
			s.straggler = l.Fields["item"]
		}
	case "Step listed.":
		keepEarliest(&s.listed, l.At)
	case "Step read.":
		keepEarliest(&s.read, l.At)
	case "Batch ended.":
		keepEarliest(&s.ended, l.At)
	default:
		r.addItemLine(l)
	}
}

func (r *Report) addItemLine(l lines.Line) {
	key := itemKey{batch: l.Fields["batch"], item: l.Fields["item"]}
	if key.item == "" {
		return
	}
	it := r.items[key]
	if it == nil {
		it = &item{}
		r.items[key] = it
	}
	switch l.Message {
	case "Item run.":
		it.attempts = append(it.attempts, attempt{start: l.At.Add(-l.Duration("took")), end: l.At, outcome: l.Fields["outcome"]})
	case "Item scored.":
		it.scored = l.At
	}
}

func (r *Report) addLiveLine(l lines.Line) {
	r.liveRequests++
	outcome := l.Fields["outcome"]
	if outcome == "answered" {
		return
	}
	r.failures[failureKey{outcome: outcome, cause: l.Fields["error"], endpoint: lastName(l.Fields["endpoints"])}]++
}

// lastName returns the last name of a list in the format of a log line, or "none".
func lastName(list string) string {
	names := strings.Fields(strings.Trim(list, "[]"))
	if len(names) == 0 {
		return "none"
	}
	return names[len(names)-1]
}

// keepEarliest sets kept to at if it is zero or later than at, and reports whether it
// did.
func keepEarliest(kept *time.Time, at time.Time) bool {
	if !kept.IsZero() && !at.Before(*kept) {
		return false
	}
	*kept = at
	return true
}

// acceptedSteps returns the accepted steps in the order of submission.
func (r *Report) acceptedSteps() []*step {
	var out []*step
	for _, s := range r.steps {
		if !s.accepted.IsZero() && !s.submitted.IsZero() {
			out = append(out, s)
		}
	}
	slices.SortFunc(out, func(a, b *step) int {
		if d := a.submitted.Compare(b.submitted); d != 0 {
			return d
		}
		return strings.Compare(a.id, b.id)
	})
	return out
}

// wantedMessages are the beginnings of the messages that the report uses.
var wantedMessages = []string{"Step ", "Batch ", "Item run.", "Item scored.", "Results not kept yet.", "Request done.", "Stream done."}
