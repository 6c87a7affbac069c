// Package record holds the one thing that the platform's key-value service
// stores.
package record

// Record is one key with its value.
type Record struct {
	// Key is slash-separated, without a leading slash.
	Key string `json:"key"`
	// Value is at most one megabyte.
	Value []byte `json:"value,omitempty"`
	// Revision is that of the key's last change. Revisions count all changes
	// of the whole service, so they only ever grow.
	Revision int64 `json:"revision"`
	// Created is the revision at which the key came to exist; it is what makes
	// a lease's key a source of fencing numbers.
	Created int64 `json:"created"`
	// Lease is the lease that the key dies with; 0 when it stays.
	Lease int64 `json:"lease,omitempty"`
	// Deleted marks a removal, in the answer of a watch.
	Deleted bool `json:"deleted,omitempty"`
}
