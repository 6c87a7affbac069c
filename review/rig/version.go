//go:build review

package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/lavendermux/lavendermux/platform/sims/simcfg"
)

const (
	versionBatch = "7c41e09b52d6a3f8"
	versionItems = 240
)

// expectVersion has a trainer submit a step, and another requester a stream that names a
// version of the weights which no worker has.
func expectVersion(ctx context.Context, d *deployment, trouble bool) (bool, error) {
	start := time.Now()
	status, _, err := d.call(ctx, http.MethodPost, d.nodes[0].front(), simcfg.BatchHost, simcfg.SubmitPath, versionBatch, nil,
		simcfg.Submission(versionBatch, 0, versionItems, groupSize, 1))
	d.record.add("step %s of %d items submitted to %s: %d %v", versionBatch, versionItems, d.nodes[0].name, status, err)
	if status != http.StatusAccepted {
		return false, errors.New("the step was not accepted")
	}
	for d.itemsBegun() == 0 && ctx.Err() == nil {
		time.Sleep(10 * time.Millisecond)
	}
	// The requester's retry reaches another node.
	for n, entry := range d.nodes[:entries] {
		header := map[string]string{"Time-Budget-Ms": "2000", "Model": simcfg.Model, "Token-Count": "16,400"}
		if trouble {
			header["Expect-Version"] = "2"
		}
		id := fmt.Sprintf("stream-%d", n)
		status, _, err := d.call(ctx, http.MethodPost, entry.front(), simcfg.PlainHost, simcfg.StreamPath+"text", id, header, []byte("prompt"))
		d.record.add("%s with Expect-Version %q at %s: %d %v", id, header["Expect-Version"], entry.name, status, err)
	}
	var p page
	for time.Since(start) < stepBudget && len(p.Results) < versionItems && ctx.Err() == nil {
		time.Sleep(300 * time.Millisecond)
		status, raw, err := d.call(ctx, http.MethodGet, d.nodes[1].front(), simcfg.BatchHost, simcfg.BatchStatusPath+versionBatch+"?after=0", "read", nil, nil)
		if err == nil && status == http.StatusOK {
			_ = json.Unmarshal(raw, &p)
		}
	}
	d.record.add("%d of %d results read after %.1f s", len(p.Results), versionItems, time.Since(start).Seconds())
	last := d.lastRun()
	d.record.add("%d items had begun; the last run at a worker began %.1f s ago", d.itemsBegun(), time.Since(last).Seconds())
	if len(p.Results) < versionItems && time.Since(last) > idleLimit {
		d.record.add("LOST: the step ran out of time while %d items had been at no worker for over 5 s", versionItems-d.itemsBegun())
		return true, nil
	}
	return false, nil
}

func (d *deployment) itemsBegun() int {
	begun := make(map[string]bool)
	for _, w := range d.engines {
		for _, r := range w.Runs() {
			begun[r.ID] = true
		}
	}
	return len(begun)
}

func (d *deployment) lastRun() (at time.Time) {
	for _, w := range d.engines {
		for _, r := range w.Runs() {
			if r.StartedAt.After(at) {
				at = r.StartedAt
			}
		}
	}
	return at
}
