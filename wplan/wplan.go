// Package wplan decides which engines load a new version of a model's weights,
// and when.
//
// The load it answers: several trainers share the engines, each names a version
// every few seconds and accepts samples that are one version old. Loads are slow
// and share one road: beyond a few at once each takes longer, and all of them
// together no less. If every engine loaded every version, more loads would be
// asked for than can be made, and each step would wait for engines that are fit
// for it. So each model has engines of its own, by demand; they load every second
// version, half of them at each; and only as many load at once as load fast.
//
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
	// atOnceShare and atOnceLeast say how many engines load at once: a fifth of
	// them. The users' four deployments load 2 of 11, 2 of 9, 10 of 49 and 9 of
	// 46 at full speed.
	atOnceShare = 0.2
	atOnceLeast = 2
	// fillTime is how long engines that are fit for the newest step are left alone
	// after its version was named. The step's items arrive within a round trip;
	// an engine that has taken some goes on with them while it loads, and one that
	// loads first would keep them waiting for a second.
	fillTime = 300 * time.Millisecond
	// slack is how far a model's engines may be from its share before one moves:
	// a move costs a load, and shares change with each step.
	slack = 1.2
	// demandSeen is how long a planner waits for a step of each model before it takes a
	// model without one for unused: trainers hand in a step every few seconds, and one
	// takes ten at most.
	demandSeen = 15 * time.Second
)

type (
	// Engine is what is known about one engine.
	Engine struct {
		ID string
		// Versions has the version of each model.
		Versions map[string]int64
		// Loading is the model that it loads or was told to load, or empty.
		Loading string
		// Running is how many requests it has; the idlest engines load first.
		Running int
		// Home is the model that it was given before, or empty.
		Home string
	}

	// State is what a plan is made from.
	State struct {
		// Named has the newest version of each model that any trainer uses.
		Named map[string]int64
		// Demand is the work that each model has; 0 everywhere shares equally. Watched
		// is for how long it was watched.
		Demand  map[string]float64
		Watched time.Duration
		// Age is the time since each version was named.
		Age map[string]time.Duration
		// Lag is how many versions old samples may be.
		Lag     int64
		Engines []Engine
	}

	// Load is one load to begin.
	Load struct {
		Engine string
		Model  string
	}

	// Plan is what to do now.
	Plan struct {
		// Home has the model of each engine.
		Home  map[string]string
		Loads []Load
	}
)

// New returns the plan for a state.
//
//	p := wplan.New(state)
//	for _, l := range p.Loads {
//		order(l.Engine, l.Model)
//	}
func New(s State) Plan {
	p := Plan{Home: s.homes()}
	room := max(atOnceLeast, int(atOnceShare*float64(len(s.Engines))))
	for _, e := range s.Engines {
		if e.Loading != "" {
			room--
		}
	}
	for _, c := range s.due(p.Home) {
		if room <= 0 {
			break
		}
		p.Loads = append(p.Loads, Load{Engine: c.engine.ID, Model: c.model})
		room--
	}
	return p
}

// candidate is an engine that may load its model.
type candidate struct {
	engine Engine
	model  string
	// forced engines are too old for the newest step.
	forced bool
	// idle engines would load ahead of need.
	idle bool
	// fit is the share of the model's engines that are fit for its newest step.
	fit float64
}

// due returns the loads that are wanted, the most urgent first: those of the
// model that has fewest engines fit for its newest step.
func (s State) due(home map[string]string) []candidate {
	var all []candidate
	for _, model := range slices.Sorted(maps.Keys(s.Named)) {
		all = append(all, s.dueOf(model, home)...)
	}
	slices.SortStableFunc(all, func(a, b candidate) int {
		return cmp.Or(
			-cmp.Compare(number(a.forced), number(b.forced)),
			cmp.Compare(number(a.idle), number(b.idle)),
			cmp.Compare(a.fit, b.fit),
			cmp.Compare(a.engine.Running, b.engine.Running),
			cmp.Compare(a.engine.ID, b.engine.ID))
	})
	return all
}

func (s State) dueOf(model string, home map[string]string) []candidate {
	named := s.Named[model]
	var forced, willing []Engine
	mine, fresh := 0, 0
	for _, e := range s.Engines {
		if home[e.ID] != model {
			continue
		}
		mine++
		switch behind := named - e.Versions[model]; {
		case behind <= 0 || e.Loading == model:
			fresh++
		case e.Loading != "":
		case behind > s.Lag:
			forced = append(forced, e)
		default:
			willing = append(willing, e)
		}
	}
	var out []candidate
	if s.Age[model] < fillTime {
		willing = nil
	}
	fit := float64(mine-len(forced)) / float64(max(1, mine))
	for _, e := range forced {
		out = append(out, candidate{engine: e, model: model, forced: true, fit: fit})
	}
	// Without this share those that are one version behind would all have to
	// load at the next version, at once.
	share := (mine + int(s.Lag)) / int(s.Lag+1)
	slices.SortFunc(willing, func(a, b Engine) int {
		return cmp.Or(cmp.Compare(a.Versions[model], b.Versions[model]), cmp.Compare(a.Running, b.Running), cmp.Compare(a.ID, b.ID))
	})
	n := max(0, min(len(willing), share-fresh-len(forced)))
	for _, e := range willing[:n] {
		out = append(out, candidate{engine: e, model: model, fit: fit})
	}
	// When steps follow each other faster than usual, after an outage, engines
	// that used an idle moment to load are fit for the second of them.
	for _, e := range willing[n:] {
		if e.Running == 0 {
			out = append(out, candidate{engine: e, model: model, fit: fit, idle: true})
		}
	}
	return out
}

// homes gives each engine to one model, by demand, and moves as few as it can.
func (s State) homes() map[string]string {
	models := slices.Sorted(maps.Keys(s.Named))
	home := make(map[string]string, len(s.Engines))
	if len(models) == 0 {
		return home
	}
	target := s.targets(models)
	count := make(map[string]float64)
	var open []Engine
	for _, e := range s.Engines {
		if _, ok := s.Named[e.Home]; ok {
			home[e.ID] = e.Home
			count[e.Home]++
		} else {
			open = append(open, e)
		}
	}
	for _, e := range open {
		m := s.choose(e, models, target, count)
		home[e.ID] = m
		count[m]++
	}
	if s.demandKnown(models) {
		s.move(models, home, target, count)
	}
	return home
}

// demandKnown reports whether shares can be told. A planner that has just started knows
// the engines and the named versions at once, and the demand of a model only with its next
// step; it would take engines from models that it hasn't heard of yet, for a load each, and
// give them back a second later for another. Until then each model keeps its engines.
func (s State) demandKnown(models []string) bool {
	if s.Watched >= demandSeen {
		return true
	}
	for _, m := range models {
		if s.Demand[m] <= 0 {
			return false
		}
	}
	return true
}

// choose gives an engine without a home to the model that it is fit for, and
// otherwise to the one that lacks most.
func (s State) choose(e Engine, models []string, target, count map[string]float64) string {
	best, bestScore := "", math.Inf(-1)
	for _, m := range models {
		score := target[m] - count[m]
		if s.Named[m]-e.Versions[m] > s.Lag {
			// Another instance planned before, and gave it another model.
			score -= float64(len(s.Engines))
		}
		if score > bestScore {
			best, bestScore = m, score
		}
	}
	return best
}

// move gives one engine of a model with too many to one with too few.
func (s State) move(models []string, home map[string]string, target, count map[string]float64) {
	rich, poor := models[0], models[0]
	for _, m := range models {
		if count[m]-target[m] > count[rich]-target[rich] {
			rich = m
		}
		if count[m]-target[m] < count[poor]-target[poor] {
			poor = m
		}
	}
	if count[rich]-target[rich] < slack && target[poor]-count[poor] < slack {
		return
	}
	if rich == poor || count[rich] <= 1 {
		return
	}
	var mover *Engine
	for i := range s.Engines {
		e := &s.Engines[i]
		if home[e.ID] != rich || e.Loading != "" {
			continue
		}
		if mover == nil || e.Versions[poor] > mover.Versions[poor] ||
			(e.Versions[poor] == mover.Versions[poor] && e.Running < mover.Running) {
			mover = e
		}
	}
	if mover != nil {
		home[mover.ID] = poor
	}
}

// targets shares the engines among models by demand, and alike while that isn't known.
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

func number(b bool) int {
	if b {
		return 1
	}
	return 0
}
