// Package wplan decides which engines load a new version of a model's weights.
//
// The load it answers: a trainer names a version every few seconds and accepts
// samples that are one version old. If every engine loaded every version, all of
// them would stand still at each step's start, together, just when the step's
// items arrive, and twice as many loads would be made as are needed. So engines
// load every second version, half of them at each: at any time all engines are
// fit for the newest step but those that are loading.
//
// The package has no clock and no network.
package wplan

import (
	"cmp"
	"slices"
)

type (
	// Engine is what is known about one engine and one model.
	Engine struct {
		ID string
		// Version is the version that it has, or is just loading.
		Version int64
		// Running is how many requests it has; the idlest engines load first.
		Running int
	}

	// Plan has the ids of the engines that should load a version.
	Plan []string
)

// New returns the engines that should load the named version, when samples may
// be lag versions old. Those that would otherwise be too old come first.
//
//	for _, id := range wplan.New(7, 1, engines) {
//		load(id, 7)
//	}
func New(named, lag int64, engines []Engine) Plan {
	var plan Plan
	var willing []Engine
	fresh := 0
	for _, e := range engines {
		switch {
		case e.Version >= named:
			fresh++
		case named-e.Version > lag:
			plan = append(plan, e.ID)
			fresh++
		default:
			willing = append(willing, e)
		}
	}
	// Without this share those that are one version behind would all load at the
	// next version, at once.
	share := (len(engines) + int(lag)) / int(lag+1)
	slices.SortFunc(willing, func(a, b Engine) int {
		return cmp.Or(cmp.Compare(a.Version, b.Version), cmp.Compare(a.Running, b.Running), cmp.Compare(a.ID, b.ID))
	})
	for _, e := range willing[:max(0, min(len(willing), share-fresh))] {
		plan = append(plan, e.ID)
	}
	return plan
}
