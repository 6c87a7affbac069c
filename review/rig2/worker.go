//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

type (
	// worker is a sound worker: it checks Expect-Instance, echoes Attempt-Id, signs its answers and
	// drops a request when its channel closes.
	worker struct {
		id, service, addr string
		rec               *record

		// model is the model of an engine; "" for other workers.
		model string

		mu   sync.Mutex
		runs map[string]*workerRun
		// endless is how many of the next items get bytes without an end in place of an answer; with
		// isNumbered these have event IDs.
		endless    int
		isNumbered bool
		// spoilt is how many of the next items get spoilt bytes and a broken channel.
		spoilt int
		// endlessSent is how many bytes of these were sent, endlessID the item.
		endlessSent int64
		endlessID   string
	}

	// workerRun is a request that the worker has begun to work on.
	workerRun struct {
		begin time.Time
		// end is when the worker has sent the last byte; zero if it hasn't.
		end time.Time
		// dropped is when the worker saw that the channel was closed; zero if it wasn't.
		dropped time.Time
		runs    int
	}

	// task is what a request asks of a worker, as JSON in its header Review-Task.
	task struct {
		// Events and GapMs are of a stream, WorkMs of another request.
		Events int `json:"events,omitempty"`
		GapMs  int `json:"gapMs,omitempty"`
		WorkMs int `json:"workMs,omitempty"`
	}
)

const taskHeader = "Review-Task"

// entry is the worker's entry in the platform's store.
func (w *worker) entry() any {
	e := map[string]any{"service": w.service, "addr": w.addr, "zone": "dc-a", "version": "v1", "slots": 12, "state": "ready", "coldLeftMs": 0, "seq": 0, "born": bornMs}
	if w.model != "" {
		e["stage"], e["models"] = "both", []map[string]any{{"name": w.model, "version": 1, "adapters": []string{}}}
	}
	return e
}

// report is the answer to GET /lavendermux/report.
func (w *worker) report(rw http.ResponseWriter) {
	rw.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(rw).Encode(map[string]any{"stage": "both", "models": []map[string]any{{"name": w.model, "version": 1, "adapters": []string{}}},
		"busy": false, "seq": 0, "queueDepth": 0, "inFlight": 0, "kvUsed": 0, "kvTotal": 59538, "handles": 0, "born": bornMs}) // the caller may have gone
}

func (w *worker) run(id string) workerRun {
	w.mu.Lock()
	defer w.mu.Unlock()
	if r := w.runs[id]; r != nil {
		return *r
	}
	return workerRun{}
}

func (w *worker) update(id string, f func(*workerRun)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	r := w.runs[id]
	if r == nil {
		r = &workerRun{}
		w.runs[id] = r
	}
	f(r)
}

// ServeHTTP implements http.Handler.
func (w *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Attempt-Id")
	rw.Header().Set("Attempt-Id", id)
	rw.Header().Set("Instance-Id", w.id)
	if r.URL.Path == "/health" {
		return
	}
	if r.URL.Path == "/lavendermux/report" {
		w.report(rw)
		return
	}
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != w.id {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	n, err := io.Copy(io.Discard, r.Body)
	if err != nil {
		w.rec.printf("worker %s: request %s broke off after %d bytes", w.id, id, n)
		return // it has not begun
	}
	var t task
	_ = json.Unmarshal([]byte(r.Header.Get(taskHeader)), &t) // no task: an answer at once
	w.update(id, func(run *workerRun) { run.begin, run.runs = time.Now(), run.runs+1 })
	rw.Header().Set("Server-Seal", "seal-"+w.id+"-"+id)
	if w.model != "" {
		rw.Header().Set("Weight-Versions", "1")
		t = task{Events: itemEvents(id), GapMs: int(itemGap.Load())}
	}
	switch {
	case w.takeEndless(id):
		w.sendEndless(rw, id)
		return
	case w.takeSpoilt():
		w.sendSpoilt(rw, id)
		return
	}
	done := false
	if t.Events > 0 {
		done = w.stream(rw, r, t)
	} else {
		done = pause(r, time.Duration(t.WorkMs)*time.Millisecond)
		if done {
			_, _ = io.WriteString(rw, answerOf(id)) // the caller may have gone
		}
	}
	if done {
		w.update(id, func(run *workerRun) { run.end = time.Now() })
		return
	}
	w.update(id, func(run *workerRun) { run.dropped = time.Now() })
}

func (w *worker) stream(rw http.ResponseWriter, r *http.Request, t task) bool {
	rw.Header().Set("Content-Type", "text/event-stream")
	c := http.NewResponseController(rw)
	begin := time.Now()
	from, err := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	if err != nil {
		from = -1
	}
	for n := range t.Events {
		if !pause(r, time.Until(begin.Add(time.Duration((n+1)*t.GapMs)*time.Millisecond))) {
			return false
		}
		if n <= from {
			continue
		}
		if _, err := fmt.Fprintf(rw, "id: %d\ndata: %s\n\n", n, eventText(r.Header.Get("Attempt-Id"), n)); err != nil || c.Flush() != nil {
			return false
		}
	}
	return true
}

func answerOf(id string) string { return "answer to " + id }

// pause waits, and reports whether the channel is still open.
func pause(r *http.Request, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-r.Context().Done():
		return false
	}
}

// itemGap is the time of an event of an item, in milliseconds.
var itemGap atomic.Int64

func init() { itemGap.Store(20) }

const (
	// fill is what is sent without an end: it has no event ID, so that it is no event of the protocol.
	fill        = "data: fill\n\n"
	fillRepeats = 300
	// spoiltBytes has no event ID either.
	spoiltBytes = "data: engine failed\n\n"
)

// itemEvents is the number of events of an item.
func itemEvents(id string) int { return 15 + len(id)%5 }

func eventText(id string, n int) string { return fmt.Sprintf("%s event %d%s", id, n, pad()) }

// itemText is the whole text of an item.
func itemText(id string) string {
	var lines []string
	for n := range itemEvents(id) {
		lines = append(lines, eventText(id, n))
	}
	return strings.Join(lines, "\n")
}

// setEndless has the next n items answered with bytes without an end.
func (w *worker) setEndless(n int, isNumbered bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.endless, w.isNumbered = n, isNumbered
}

func (w *worker) takeEndless(id string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.endless == 0 {
		return false
	}
	w.endless--
	w.endlessID = id
	return true
}

// sendEndless sends bytes that are no answer until the caller closes the channel.
func (w *worker) sendEndless(rw http.ResponseWriter, id string) {
	conn, _, err := http.NewResponseController(rw).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	w.rec.printf("worker %s: item %s gets bytes without an end, with event IDs: %t", w.id, id, w.isNumbered)
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nServer-Seal: seal-%s-%s\r\nContent-Type: text/event-stream\r\nWeight-Versions: 1\r\n\r\n", id, w.id, id)
	_, err = io.WriteString(conn, head)
	raw := []byte(strings.Repeat(fill, fillRepeats))
	for next := 0; err == nil; next += fillRepeats {
		if w.isNumbered {
			raw = raw[:0]
			for i := range fillRepeats {
				raw = fmt.Appendf(raw, "id: %d\n%s", next+i, fill)
			}
		}
		var n int
		n, err = conn.Write(raw)
		w.mu.Lock()
		w.endlessSent += int64(n)
		w.mu.Unlock()
	}
	w.update(id, func(run *workerRun) { run.dropped = time.Now() })
}

// setSpoilt has the next n items answered with spoilt bytes.
func (w *worker) setSpoilt(n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.spoilt = n
}

func (w *worker) takeSpoilt() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.spoilt == 0 {
		return false
	}
	w.spoilt--
	return true
}

// sendSpoilt sends bytes that are no event of the protocol, which has an ID, and breaks off.
func (w *worker) sendSpoilt(rw http.ResponseWriter, id string) {
	rw.Header().Set("Content-Type", "text/event-stream")
	w.rec.printf("worker %s: the answer to item %s is %q and breaks off", w.id, id, spoiltBytes)
	_, _ = io.WriteString(rw, spoiltBytes)     // the caller may have gone
	_ = http.NewResponseController(rw).Flush() // see above
	time.Sleep(50 * time.Millisecond)          // the bytes arrive before the end
	w.update(id, func(run *workerRun) { run.dropped = time.Now() })
	panic(http.ErrAbortHandler) // breaks the channel off within the answer
}
