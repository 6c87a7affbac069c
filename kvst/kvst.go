// Package kvst is the metadata store as the product sees it: keys with revisions,
// conditional writes over several keys, and watches.
package kvst

import (
	"context"
	"fmt"
	"time"
)

type (
	// Store is the metadata store. Its errors are *ConflictError,
	// *RefusedError and *UnknownError; any other error means that nothing was
	// sent.
	Store interface {
		// Get returns the item of key; an absent key has revision 0.
		Get(ctx context.Context, key string) (Item, error)
		// List returns the items below prefix and a revision to watch from.
		List(ctx context.Context, prefix string) ([]Item, int64, error)
		// Watch waits for changes below prefix after a revision.
		Watch(ctx context.Context, prefix string, after int64, wait time.Duration) (Changes, error)
		// Commit does all of a transaction or nothing and returns its revision.
		Commit(ctx context.Context, t Txn) (int64, error)
	}

	// Item is a key with its value.
	Item struct {
		Key   string `json:"key"`
		Value []byte `json:"value"`
		// Revision is the item's last change; 0 means that there is none.
		Revision int64 `json:"revision"`
		// Deleted marks an event of a watch that removed the key.
		Deleted bool `json:"deleted,omitempty"`
	}

	// Changes is what a watch returned.
	Changes struct {
		Items []Item `json:"items"`
		// Revision is where the next watch goes on.
		Revision int64 `json:"revision"`
	}

	// Txn is a conditional write.
	Txn struct {
		// Expect has the revision that each key must have; 0 is absent.
		Expect map[string]int64 `json:"expect,omitempty"`
		Puts   []Put            `json:"puts,omitempty"`
		Remove []string         `json:"remove,omitempty"`
	}

	// Put is one key of a transaction.
	Put struct {
		Key   string `json:"key"`
		Value []byte `json:"value"`
	}

	// ConflictError says that a condition did not hold; nothing was written.
	ConflictError struct {
		// Now has the expected keys as they are.
		Now []Item
	}

	// RefusedError says that the store did nothing.
	RefusedError struct {
		Status int
	}

	// UnknownError says that a call got no answer. A write may have taken
	// effect, or may take effect later if its condition still holds then.
	UnknownError struct {
		Cause error
	}

	// GapError says that the history of a watch is gone: list anew.
	GapError struct {
		After int64
	}
)

// Error names the keys that had changed.
func (e *ConflictError) Error() string {
	if len(e.Now) == 0 {
		return "store: a condition does not hold"
	}
	return fmt.Sprintf("store: a condition does not hold: %s is at revision %d", e.Now[0].Key, e.Now[0].Revision)
}

// Error names the status of the store's answer.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("store: refused with status %d", e.Status)
}

// Error names the cause.
func (e *UnknownError) Error() string {
	return fmt.Sprintf("store: no answer: %v", e.Cause)
}

// Unwrap returns the cause.
func (e *UnknownError) Unwrap() error { return e.Cause }

// Error names the revision that is gone.
func (e *GapError) Error() string {
	return fmt.Sprintf("store: the changes after revision %d are gone", e.After)
}
