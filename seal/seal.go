// Package seal implements the state of one replica of a log with fencing, which has a
// batch's newest results.
//
// While the metadata store is unavailable, the one owner of a batch appends finished results
// to replicas on several disks, and lists those that enough replicas have: one more than
// disks may be lost at once. A successor first claims a new epoch of the batch in the store,
// then seals all replicas but as many as may be lost. From then on the sealed replicas refuse
// the old owner, which therefore can list nothing more, and one of them has everything that
// was listed: the one whose results have the latest epoch, and the longest of these.
//
// The package uses no network, disk or clock.
package seal

import "fmt"

type (
	// Replica is one replica of a contiguous range of a batch's results. The zero value is
	// empty.
	Replica[T any] struct {
		// Epoch is the latest owner's epoch that the replica knows. It never decreases.
		Epoch int64 `json:"epoch"`
		// ResultsEpoch is the epoch of the owner that appended Results. It is lower than Epoch if a
		// later owner has sealed the replica and not yet appended to it.
		ResultsEpoch int64 `json:"of"`
		// From is the position of the first of Results. The store has all earlier ones.
		From    int `json:"from"`
		Results []T `json:"results"`
	}

	// FencedError means that the replica knows a later owner.
	FencedError struct {
		RequestEpoch, ReplicaEpoch int64
	}

	// GapError means that the replica lacks results before the appended ones.
	GapError struct {
		From, Next int
	}
)

// Error names both epochs.
func (e *FencedError) Error() string {
	return fmt.Sprintf("epoch %d is over, epoch %d is known", e.RequestEpoch, e.ReplicaEpoch)
}

// Error names both positions.
func (e *GapError) Error() string {
	return fmt.Sprintf("results from %d on appended, but %d is next", e.From, e.Next)
}

// Append adds an owner's results from position from on, and reports whether anything
// changed. The store has the batch's first stored results. A repeated or late append changes
// nothing.
//
//	changed, err := c.Append(epoch, 40, 38, results)
func (c *Replica[T]) Append(epoch int64, from, stored int, results []T) (changed bool, err error) {
	next := c.From + len(c.Results)
	switch {
	case epoch < c.Epoch:
		return false, &FencedError{RequestEpoch: epoch, ReplicaEpoch: c.Epoch}
	case epoch != c.ResultsEpoch, stored >= next:
		// The replica has an earlier owner's results: those that were listed are in the
		// store, and the others may be discarded. Or the store has all of its results.
		if from != stored {
			return false, &GapError{From: from, Next: stored}
		}
		*c = Replica[T]{Epoch: epoch, ResultsEpoch: epoch, From: from, Results: results}
		return true, nil
	case from > next:
		return false, &GapError{From: from, Next: next}
	case from+len(results) <= next:
		return false, nil
	}
	c.Results = append(c.Results, results[next-from:]...)
	return true, nil
}

// Seal makes the replica refuse owners with an earlier epoch from now on.
func (c *Replica[T]) Seal(epoch int64) error {
	if epoch < c.Epoch {
		return &FencedError{RequestEpoch: epoch, ReplicaEpoch: c.Epoch}
	}
	c.Epoch = epoch
	return nil
}

// Drop deletes the results, once the store has the first stored ones. The epoch stays: an
// earlier owner that resumes must be refused for as long as anyone could read from it. A
// late drop changes nothing if the owner has appended more results since.
func (c *Replica[T]) Drop(epoch int64, stored int) error {
	if epoch < c.Epoch {
		return &FencedError{RequestEpoch: epoch, ReplicaEpoch: c.Epoch}
	}
	if epoch == c.ResultsEpoch && c.From+len(c.Results) > stored {
		return nil
	}
	*c = Replica[T]{Epoch: epoch}
	return nil
}

// ResultsFrom returns the results from a position on, nil if the replica doesn't have the first of
// them.
func (c *Replica[T]) ResultsFrom(position int) []T {
	i := position - c.From
	if i < 0 || i >= len(c.Results) {
		return nil
	}
	return c.Results[i:]
}
