// Package seal is what one copy of a submission's newest results accepts.
//
// While the metadata store is away, the one holder of a submission appends finished
// results to copies on several disks, and lists what enough of them have: one more than
// disks may be lost at once. A successor first takes the submission's epoch in the store,
// then seals all copies but as many as may be lost: from then on these refuse the old
// holder, which therefore can list nothing more, and one of them has everything that was
// listed. That is the one whose results are of the latest holder, and the longest of these.
//
// The package has no network, no disk and no clock.
package seal

import "fmt"

type (
	// Copy is one copy of the results at some positions of a submission. The zero value
	// is empty.
	Copy[T any] struct {
		// Epoch is the latest holder's that is known here; it only grows.
		Epoch int64 `json:"epoch"`
		// Of is the epoch of the holder that Results are of. It is older than Epoch where
		// a later holder has sealed the copy and not appended to it.
		Of int64 `json:"of"`
		// From is the position of the first of Results. The store has all before it.
		From    int `json:"from"`
		Results []T `json:"results"`
	}

	// FencedError says that a later holder is known.
	FencedError struct {
		Asked, Known int64
	}

	// GapError says that results before these are missing here.
	GapError struct {
		From, Next int
	}
)

// Error names both epochs.
func (e *FencedError) Error() string {
	return fmt.Sprintf("epoch %d is over, %d is known", e.Asked, e.Known)
}

// Error names both positions.
func (e *GapError) Error() string {
	return fmt.Sprintf("results from %d on came where %d was next", e.From, e.Next)
}

// Append adds the results of a holder from a position on, of which the store has kept
// so many, and reports whether anything changed. A repeated or late append changes
// nothing.
//
//	changed, err := c.Append(epoch, 40, 38, results)
func (c *Copy[T]) Append(epoch int64, from, kept int, results []T) (changed bool, err error) {
	next := c.From + len(c.Results)
	switch {
	case epoch < c.Epoch:
		return false, &FencedError{Asked: epoch, Known: c.Epoch}
	case epoch != c.Of, kept >= next:
		// What is here is another holder's: the store has what was listed of it, and the
		// rest never was. Or the store has all that is here.
		if from != kept {
			return false, &GapError{From: from, Next: kept}
		}
		*c = Copy[T]{Epoch: epoch, Of: epoch, From: from, Results: results}
		return true, nil
	case from > next:
		return false, &GapError{From: from, Next: next}
	case from+len(results) <= next:
		return false, nil
	}
	c.Results = append(c.Results, results[next-from:]...)
	return true, nil
}

// Seal has holders before an epoch refused from now on.
func (c *Copy[T]) Seal(epoch int64) error {
	if epoch < c.Epoch {
		return &FencedError{Asked: epoch, Known: c.Epoch}
	}
	c.Epoch = epoch
	return nil
}

// Drop forgets the results of a holder whose store has them all. The epoch stays: a holder
// of before that wakes up must be refused as long as anybody could read from it.
func (c *Copy[T]) Drop(epoch int64) error {
	if epoch < c.Epoch {
		return &FencedError{Asked: epoch, Known: c.Epoch}
	}
	*c = Copy[T]{Epoch: epoch}
	return nil
}

// After returns the results from a position on.
func (c *Copy[T]) After(position int) []T {
	i := position - c.From
	if i < 0 || i >= len(c.Results) {
		return nil
	}
	return c.Results[i:]
}
