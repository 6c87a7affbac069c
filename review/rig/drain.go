//go:build review

package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/lavendermux/lavendermux/platform/sims/simcfg"
	"github.com/lavendermux/lavendermux/platform/sims/simwkr"
)

const (
	// grace is graceS. A request at which the worker is still at work in its last sixth isn't
	// counted.
	grace     = 8 * time.Second
	lastSixth = grace * 5 / 6

	streams        = 9
	streamEvents   = 80
	streamInterval = 100 * time.Millisecond
	streamEvery    = 200 * time.Millisecond
	// termAfter is the time from the first stream to the SIGTERM. The streams last 8 s, so that
	// their last events are due 6.2 to 7.8 s after it.
	termAfter = 1800 * time.Millisecond
)

type (
	// longStreams is a model worker whose answers to streams last 8 s. Everything else is left
	// to next.
	longStreams struct {
		next *simwkr.Worker

		mu sync.Mutex
		// cutAt is when the worker's channel was closed in the middle of a stream, by request.
		cutAt map[string]time.Time
	}

	streamResult struct {
		id       string
		complete bool
		events   int
		endedAt  time.Time
		err      error
	}
)

// ServeHTTP implements http.Handler.
func (w *longStreams) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	if v := r.Header.Get("Expect-Version"); v != "" && v != strconv.FormatInt(w.next.Versions()[simcfg.Model], 10) {
		rw.Header().Set("Attempt-Id", r.Header.Get("Attempt-Id"))
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if !strings.HasPrefix(r.URL.Path, simcfg.StreamPath) {
		w.next.ServeHTTP(rw, r)
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	id := r.Header.Get("Attempt-Id")
	rw.Header().Set("Attempt-Id", id)
	if want := r.Header.Get("Expect-Instance"); want != "" && want != w.next.ID() {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	rw.Header().Set("Server-Seal", simwkr.Receipt(w.next.ID(), id))
	rw.Header().Set("Content-Type", "text/event-stream")
	rw.Header().Set("Weight-Versions", "1")
	flusher := http.NewResponseController(rw)
	for n := range streamEvents {
		select {
		case <-r.Context().Done():
			w.mu.Lock()
			w.cutAt[id] = time.Now()
			w.mu.Unlock()
			return
		case <-time.After(streamInterval):
		}
		if _, err := fmt.Fprintf(rw, "id: %d\ndata: %s-%d\n\n", n, id, n); err != nil || flusher.Flush() != nil {
			return
		}
	}
}

// drainCut sends streams to an entry and then a SIGTERM to it.
func drainCut(ctx context.Context, d *deployment, trouble bool) (bool, error) {
	entry := d.nodes[0]
	results := make(chan streamResult, streams)
	start := time.Now()
	for n := range streams {
		id := fmt.Sprintf("stream-%d", n)
		d.record.add("%s sent to %s", id, entry.name)
		go func() { results <- d.stream(ctx, entry, id) }()
		time.Sleep(streamEvery)
	}
	time.Sleep(time.Until(start.Add(termAfter)))
	termAt := time.Now()
	if trouble {
		d.record.add("SIGTERM to %s", entry.name)
		_ = entry.cmd.Process.Signal(syscall.SIGTERM)
		timer := time.AfterFunc(grace, func() {
			d.record.add("SIGKILL to %s", entry.name)
			_ = entry.cmd.Process.Kill()
		})
		defer timer.Stop()
	}
	var ended []streamResult
	for range streams {
		ended = append(ended, <-results)
	}
	time.Sleep(200 * time.Millisecond) // the workers notice the end of their channels
	broken := false
	for _, r := range ended {
		after := r.endedAt.Sub(termAt)
		d.record.add("%s: complete %v, %d of %d events, ended %.2f s after SIGTERM: %v", r.id, r.complete, r.events, streamEvents, after.Seconds(), r.err)
		if r.complete || !trouble {
			broken = broken || !r.complete
			continue
		}
		cut, ok := d.cutAt(r.id)
		if !ok || cut.Sub(termAt) >= lastSixth {
			d.record.add("%s isn't counted: its worker was at work in the last sixth of graceS, or broke off", r.id)
			continue
		}
		d.record.add("LOST: the channel of %s ended without a complete answer; its worker was cut off %.2f s after SIGTERM, before the last sixth of graceS begins at %.2f s",
			r.id, cut.Sub(termAt).Seconds(), lastSixth.Seconds())
		broken = true
	}
	return broken, nil
}

// stream reads a stream to its end.
func (d *deployment) stream(ctx context.Context, n *nodeProcess, id string) streamResult {
	out := streamResult{id: id}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+n.front()+simcfg.StreamPath+"text", strings.NewReader("prompt "+id))
	if err != nil {
		out.err = err
		return out
	}
	r.Host = simcfg.PlainHost
	r.Header.Set("Attempt-Id", id)
	r.Header.Set("Time-Budget-Ms", "10000")
	r.Header.Set("Model", simcfg.Model)
	r.Header.Set("Token-Count", "16,4000")
	resp, err := d.client.Do(r)
	if err == nil {
		defer resp.Body.Close()
		var raw []byte
		raw, err = io.ReadAll(resp.Body)
		out.events = strings.Count(string(raw), "\n\n")
		out.complete = err == nil && resp.StatusCode == http.StatusOK && out.events == streamEvents
	}
	out.endedAt, out.err = time.Now(), err
	return out
}

func (d *deployment) cutAt(id string) (time.Time, bool) {
	for _, w := range d.longStreams {
		w.mu.Lock()
		at, ok := w.cutAt[id]
		w.mu.Unlock()
		if ok {
			return at, true
		}
	}
	return time.Time{}, false
}
