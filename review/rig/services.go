//go:build review

package main

import (
	"context"
	"fmt"
	"time"

	"github.com/lavendermux/lavendermux/platform/sims/simcfg"
)

const (
	// longStep is the number of items of a step that takes 8 s with all engines and longer than
	// its time budget with one.
	longStep = 96
	lastStep = 3
)

// twoServices plays a trainer beside a second model service, whose model has no trainer. Before
// step 3 a new engine joins, which has the newest version. Without trouble the second service has
// no workers.
func twoServices(ctx context.Context, d *deployment, trouble bool) (bool, error) {
	manifest := singleManifest(d.models...).(map[string]any)
	for _, r := range manifest["routes"].([]map[string]any) {
		delete(r, "singleVersion")
	}
	manifest["version"] = 4
	manifest["services"] = append(manifest["services"].([]map[string]any), map[string]any{"name": "chat", "maxConns": 150,
		"engine": map[string]any{"slots": engineSlots, "models": []map[string]any{{"name": "chatty"}}}})
	d.store.Put(simcfg.ManifestKey, manifest)
	for i := range 2 {
		if !trouble {
			break
		}
		e := newEngine(fmt.Sprintf("chat-%d", i), d.versions.newest, "chatty")
		e.service = "chat"
		addr := d.ip(5, i+1) + ":" + workerPort
		if err := d.serve(ctx, addr, e); err != nil {
			return false, err
		}
		go d.register(ctx, e.id, func() []byte { return e.registration(addr) })
	}
	time.Sleep(2 * time.Second)
	model := d.models[0]
	for step := 1; step <= lastStep; step++ {
		items := stepItems
		if step > 1 {
			d.versions.name(d, model, int64(step))
			d.record.add("version %d of %s is named", step, model)
		}
		namedAt := time.Now()
		if step == lastStep {
			items = longStep
			e := newEngine("engine-new", d.versions.newest, d.models...)
			e.versions[model] = int64(step)
			if err := d.serveEngine(ctx, e, d.ip(2, engines+1)+":"+workerPort); err != nil {
				return false, err
			}
			d.record.add("engine-new joins with version %d", step)
		}
		id := fmt.Sprintf("2f0c6b7d2e9a485%d", step)
		start := time.Now()
		if err := d.submitStep(ctx, d.nodes[1], model, id, step, items, max(1, int64(step)-1)); err != nil {
			return false, err
		}
		p := d.readStep(ctx, id, items, start.Add(stepBudget))
		now := time.Now()
		d.record.add("step %d: %d of %d results %.1f s after its submission", step, len(p.Results), items, now.Sub(start).Seconds())
		for _, e := range d.modelEngines {
			d.record.add("%s has version %d of %s", e.id, e.versionOf(model), model)
		}
		if len(p.Results) < items {
			return d.checkStep(id, items, p, now, namedAt), nil
		}
	}
	return false, nil
}

func (e *engine) versionOf(model string) int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.versions[model]
}
