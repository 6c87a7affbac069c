// Package engst defines the state that a model engine reports.
package engst

import "slices"

type (
	// State is the reported state of an engine.
	State struct {
		// Fence is the greatest fencing token that the engine has accepted; 0 from an
		// engine that ignores fencing tokens.
		Fence int64 `json:"fence"`
		// Epoch is incremented when a change of any weights in use begins and again when
		// it has completed. It is odd while a change is in progress.
		Epoch int64 `json:"epoch"`
		// Role is the kind of work that the engine prefers: "live" or "rollout".
		Role string `json:"role"`
		// Slots is the maximum number of concurrent streams.
		Slots int `json:"slots"`
		// Running and Waiting count streams; both lag.
		Running int `json:"running"`
		Waiting int `json:"waiting"`
		// Models is sorted by name.
		Models []model `json:"models"`
	}

	// model is one model or adapter in the engine.
	model struct {
		// Model names it.
		Model string `json:"model"`
		// Version is the version in use; empty while a switch is in progress and after a
		// failed one.
		Version string `json:"version"`
		// Staged lists the versions that are in memory and can be switched to.
		Staged []string `json:"staged"`
	}
)

// Version returns the version in use of the named model, or "" if there is none or
// the engine does not know it.
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

// Staged reports whether version of the named model is in memory, whether in use or
// not.
func (s State) Staged(name, version string) bool {
	for _, m := range s.Models {
		if m.Model == name {
			return m.Version == version || slices.Contains(m.Staged, version)
		}
	}
	return false
}
