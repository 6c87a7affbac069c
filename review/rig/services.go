//go:build review

package main

import (
	"context"
	"fmt"
	"time"

	"github.com/lavendermux/lavendermux/platform/sims/simcfg"
)

// twoServices plays a trainer beside a second model service, whose model has no trainer. Without
// trouble the second service has no workers.
func twoServices(ctx context.Context, d *deployment, trouble bool) (bool, error) {
	manifest := singleManifest(d.models...).(map[string]any)
	for _, r := range manifest["routes"].([]map[string]any) {
		delete(r, "singleVersion")
	}
	manifest["version"] = 4
	manifest["services"] = append(manifest["services"].([]map[string]any), map[string]any{"name": "chat", "maxConns": 150,
		"engine": map[string]any{"slots": engineSlots, "models": []map[string]any{{"name": "chatty"}}}})
	d.store.Put(simcfg.ManifestKey, manifest)
	if trouble {
		for i := range 2 {
			e := newEngine(fmt.Sprintf("chat-%d", i), d.versions.newest, "chatty")
			e.service = "chat"
			if err := d.serve(ctx, d.ip(5, i+1)+":"+workerPort, e); err != nil {
				return false, err
			}
			go d.register(ctx, e.id, func() []byte { return e.registration(d.ip(5, i+1) + ":" + workerPort) })
		}
	}
	time.Sleep(2 * time.Second)
	model := d.models[0]
	for step := 1; step <= 4; step++ {
		if step > 1 {
			d.versions.name(d, model, int64(step))
			d.record.add("version %d of %s is named", step, model)
		}
		id := fmt.Sprintf("2f0c6b7d2e9a485%d", step)
		start := time.Now()
		if err := d.submitStep(ctx, d.nodes[1], model, id, step, stepItems, max(1, int64(step)-1)); err != nil {
			return false, err
		}
		p := d.readStep(ctx, id, stepItems, start.Add(stepBudget))
		d.record.add("step %d: %d of %d results %.1f s after its submission", step, len(p.Results), stepItems, time.Since(start).Seconds())
		if len(p.Results) == 0 {
			d.record.add("no item of step %d began; versions are %v", step, d.modelEngines[0].versionOf(model))
			return true, nil
		}
	}
	return false, nil
}

func (e *engine) versionOf(model string) int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.versions[model]
}
