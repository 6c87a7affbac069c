// Package homing chooses which of the engines that are fit for a model's work take it.
//
// The load it answers: several trainers' steps come in the same moment, each is held by
// another instance, and each holder knows its own runs only. Engines that have fresh
// weights of several models, as new ones and those that changed their model have, look
// idle to all holders at once. Each gives such an engine as many runs as it has slots; two
// thirds of them wait in the engine's queue, are taken for silent after 1.2 s, and start
// anew elsewhere, most of a step's slack later. The planner of loads has a model in mind
// for each engine; work of other models leaves that engine alone while there is any other
// one that is fit.
//
// The package has no network and no clock.
package homing

import "slices"

// Choose returns the engines that are meant for a model, or for none that is known. If
// there are none of these it returns all: work that waits would gain nothing.
//
//	engines = homing.Choose(engines, "draft", func(v wset.View) string { return v.Home })
func Choose[E any](engines []E, model string, home func(E) string) []E {
	isOther := func(e E) bool { return home(e) != "" && home(e) != model }
	if !slices.ContainsFunc(engines, func(e E) bool { return !isOther(e) }) {
		return engines
	}
	return slices.DeleteFunc(slices.Clone(engines), isOther)
}
