// Package insts defines the entries of the platform's instance list.
package insts

const (
	// RoleEntry marks an entry instance.
	RoleEntry = "entry"
	// RoleEndpoint marks an endpoint instance, which has a sidecar.
	RoleEndpoint = "endpoint"
	// StateLive marks an instance that serves requests.
	StateLive = "live"
	// StateLeaving marks an instance that is about to shut down.
	StateLeaving = "leaving"
)

// Instance is one entry of the platform's instance list. The list lags: it may
// contain instances that are gone and lack ones that serve, so it only hints at
// which instances to contact and is not authoritative.
type Instance struct {
	// ID is unique and never reused: a replaced instance gets a new one.
	ID string `json:"id"`
	// Role is RoleEntry or RoleEndpoint.
	Role string `json:"role"`
	// Service is the service of an endpoint instance, such as "filing-lm".
	Service string `json:"service,omitempty"`
	// DataCentre is the instance's data centre.
	DataCentre string `json:"dataCentre"`
	// Region is a set of data centres within a few milliseconds of each other.
	Region string `json:"region"`
	// Address is the IP address and port of the system's process on the instance.
	Address string `json:"address"`
	// State is StateLive or StateLeaving.
	State string `json:"state"`
}
