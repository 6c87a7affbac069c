// Package kvst defines the interface of the metadata store: keys with revisions,
// conditional writes over several keys, and watches.
package kvst

import (
	"context"
	"fmt"
	"time"
)

type (
	// Store is the metadata store. Its errors are *ConflictError, *RefusedError,
	// *UnknownOutcomeError and, of Watch, *CompactedError; any other error means that nothing was
	// sent.
	Store interface {
		// Get returns the item of key; an absent key has revision 0.
		Get(ctx context.Context, key string) (Item, error)
		// List returns the items below prefix and a revision to watch from.
		List(ctx context.Context, prefix string) ([]Item, int64, error)
		// Watch waits for changes below prefix after a revision.
		Watch(ctx context.Context, prefix string, after int64, wait time.Duration) (Changes, error)
		// Commit applies all of a transaction or nothing and returns its revision.
		Commit(ctx context.Context, t Txn) (int64, error)
	}

	// Lister lists as a Store does.
	Lister func(ctx context.Context, prefix string) ([]Item, int64, error)

	// Item is a key with its value.
	Item struct {
		Key   string `json:"key"`
		Value []byte `json:"value"`
		// Revision is the revision of the item's last change; 0 means that the key is
		// absent.
		Revision int64 `json:"revision"`
		// Deleted marks a watch event for a deleted key.
		Deleted bool `json:"deleted,omitempty"`
	}

	// Changes is the result of a watch.
	Changes struct {
		Items []Item `json:"items"`
		// Revision is the revision from which the next watch continues.
		Revision int64 `json:"revision"`
	}

	// Txn is a conditional write.
	Txn struct {
		// Expect has the revision that each key must have; 0 means absent.
		Expect map[string]int64 `json:"expect,omitempty"`
		Puts   []Put            `json:"puts,omitempty"`
		Remove []string         `json:"remove,omitempty"`
	}

	// Put is one key of a transaction.
	Put struct {
		Key   string `json:"key"`
		Value []byte `json:"value"`
	}

	// ConflictError reports that a condition did not hold; nothing was written.
	ConflictError struct {
		// Current has the current items of the expected keys.
		Current []Item
	}

	// RefusedError reports that the store refused the call and did nothing.
	RefusedError struct {
		Status int
	}

	// UnknownOutcomeError reports that a call got no answer. A write may have taken effect, or
	// may still take effect later if its condition holds then.
	UnknownOutcomeError struct {
		Cause error
	}

	// CompactedError reports that the history that a watch needs is gone: the caller must list
	// again.
	CompactedError struct {
		After int64
	}
)

// Error names a key whose revision does not match.
func (e *ConflictError) Error() string {
	if len(e.Current) == 0 {
		return "store: a condition does not hold"
	}
	return fmt.Sprintf("store: a condition does not hold: %s is at revision %d", e.Current[0].Key, e.Current[0].Revision)
}

// Error names the status of the store's answer.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("store: refused with status %d", e.Status)
}

// Error names the cause.
func (e *UnknownOutcomeError) Error() string {
	return fmt.Sprintf("store: no answer: %v", e.Cause)
}

// Unwrap returns the cause.
func (e *UnknownOutcomeError) Unwrap() error { return e.Cause }

// Error names the revision after which changes are gone.
func (e *CompactedError) Error() string {
	return fmt.Sprintf("store: the changes after revision %d are gone", e.After)
}
