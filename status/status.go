// Package status holds what an operator sees of a resource's way into force.
package status

import (
	"github.com/lavendermux/lavendermux/condit"
	"github.com/lavendermux/lavendermux/spread"
)

// Status says at which revision a resource was accepted, where it is in force
// and what stands against it.
type Status struct {
	// Kind of the resource.
	Kind string `json:"kind"`
	// Name of the resource.
	Name string `json:"name"`
	// AcceptedRevision is the resource's revision; that of the deletion when it
	// was deleted.
	AcceptedRevision int64 `json:"acceptedRevision"`
	// Operation is the change that was accepted last.
	Operation string `json:"operation,omitempty"`
	// Deleted is true when that change was a deletion.
	Deleted bool `json:"deleted,omitempty"`
	// Source says where AcceptedRevision was read: "keyValue", or "local" when
	// the key-value service gave no answer.
	Source string `json:"source"`
	// InForce counts the instances whose configuration has reached
	// AcceptedRevision.
	InForce spread.Report `json:"inForce"`
	// Conditions are what stands against the resource; empty when nothing does.
	Conditions []condit.Condition `json:"conditions"`
}
