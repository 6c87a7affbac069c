// Package wplan plans weight loads: it assigns each engine to a model and decides
// which engines load a newer version of that model's weights, and when.
//
// Several trainers share the engines. Each announces a version every few seconds
// and accepts samples that are one version old. Loads are slow and share
// bandwidth: beyond a few at once each takes longer, and total throughput doesn't
// grow. If every engine loaded every version, more loads would be due than can be
// made, and each step would wait for engines fit for it. So engines are assigned
// to models by demand, each loads every second version, half of a model's engines
// load at each version, and only as many load at once as can at full speed.
//
// An engine is fit for a step when its version is behind by at most the allowed lag.
// The package has no clock and no network.
package wplan

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// maxLoadingShare and minLoadingEngines bound how many engines load at once: a
	// fifth of them. Four fleets load at full speed on 2 of 11, 2 of 9, 10 of 49 and
	// 9 of 46 engines.
	maxLoadingShare   = 0.2
	minLoadingEngines = 2
	// loadDelay is how long engines that are fit for the newest step start no load
	// after its version was announced. The step's items arrive within a round trip. An
	// engine that has taken some goes on with them while it loads; one that loads first
	// would keep them waiting for a second.
	loadDelay = 300 * time.Millisecond
	// moveThreshold is how many engines a model may deviate from its target before
	// one engine moves: a move costs a load, and targets change with each step.
	moveThreshold = 1.2
	// demandWindow is how long a planner waits for a step of each model before it
	// takes a model without demand as unused. Trainers submit a step every few seconds,
	// and one takes ten seconds at most.
	demandWindow = 15 * time.Second
)

type (
	// Engine is the known state of one engine.
	Engine struct {
		ID string
		// Versions maps each model to the version loaded.
		Versions map[string]int64
		// Loading is the model that it loads or was ordered to load, or empty.
		Loading string
		// Running counts its requests; the least loaded engines load first.
		Running int
		// Assigned is the model that the previous plan assigned, or empty.
		Assigned string
		// Unreachable is set if the engine can't be ordered to load now. A load that it was
		// ordered to make before may never begin.
		Unreachable bool
	}

	// State is the input of a plan.
	State struct {
		// Latest is the newest version of each model that any trainer uses.
		Latest map[string]int64
		// Demand is the work per model; 0 for all models shares engines equally.
		// ObservedFor is how long demand has been observed.
		Demand      map[string]float64
		ObservedFor time.Duration
		// VersionAge is the time since each version was announced.
		VersionAge map[string]time.Duration
		// MaxLag is how many versions behind the newest a sample may be.
		MaxLag  int64
		Engines []Engine
	}

	// Load is one load to start.
	Load struct {
		Engine string
		Model  string
	}

	// Plan is what to do now.
	Plan struct {
		// Assigned maps each engine to its model.
		Assigned map[string]string
		Loads    []Load
	}
)

// New returns the plan for a state.
//
//	p := wplan.New(state)
//	for _, l := range p.Loads {
//		order(l.Engine, l.Model)
//	}
func New(s State) Plan {
	p := Plan{Assigned: s.assign()}
	free := max(minLoadingEngines, int(maxLoadingShare*float64(len(s.Engines))))
	for _, e := range s.Engines {
		if e.Loading != "" && !e.Unreachable {
			free--
		}
	}
	for _, c := range s.candidates(p.Assigned) {
		if free <= 0 {
			break
		}
		p.Loads = append(p.Loads, Load{Engine: c.engine.ID, Model: c.model})
		free--
	}
	return p
}

// candidate is an engine that may load its model now.
type candidate struct {
	engine Engine
	model  string
	// required is set if the engine is too old for the newest step.
	required bool
	// prefetch is set if the engine is idle and would load ahead of need.
	prefetch bool
	// fitShare is the fraction of the model's engines that are fit for its newest step.
	fitShare float64
}

// candidates returns the loads that are useful, most urgent first. Among equal
// ones, the model with the smallest share of fit engines comes first.
func (s State) candidates(assigned map[string]string) []candidate {
	var all []candidate
	for _, model := range slices.Sorted(maps.Keys(s.Latest)) {
		all = append(all, s.modelCandidates(model, assigned)...)
	}
	slices.SortStableFunc(all, func(a, b candidate) int {
		return cmp.Or(
			-cmp.Compare(boolToInt(a.required), boolToInt(b.required)),
			cmp.Compare(boolToInt(a.prefetch), boolToInt(b.prefetch)),
			cmp.Compare(a.fitShare, b.fitShare),
			cmp.Compare(a.engine.Running, b.engine.Running),
			cmp.Compare(a.engine.ID, b.engine.ID))
	})
	return all
}

func (s State) modelCandidates(model string, assigned map[string]string) []candidate {
	newest := s.Latest[model]
	var required, optional []Engine
	assignedCount, upToDate := 0, 0
	for _, e := range s.Engines {
		if assigned[e.ID] != model {
			continue
		}
		assignedCount++
		switch behind := newest - e.Versions[model]; {
		case behind <= 0 || (e.Loading == model && !e.Unreachable):
			upToDate++
		case e.Loading != "" || e.Unreachable:
		case behind > s.MaxLag:
			required = append(required, e)
		default:
			optional = append(optional, e)
		}
	}
	var out []candidate
	if s.VersionAge[model] < loadDelay {
		optional = nil
	}
	fitShare := float64(assignedCount-len(required)) / float64(max(1, assignedCount))
	for _, e := range required {
		out = append(out, candidate{engine: e, model: model, required: true, fitShare: fitShare})
	}
	// Without this share all engines that are one version behind would have to
	// load at the next version, at once.
	maxUpToDate := (assignedCount + int(s.MaxLag)) / int(s.MaxLag+1)
	slices.SortFunc(optional, func(a, b Engine) int {
		return cmp.Or(cmp.Compare(a.Versions[model], b.Versions[model]), cmp.Compare(a.Running, b.Running), cmp.Compare(a.ID, b.ID))
	})
	n := max(0, min(len(optional), maxUpToDate-upToDate-len(required)))
	for _, e := range optional[:n] {
		out = append(out, candidate{engine: e, model: model, fitShare: fitShare})
	}
	// After an outage steps follow each other faster than usual; engines that
	// loaded while idle are fit for the second of them.
	for _, e := range optional[n:] {
		if e.Running == 0 {
			out = append(out, candidate{engine: e, model: model, fitShare: fitShare, prefetch: true})
		}
	}
	return out
}

// assign assigns each engine to one model by demand, moving as few as possible.
func (s State) assign() map[string]string {
	models := slices.Sorted(maps.Keys(s.Latest))
	assigned := make(map[string]string, len(s.Engines))
	if len(models) == 0 {
		return assigned
	}
	target := s.targets(models)
	count := make(map[string]float64)
	var unassigned []Engine
	for _, e := range s.Engines {
		if _, ok := s.Latest[e.Assigned]; ok {
			assigned[e.ID] = e.Assigned
			count[e.Assigned]++
		} else {
			unassigned = append(unassigned, e)
		}
	}
	for _, e := range unassigned {
		m := s.pickModel(e, models, target, count)
		assigned[e.ID] = m
		count[m]++
	}
	if s.demandKnown(models) {
		s.rebalance(models, assigned, target, count)
	}
	return assigned
}

// demandKnown reports whether targets can be computed. A planner that has just started
// knows the engines and the announced versions at once, but the demand of a model only
// with its next step. Without this check it would take engines from models it hasn't
// heard of yet, at the cost of a load each, and give them back a second later for
// another. Until then each model keeps its engines.
func (s State) demandKnown(models []string) bool {
	if s.ObservedFor >= demandWindow {
		return true
	}
	for _, m := range models {
		if s.Demand[m] <= 0 {
			return false
		}
	}
	return true
}

// pickModel returns the model that an unassigned engine is fit for, or otherwise the
// one furthest below its target.
func (s State) pickModel(e Engine, models []string, target, count map[string]float64) string {
	best, bestScore := "", math.Inf(-1)
	for _, m := range models {
		score := target[m] - count[m]
		if s.Latest[m]-e.Versions[m] > s.MaxLag {
			// A planner on another instance had assigned it to another model.
			score -= float64(len(s.Engines))
		}
		if score > bestScore {
			best, bestScore = m, score
		}
	}
	return best
}

// rebalance moves one engine from the model furthest above its target to the one
// furthest below.
func (s State) rebalance(models []string, assigned map[string]string, target, count map[string]float64) {
	over, under := models[0], models[0]
	for _, m := range models {
		if count[m]-target[m] > count[over]-target[over] {
			over = m
		}
		if count[m]-target[m] < count[under]-target[under] {
			under = m
		}
	}
	if count[over]-target[over] < moveThreshold && target[under]-count[under] < moveThreshold {
		return
	}
	if over == under || count[over] <= 1 {
		return
	}
	var moved *Engine
	for i := range s.Engines {
		e := &s.Engines[i]
		if assigned[e.ID] != over || e.Loading != "" {
			continue
		}
		if moved == nil || e.Versions[under] > moved.Versions[under] ||
			(e.Versions[under] == moved.Versions[under] && e.Running < moved.Running) {
			moved = e
		}
	}
	if moved != nil {
		assigned[moved.ID] = under
	}
}

// targets returns the engines due to each model: by demand, or equal shares until
// demand is known.
func (s State) targets(models []string) map[string]float64 {
	total := 0.0
	for _, m := range models {
		total += s.Demand[m]
	}
	target := make(map[string]float64, len(models))
	for _, m := range models {
		share := 1 / float64(len(models))
		if total > 0 && s.demandKnown(models) {
			share = s.Demand[m] / total
		}
		target[m] = share * float64(len(s.Engines))
	}
	return target
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}
