// Package status defines the status of a resource that operators see.
package status

import (
	"github.com/lavendermux/lavendermux/condit"
	"github.com/lavendermux/lavendermux/spread"
)

// Status says at which revision a resource was accepted, on how many instances it is
// applied, and which problems it has.
type Status struct {
	// Kind is the kind of the resource.
	Kind string `json:"kind"`
	// Name is the name of the resource.
	Name string `json:"name"`
	// AcceptedRevision is the resource's revision, or that of its deletion.
	AcceptedRevision int64 `json:"acceptedRevision"`
	// Operation identifies the last accepted change.
	Operation string `json:"operation,omitempty"`
	// Deleted is true if that change was a deletion.
	Deleted bool `json:"deleted,omitempty"`
	// Source says where AcceptedRevision was read: "keyValue", or "local" if the
	// metadata store did not respond.
	Source string `json:"source"`
	// Propagation is the propagation of AcceptedRevision to the instances.
	Propagation spread.Report `json:"inForce"`
	// Conditions lists the problems of the resource; empty if there are none.
	Conditions []condit.Condition `json:"conditions"`
}
