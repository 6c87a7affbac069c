// Package insts holds what the platform's instance list says of an instance.
package insts

const (
	// RoleEntry marks an entry instance.
	RoleEntry = "entry"
	// RoleEndpoint marks an endpoint instance, with the system's process beside it.
	RoleEndpoint = "endpoint"
	// StateLive marks an instance that serves.
	StateLive = "live"
	// StateLeaving marks an instance that is about to go.
	StateLeaving = "leaving"
)

// Instance is one line of the platform's instance list. The list lags: it may
// name instances that are gone and lack ones that serve, so it is a hint about
// whom to ask and never the truth about who answers.
type Instance struct {
	// ID is unique, also over time: a replaced instance gets a new one.
	ID string `json:"id"`
	// Role is RoleEntry or RoleEndpoint.
	Role string `json:"role"`
	// Service is what an endpoint instance serves, such as "filing-lm".
	Service string `json:"service,omitempty"`
	// DataCentre is where it stands.
	DataCentre string `json:"dataCentre"`
	// Region is a set of data centres a few milliseconds apart.
	Region string `json:"region"`
	// Address is the IP number and port of the system's process there.
	Address string `json:"address"`
	// State is StateLive or StateLeaving.
	State string `json:"state"`
}
