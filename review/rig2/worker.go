//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

type (
	// worker is a sound worker: it checks Expect-Instance, echoes Attempt-Id, signs its answers and
	// drops a request when its channel closes.
	worker struct {
		id, service, addr string
		rec               *record

		mu   sync.Mutex
		runs map[string]*workerRun
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
	return map[string]any{"service": w.service, "addr": w.addr, "zone": "dc-a", "version": "v1", "slots": 12, "state": "ready", "coldLeftMs": 0, "seq": 0, "born": bornMs}
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
	for n := range t.Events {
		if !pause(r, time.Until(begin.Add(time.Duration((n+1)*t.GapMs)*time.Millisecond))) {
			return false
		}
		if _, err := fmt.Fprintf(rw, "id: %d\ndata: event %d\n\n", n, n); err != nil || c.Flush() != nil {
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
