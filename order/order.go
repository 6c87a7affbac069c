// Package order defines the commands that a model engine accepts.
package order

const (
	// Stage loads a weight version into memory without using it.
	Stage = "stage"
	// Switch activates a staged version.
	Switch = "switch"
	// Unload unloads a version that is not active.
	Unload = "unload"
	// Role changes the role of the engine.
	Role = "role"

	// RoleLive is the role of an engine that serves only live work.
	RoleLive = "live"
	// RoleRollout is the role of an engine that serves rollouts, and live work in
	// the slots reserved for it.
	RoleRollout = "rollout"
)

// Order is a command to an engine.
type Order struct {
	// Fence is the sender's fencing token. An engine that checks it rejects tokens
	// lower than one it has seen.
	Fence int64 `json:"fence"`
	// Kind is Stage, Switch, Unload or Role.
	Kind string `json:"kind"`
	// Model and Version identify the weights to stage, activate or unload.
	Model   string `json:"model,omitempty"`
	Version string `json:"version,omitempty"`
	// Role is "live" or "rollout"; set only if Kind is Role.
	Role string `json:"role,omitempty"`
}
