// Package engst holds what a model engine says of itself.
package engst

import "slices"

type (
	// State is an engine's answer about what it holds and does.
	State struct {
		// Fence is the greatest fencing number that the engine has taken; 0 from
		// an engine that ignores them.
		Fence int64 `json:"fence"`
		// Epoch grows by one when any weights in use begin to change and by one
		// when they have changed; an odd number means that a change is under way.
		Epoch int64 `json:"epoch"`
		// Role is what the engine serves first: "live" or "rollout".
		Role string `json:"role"`
		// Slots is how many streams it runs at a time.
		Slots int `json:"slots"`
		// Running and Waiting are streams; both lag.
		Running int `json:"running"`
		Waiting int `json:"waiting"`
		// Models is sorted by name.
		Models []model `json:"models"`
	}

	// model is one model or adapter in the engine.
	model struct {
		// Model names it.
		Model string `json:"model"`
		// Version is in use; empty while a switch is under way or has failed.
		Version string `json:"version"`
		// Staged versions are in memory and can be switched to.
		Staged []string `json:"staged"`
	}
)

// Version returns the version of model in use, or "" when there is none or the
// engine itself does not know.
func (s State) Version(name string) string {
	for _, m := range s.Models {
		if m.Model == name {
			return m.Version
		}
	}
	return ""
}

// Add appends a model to the state.
func (s *State) Add(name, version string, staged []string) {
	s.Models = append(s.Models, model{Model: name, Version: version, Staged: staged})
}

// Staged says whether version of model is in memory, in use or not.
func (s State) Staged(name, version string) bool {
	for _, m := range s.Models {
		if m.Model == name {
			return m.Version == version || slices.Contains(m.Staged, version)
		}
	}
	return false
}
