// Package record defines the records of the metadata store, the platform's key-value
// service.
package record

// Record is a key with its value.
type Record struct {
	// Key is slash-separated, without a leading slash.
	Key string `json:"key"`
	// Value is at most one megabyte.
	Value []byte `json:"value,omitempty"`
	// Revision is the revision of the key's last change. Revisions count all changes in
	// the store, so they only increase.
	Revision int64 `json:"revision"`
	// Created is the revision at which the key was created. For a key with a lease it
	// serves as a fencing token.
	Created int64 `json:"created"`
	// Lease is the lease with which the key is removed; 0 for none.
	Lease int64 `json:"lease,omitempty"`
	// Deleted marks a removal in the response to a watch.
	Deleted bool `json:"deleted,omitempty"`
}
