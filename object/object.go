// Package object holds the envelope that every configuration resource has.
package object

import (
	"encoding/json"
	"regexp"
	"slices"
	"time"

	"github.com/lavendermux/lavendermux/fault"
)

const (
	// APIVersion is the version of the resource API that this program speaks.
	APIVersion = "lavendermux/v1"
	// KindPool is the kind whose spec is a pool.Pool.
	KindPool = "pool"
	// KindSubscription is the kind whose spec is a subscr.Subscription.
	KindSubscription = "subscription"
	// KindService is the kind whose spec is a servce.Service.
	KindService = "service"
	// KindPolicy is the kind whose spec is a policy.Policy.
	KindPolicy = "policy"
	// MaxEarlier is how many changes before the last one are remembered. More
	// than that within the seconds in which a lost answer is asked for again
	// would be a fleet of writers on one resource.
	MaxEarlier = 16
	// KindHome is the kind whose spec is a homes.Homes. The system writes it, not
	// operators, so it is not among Kinds.
	KindHome = "home"
	// KeyPrefix is where resources stand in the key-value service.
	KeyPrefix = "resources/"
)

var (
	// Kinds are all kinds of resources, in the order in which they depend on
	// each other.
	Kinds = []string{KindPool, KindService, KindSubscription, KindPolicy}

	nameForm      = regexp.MustCompile(`^[a-z0-9]([a-z0-9.-]{0,61}[a-z0-9])?$`)
	operationForm = regexp.MustCompile(`^[A-Za-z0-9._:-]{1,128}$`)
)

// Object is one configuration resource.
type Object struct {
	// APIVersion is the constant APIVersion.
	APIVersion string `json:"apiVersion"`
	// Kind is one of Kinds.
	Kind string `json:"kind"`
	// Name is unique within the kind: up to 63 lower-case letters, digits, dots
	// and dashes.
	Name string `json:"name"`
	// Revision is the key-value service's revision at which the resource was
	// last written. In a change it is the revision that is to be replaced; 0
	// creates. It is absent from the stored form, since only the write makes it.
	Revision int64 `json:"revision,omitempty"`
	// Operation identifies the change that wrote the resource, so that a writer
	// whose answer was lost can tell its own write from another's.
	Operation string `json:"operation,omitempty"`
	// Spec is the JSON of the kind's own type; absent from a deleted resource.
	Spec json.RawMessage `json:"spec,omitempty"`
	// Deleted marks the stored form of a resource that was deleted. The key
	// stays for a while: if it went, a copy of an old change that arrives late
	// would find the key absent, as at its own time, and create the resource
	// again.
	Deleted bool `json:"deleted,omitempty"`
	// ChangedAt is the time of the last change by the clock of the entry that
	// made it, for people only.
	ChangedAt time.Time `json:"changedAt,omitzero"`
	// Earlier are the identities of the changes before Operation, newest first,
	// up to MaxEarlier, so that a writer whose answer was lost recognizes its
	// change even after others have followed. Stored only.
	Earlier []string `json:"earlier,omitempty"`
}

// Validate returns a *fault.FieldsError that names all fields of the envelope
// which break their invariant; the spec is for package kinds.
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
	bad.Check(nameForm.MatchString(o.Name), "name",
		"is up to 63 lower-case letters, digits, dots and dashes, and begins and ends with a letter or digit")
	bad.Check(o.Revision >= 0, "revision", "is negative; write 0 to create")
	bad.Check(o.Operation == "" || operationForm.MatchString(o.Operation), "operation",
		"is up to 128 letters, digits, dots, dashes, colons and underscores")
	bad.Check(len(o.Spec) > 0, "spec", "is missing")
	return bad.Err()
}

// Carries reports whether the change named operation has been made, now or
// earlier.
func (o Object) Carries(operation string) bool {
	return operation != "" && (o.Operation == operation || slices.Contains(o.Earlier, operation))
}

// Follow returns next as the stored form of the change after o.
func (o Object) Follow(next Object) Object {
	next.Earlier = nil
	if o.Operation != "" {
		next.Earlier = append([]string{o.Operation}, o.Earlier...)
	}
	next.Earlier = next.Earlier[:min(len(next.Earlier), MaxEarlier)]
	next.Revision = 0
	return next
}

// Public returns what operators see of o.
func (o Object) Public() Object {
	o.Earlier = nil
	return o
}

// Key returns where the resource stands in the key-value service.
func Key(kind, name string) string {
	return KeyPrefix + kind + "/" + name
}
