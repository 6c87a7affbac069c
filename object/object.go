// Package object defines the envelope of configuration resources.
package object

import (
	"encoding/json"
	"regexp"
	"slices"
	"time"

	"github.com/lavendermux/lavendermux/fault"
)

const (
	// APIVersion is the version of the resource API that this program supports.
	APIVersion = "lavendermux/v1"
	// KindPool is the kind whose spec is a pool.Pool.
	KindPool = "pool"
	// KindSubscription is the kind whose spec is a subscr.Subscription.
	KindSubscription = "subscription"
	// KindService is the kind whose spec is a servce.Service.
	KindService = "service"
	// KindPolicy is the kind whose spec is a policy.Policy.
	KindPolicy = "policy"
	// MaxPriorOperations bounds the operations that are remembered besides the last one. More
	// than that within the seconds in which a writer retries after a lost response
	// would require many concurrent writers of one resource.
	MaxPriorOperations = 16
	// KindKeyOwners is the kind whose spec is a keyown.Owners. It is written by the system and
	// not by operators, so it is not among Kinds.
	KindKeyOwners = "home"
	// KeyPrefix is the prefix of the resources' keys in the metadata store.
	KeyPrefix = "resources/"
)

var (
	// Kinds lists the kinds of resources that operators write, each after the kinds
	// that it refers to.
	Kinds = []string{KindPool, KindService, KindSubscription, KindPolicy}

	namePattern      = regexp.MustCompile(`^[a-z0-9]([a-z0-9.-]{0,61}[a-z0-9])?$`)
	operationPattern = regexp.MustCompile(`^[A-Za-z0-9._:-]{1,128}$`)
)

// Object is one configuration resource.
type Object struct {
	// APIVersion is the constant APIVersion.
	APIVersion string `json:"apiVersion"`
	// Kind is one of Kinds, or KindKeyOwners.
	Kind string `json:"kind"`
	// Name is unique within the kind: up to 63 lower-case letters, digits, dots
	// and dashes.
	Name string `json:"name"`
	// Revision is the metadata store's revision at which the resource was last
	// written. In a change it is the revision to replace, or 0 to create. It is not
	// stored in the value, since it is only known after the write.
	Revision int64 `json:"revision,omitempty"`
	// Operation identifies the change that wrote the resource, so that a writer that
	// lost the response can distinguish its own write from another's.
	Operation string `json:"operation,omitempty"`
	// Spec is the JSON encoding of the kind's own type; absent if deleted.
	Spec json.RawMessage `json:"spec,omitempty"`
	// Deleted marks the tombstone of a deleted resource. The key is kept for a while:
	// without it a delayed duplicate of the change that created the resource would find
	// the key absent, as it expects, and create the resource again.
	Deleted bool `json:"deleted,omitempty"`
	// ChangedAt is the time of the last change by the clock of the entry that made it.
	// It is informational.
	ChangedAt time.Time `json:"changedAt,omitzero"`
	// PriorOperations lists the operations before Operation, newest first, up to
	// MaxPriorOperations, so that a writer that lost the response recognizes its change
	// even after later ones. It occurs in the stored form only.
	PriorOperations []string `json:"earlier,omitempty"`
}

// Validate returns a *fault.FieldsError that lists all invalid fields of the envelope.
// The spec is validated by package schema.
//
//	o := object.Object{APIVersion: object.APIVersion, Kind: object.KindPool, Name: "filing-lm"}
//	err := o.Validate()
func (o Object) Validate() error {
	var bad fault.FieldsError
	if o.APIVersion != APIVersion {
		bad.Addf("apiVersion", "is %q; this program speaks %q", o.APIVersion, APIVersion)
	}
	if !slices.Contains(Kinds, o.Kind) {
		bad.Addf("kind", "is %q; there are %q", o.Kind, Kinds)
	}
	bad.Check(namePattern.MatchString(o.Name), "name",
		"is up to 63 lower-case letters, digits, dots and dashes, and begins and ends with a letter or digit")
	bad.Check(o.Revision >= 0, "revision", "is negative; write 0 to create")
	bad.Check(o.Operation == "" || operationPattern.MatchString(o.Operation), "operation",
		"is up to 128 letters, digits, dots, dashes, colons and underscores")
	bad.Check(len(o.Spec) > 0, "spec", "is missing")
	return bad.Err()
}

// HasOperation reports whether o results from the operation, directly or through later ones.
func (o Object) HasOperation(operation string) bool {
	return operation != "" && (o.Operation == operation || slices.Contains(o.PriorOperations, operation))
}

// Successor returns the stored form of next as the change that replaces o.
func (o Object) Successor(next Object) Object {
	next.PriorOperations = nil
	if o.Operation != "" {
		next.PriorOperations = append([]string{o.Operation}, o.PriorOperations...)
	}
	next.PriorOperations = next.PriorOperations[:min(len(next.PriorOperations), MaxPriorOperations)]
	next.Revision = 0
	return next
}

// Public returns the form of o that operators see, without PriorOperations.
func (o Object) Public() Object {
	o.PriorOperations = nil
	return o
}

// Key returns the resource's key in the metadata store.
func Key(kind, name string) string {
	return KeyPrefix + kind + "/" + name
}
