//go:build review

package main

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/lavendermux/lavendermux/platform/sims/simcfg"
)

const (
	onceCalls = 100
	// Two answers in a hundred are lost, one of either method. The pages allow 0.025 or more.
	lostGet, lostPost = 38, 79
)

// onceReplay sends requests of a route that isn't idempotent to an entry. A worker runs some of
// them and its answer is lost.
func onceReplay(ctx context.Context, d *deployment, trouble bool) (bool, error) {
	entry := d.nodes[0]
	for n := range onceCalls {
		id := fmt.Sprintf("once-%03d", n)
		method, header := http.MethodGet, map[string]string{"Time-Budget-Ms": "1500"}
		if n%2 == 1 {
			method, header["Idempotency-Key"] = http.MethodPost, "key-"+id
		}
		isLost := trouble && (n == lostGet || n == lostPost)
		if isLost {
			d.loseResponses(1)
		}
		status, _, err := d.call(ctx, method, entry.front(), simcfg.PlainHost, simcfg.NonIdempotentPath+"slot", id, header, nil)
		d.record.add("%s %s at %s: %d %v", method, id, entry.name, status, err)
		if isLost {
			d.loseResponses(0)
			d.record.add("a worker ran %s and its answer was lost", id)
		}
		time.Sleep(50 * time.Millisecond)
	}
	runs := make(map[string]int)
	for _, w := range d.plain {
		for _, r := range w.Runs() {
			runs[r.ID]++
			d.record.add("%s ran %s %s", w.ID(), r.Method, r.ID)
		}
	}
	broken := false
	for n := range onceCalls {
		if id := fmt.Sprintf("once-%03d", n); runs[id] > 1 {
			d.record.add("TWICE: %s ran %d times", id, runs[id])
			broken = true
		}
	}
	return broken, nil
}

// loseResponses has whichever worker gets a request run the next n and close their channels
// instead of answering.
func (d *deployment) loseResponses(n int) {
	for _, w := range d.plain {
		w.LoseResponses(n)
	}
}
