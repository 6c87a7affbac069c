//go:build review

package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"sort"
	"sync"
	"time"

	"github.com/lavendermux/lavendermux/platform/sims/simcfg"
)

const (
	firstStepID    = "1f0c6b7d2e9a4853"
	firstStepItems = 8
	stepID         = "7c41e09b52d6a3f8"
	stepItems      = 32
	groupSize      = 4
	// stepBudget is the time budget of a step, idleLimit how long an item may be at no worker,
	// and namedLimit how long before that no version may have been named.
	stepBudget = 12 * time.Second
	idleLimit  = 5 * time.Second
	namedLimit = 6 * time.Second
	// trainTime is how long training takes.
	trainTime = 500 * time.Millisecond
)

type page struct {
	Total   int `json:"total"`
	Results []struct {
		ID       string  `json:"id"`
		State    string  `json:"state"`
		Text     string  `json:"text"`
		Versions []int64 `json:"versions"`
	} `json:"results"`
}

// versions are the named versions of each model.
type versions struct {
	mu    sync.Mutex
	named map[string]int64
}

func (v *versions) newest(model string) int64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	return max(1, v.named[model])
}

func (v *versions) name(d *deployment, model string, version int64) {
	v.mu.Lock()
	v.named[model] = version
	v.mu.Unlock()
	d.store.Put("op/version/"+model, map[string]any{"model": model, "version": version})
}

// singleManifest returns a manifest with a rollout route whose results come from one version.
func singleManifest(models ...string) any {
	m := simcfg.Manifest(3, "desk").(map[string]any)
	for _, r := range m["routes"].([]map[string]any) {
		if r["name"] == "batch" {
			r["singleVersion"] = true
		}
	}
	list := []map[string]any{}
	for _, name := range models {
		list = append(list, map[string]any{"name": name})
	}
	for _, s := range m["services"].([]map[string]any) {
		if s["name"] == "lm" {
			s["engine"].(map[string]any)["models"] = list
		}
	}
	return m
}

// singleVersion plays a trainer that requests steps ahead: when it has read and ended step 0, it
// requests step 1, trains, and names version 2 while the items of step 1 run.
func singleVersion(ctx context.Context, d *deployment, trouble bool) (bool, error) {
	model := d.models[0]
	if err := d.submitStep(ctx, d.nodes[0], model, firstStepID, 0, firstStepItems, 1); err != nil {
		return false, err
	}
	if p := d.readStep(ctx, firstStepID, firstStepItems, time.Now().Add(stepBudget)); len(p.Results) < firstStepItems {
		return false, fmt.Errorf("step 0 has %d results only", len(p.Results))
	}
	status, _, err := d.call(ctx, http.MethodDelete, d.nodes[1].front(), simcfg.BatchHost, simcfg.BatchStatusPath+firstStepID, "end", nil, nil)
	d.record.add("step 0 ended at %s: %d %v", d.nodes[1].name, status, err)
	start := time.Now()
	if err := d.submitStep(ctx, d.nodes[1], model, stepID, 1, stepItems, 1); err != nil {
		return false, err
	}
	time.Sleep(time.Until(start.Add(trainTime)))
	var namedAt time.Time
	if trouble {
		d.versions.name(d, model, 2)
		namedAt = time.Now()
		d.record.add("version 2 of %s is named", model)
	}
	p := d.readStep(ctx, stepID, stepItems, start.Add(stepBudget))
	now := time.Now()
	d.record.add("%d of %d results of step 1 read, %.1f s after its submission", len(p.Results), stepItems, now.Sub(start).Seconds())
	return d.checkStep(stepID, stepItems, p, now, namedAt), nil
}

// submitStep submits a step that allows all versions from minVersion on.
func (d *deployment) submitStep(ctx context.Context, n *nodeProcess, model, id string, step, items int, minVersion int64) error {
	submission := map[string]any{}
	if err := json.Unmarshal(simcfg.Submission(id, step, items, groupSize, minVersion), &submission); err != nil {
		return err
	}
	submission["model"] = model
	for _, it := range submission["items"].([]any) {
		it.(map[string]any)["headers"] = map[string]string{"Model": model, "Token-Count": "16,4000"}
	}
	raw, err := json.Marshal(submission)
	if err != nil {
		return err
	}
	status, _, err := d.call(ctx, http.MethodPost, n.front(), simcfg.BatchHost, simcfg.SubmitPath, id, nil, raw)
	d.record.add("step %d of %s, %s with %d items, submitted to %s: %d %v", step, model, id, items, n.name, status, err)
	if status != http.StatusAccepted {
		return errors.New("the step was not accepted")
	}
	return nil
}

// readStep reads a step until it has all results or its time is over.
func (d *deployment) readStep(ctx context.Context, id string, items int, until time.Time) (p page) {
	for time.Now().Before(until) && len(p.Results) < items && ctx.Err() == nil {
		time.Sleep(500 * time.Millisecond)
		status, raw, err := d.call(ctx, http.MethodGet, d.nodes[2].front(), simcfg.BatchHost, simcfg.BatchStatusPath+id+"?after=0", "read", nil, nil)
		if err == nil && status == http.StatusOK {
			_ = json.Unmarshal(raw, &p)
		}
	}
	return p
}

// checkStep reports whether the step ran out of time with an item that no worker has finished
// and that was at no worker for idleLimit, while the workers were under half full and no version
// was named.
func (d *deployment) checkStep(step string, items int, p page, now, namedAt time.Time) (broken bool) {
	listed := make(map[string]bool)
	for _, r := range p.Results {
		listed[r.ID] = true
	}
	var all []*run
	mostActive := 0
	for _, e := range d.modelEngines {
		e.mu.Lock()
		all = append(all, e.runs...)
		mostActive += len(e.active)
		for _, o := range e.orders {
			d.record.add("%s carried out the order %s", e.id, o)
		}
		e.mu.Unlock()
	}
	sort.Slice(all, func(i, j int) bool { return all[i].begin.Before(all[j].begin) })
	last, finished := make(map[string]time.Time), make(map[string]bool)
	for _, a := range all {
		end := a.end
		if end.IsZero() {
			end = now
		}
		if end.After(last[a.item]) {
			last[a.item] = end
		}
		finished[a.item] = finished[a.item] || a.complete
		d.record.add("run of %s from event %d: %.2f to %.2f s before the end, complete %v, reset %v", a.item, a.from,
			now.Sub(a.begin).Seconds(), now.Sub(end).Seconds(), a.complete, a.lost)
	}
	if !namedAt.IsZero() && now.Add(-idleLimit).Sub(namedAt) < namedLimit {
		d.record.add("a version was named too late for a judgement")
		return false
	}
	for n := range items {
		id := simcfg.ItemID(step, n)
		if listed[id] || finished[id] || now.Sub(last[id]) < idleLimit {
			continue
		}
		idle := "never been at a worker"
		if at, ok := last[id]; ok {
			idle = fmt.Sprintf("been at no worker for %.1f s", now.Sub(at).Seconds())
		}
		d.record.add("LOST: the step ran out of time, and item %s has %s; %d of %d slots are taken", id, idle, mostActive, len(d.modelEngines)*engineSlots)
		broken = broken || mostActive < len(d.modelEngines)*engineSlots/2
	}
	return broken
}
