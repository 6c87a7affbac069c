package report

import (
	"cmp"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/lavendermux/lavendermux/lines"
	"github.com/lavendermux/lavendermux/stat"
)

const (
	// nameNone stands for a customer, data centre, endpoint or model that a line doesn't name.
	nameNone = "(none)"
	// nameInternal stands for the system's own calls among the customers.
	nameInternal = "(scoring calls)"
)

// loadMessages are the beginnings of the messages that the report uses.
var loadMessages = []string{
	messageRequest, messageStream, messageRun, messageSubmitted, messageInvalid, messageHeld,
	messageNoRoute, messageUnknownKey, messageNoBody, messageDropped,
}

const (
	messageRequest    = "Request done."
	messageStream     = "Stream done."
	messageRun        = "Item run."
	messageSubmitted  = "Batch submitted."
	messageInvalid    = "Batch submission invalid."
	messageHeld       = "Batch held."
	messageNoRoute    = "No route matches the request."
	messageUnknownKey = "API key unknown."
	messageNoBody     = "Request body could not be read."
	messageDropped    = "Log lines dropped."
)

type (
	// load has the requests, item runs and submissions of a deployment. See NewLoad.
	load struct {
		customers, routes, dataCentres, endpoints map[string]*requestRow
		runs                                      map[runKey]*runRow
		// models are the models of batches, for item runs whose lines lack the model.
		models      map[string]string
		submissions map[submissionKey]*submissionRow
		// unrouted counts the requests that were rejected before they had a route, by message.
		unrouted map[string]int
		// hasObjective and hasWait report whether any line has that field.
		hasObjective, hasWait bool
		// used, skipped and damaged count the lines of the logs, dropped those that processes
		// didn't write.
		used, skipped, damaged, dropped int
	}

	// request is one request or stream, as its line describes it.
	request struct {
		isStream, isLate, isFailed, isRefused bool
		cause                                 string
		took, wait                            time.Duration
	}

	// requestRow summarises requests.
	requestRow struct {
		name                        string
		all, refused, late, failed  int
		service                     time.Duration
		requestMs, streamMs, waitMs stat.Series
		causes                      map[string]int
	}

	runKey struct {
		batch, model, endpoint string
	}

	// runRow summarises runs of items. A run with another outcome than those counted is in
	// all only.
	runRow struct {
		name                                     string
		all, completed, cutOff, rejected, broken int
		took                                     time.Duration
		// events were made in paceTime, by the runs that tell a pace.
		events   int
		paceTime time.Duration
	}

	submissionKey struct {
		model, status string
	}

	submissionRow struct {
		submissionKey
		batches map[string]bool
		errors  map[string]int
		tookMs  stat.Series
	}
)

// NewLoad returns an empty report on the load of a deployment: who waited, who was refused,
// and where the work went.
//
//	l := report.NewLoad()
//	err := l.Read(file)
//	fmt.Print(l.Table())
func NewLoad() *load {
	return &load{
		customers: make(map[string]*requestRow), routes: make(map[string]*requestRow),
		dataCentres: make(map[string]*requestRow), endpoints: make(map[string]*requestRow),
		runs: make(map[runKey]*runRow), models: make(map[string]string),
		submissions: make(map[submissionKey]*submissionRow), unrouted: make(map[string]int),
	}
}

// Len returns the number of log lines that the report is made from.
func (l *load) Len() int { return l.used }

// Read adds the log of one or more processes; it may be called for several logs, in any order.
// Lines that are not valid log lines or are irrelevant are skipped and counted.
func (l *load) Read(from io.Reader) error {
	skipped, damaged, err := lines.Read(from, loadMessages, l.addLine)
	l.skipped += skipped
	l.damaged += damaged
	return err
}

func (l *load) addLine(line lines.Line) {
	l.used++
	switch line.Message {
	case messageRequest, messageStream:
		l.addRequest(line)
	case messageRun:
		l.addRun(line)
	case messageSubmitted, messageInvalid:
		l.addSubmission(line)
	case messageHeld:
		l.models[line.Fields["batch"]] = line.Fields["model"]
	case messageNoRoute, messageUnknownKey, messageNoBody:
		l.unrouted[line.Message]++
	case messageDropped:
		l.dropped += intField(line, "lines")
	}
}

func (l *load) addRequest(line lines.Line) {
	objective, hasObjective := line.Fields["objective"]
	_, hasWait := line.Fields["wait"]
	l.hasObjective = l.hasObjective || hasObjective && objective != "0"
	l.hasWait = l.hasWait || hasWait
	r := newRequest(line)
	customer := line.Fields["customer"]
	if line.Fields["internal"] == "true" {
		customer = nameInternal
	}
	rowOf(l.customers, customer).add(r, r.serviceTime())
	rowOf(l.routes, line.Fields["route"]).add(r, r.serviceTime())
	rowOf(l.dataCentres, line.Fields["dataCentre"]).add(r, r.serviceTime())
	l.addToEndpoints(r, strings.Fields(strings.Trim(line.Fields["endpoints"], "[]")))
}

// addToEndpoints counts a request at each endpoint that was asked. The line doesn't tell which
// of several took how long, so their times are no measurements and each has an equal part of
// the service time.
func (l *load) addToEndpoints(r request, asked []string) {
	if len(asked) == 0 {
		rowOf(l.endpoints, "").add(r, r.serviceTime())
		return
	}
	seen := make(map[string]bool, len(asked))
	for _, id := range asked {
		row := rowOf(l.endpoints, id)
		row.service += r.serviceTime() / time.Duration(len(asked))
		if seen[id] {
			continue
		}
		seen[id] = true
		row.count(r)
		if len(asked) == 1 {
			row.observe(r)
		}
	}
}

func newRequest(line lines.Line) request {
	outcome, status := line.Fields["outcome"], intField(line, "status")
	objective := time.Duration(intField(line, "objective")) * time.Millisecond
	r := request{
		isStream: line.Message == messageStream,
		took:     line.Duration("took"),
		wait:     line.Duration("wait"),
	}
	switch {
	case outcome == "held":
		r.isRefused, r.cause = true, "quarantined" // the text of the error has the request's fingerprint
	case outcome == "refused":
		// A refusal by a queue has a cause; the text of its error has figures of the request.
		r.isRefused, r.cause = true, cmp.Or(line.Fields["cause"], strings.TrimPrefix(line.Fields["error"], "refused: "))
	case outcome == "late" || status == http.StatusGatewayTimeout: // the time ended here, or at the endpoint
		r.isLate = true
	case outcome == "failed" || status >= http.StatusInternalServerError:
		r.isFailed = true
	default:
		r.isLate = objective > 0 && r.took > objective
	}
	return r
}

// serviceTime is the time at endpoints.
func (r request) serviceTime() time.Duration {
	if r.isRefused {
		return 0
	}
	return max(0, r.took-r.wait)
}

func rowOf(rows map[string]*requestRow, name string) *requestRow {
	if name == "" {
		name = nameNone
	}
	row := rows[name]
	if row == nil {
		row = &requestRow{name: name, causes: make(map[string]int)}
		rows[name] = row
	}
	return row
}

func (w *requestRow) add(r request, service time.Duration) {
	w.service += service
	w.count(r)
	w.observe(r)
}

func (w *requestRow) count(r request) {
	w.all++
	switch {
	case r.isRefused:
		w.refused++
		w.causes[r.cause]++
	case r.isFailed:
		w.failed++
	case r.isLate:
		w.late++
	}
	w.waitMs.Add(milliseconds(r.wait))
}

// observe adds the latency of a request that had an answer, or none in time.
func (w *requestRow) observe(r request) {
	switch {
	case r.isRefused || r.isFailed:
	case r.isStream:
		w.streamMs.Add(milliseconds(r.took))
	default:
		w.requestMs.Add(milliseconds(r.took))
	}
}

// merge adds the requests of another row.
func (w *requestRow) merge(o *requestRow) {
	w.all += o.all
	w.refused += o.refused
	w.late += o.late
	w.failed += o.failed
	w.service += o.service
	for _, s := range []struct{ to, from *stat.Series }{{&w.requestMs, &o.requestMs}, {&w.streamMs, &o.streamMs}, {&w.waitMs, &o.waitMs}} {
		for _, v := range s.from.Values {
			s.to.Add(v)
		}
	}
	for cause, n := range o.causes {
		w.causes[cause] += n
	}
}

// latencies returns the latencies of the requests, or those of the streams if there are no
// requests: a stream takes as long as its text, which would hide the latency of requests.
func (w *requestRow) latencies() *stat.Series {
	if w.requestMs.Count() == 0 {
		return &w.streamMs
	}
	return &w.requestMs
}

func (l *load) addRun(line lines.Line) {
	key := runKey{batch: line.Fields["batch"], model: line.Fields["model"], endpoint: line.Fields["endpoint"]}
	row := l.runs[key]
	if row == nil {
		row = &runRow{}
		l.runs[key] = row
	}
	row.add(line)
}

func (w *runRow) add(line lines.Line) {
	w.all++
	took := line.Duration("took")
	w.took += took
	tellsPace := true
	switch line.Fields["outcome"] {
	case "completed":
		w.completed++
	case "moved", "ended":
		w.cutOff++
	case "not run", "endpoint gone", "failed", "errored":
		w.rejected++
		tellsPace = false
	case "broken", "invalid":
		w.broken++
		tellsPace = false // the time includes the silence before the break
	}
	if n := runEvents(line); tellsPace && n > 0 {
		w.events += n
		w.paceTime += took
	}
}

// runEvents returns the number of events of a run. Lines of earlier versions have the event
// IDs before and after the run instead.
func runEvents(line lines.Line) int {
	if _, ok := line.Fields["events"]; ok {
		return intField(line, "events")
	}
	return max(0, intField(line, "to")-intField(line, "from"))
}

func (w *runRow) merge(o *runRow) {
	w.all += o.all
	w.completed += o.completed
	w.cutOff += o.cutOff
	w.rejected += o.rejected
	w.broken += o.broken
	w.took += o.took
	w.events += o.events
	w.paceTime += o.paceTime
}

func (l *load) addSubmission(line lines.Line) {
	key := submissionKey{model: line.Fields["model"], status: line.Fields["status"]}
	if line.Message == messageInvalid {
		key.status = "400"
	}
	batch := line.Fields["batch"]
	if key.model != "" {
		l.models[batch] = key.model
	}
	row := l.submissions[key]
	if row == nil {
		row = &submissionRow{submissionKey: key, batches: make(map[string]bool), errors: make(map[string]int)}
		l.submissions[key] = row
	}
	row.batches[batch] = true
	row.tookMs.Add(milliseconds(line.Duration("took")))
	if text := line.Fields["error"]; text != "" && text != "null" {
		row.errors[text]++
	}
}

// intField returns the value of a field, or 0 if the line has no such number.
func intField(line lines.Line, key string) int {
	n, err := strconv.Atoi(line.Fields[key])
	if err != nil {
		return 0
	}
	return n
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
