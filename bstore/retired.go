package bstore

import (
	"context"
	"strings"

	"github.com/lavendermux/lavendermux/kvst"
)

// RetiredPrefix is the prefix of the records of disks that were emptied and may be taken away, one key
// for each by its ID. The value is the name of the instance.
const RetiredPrefix = "lavendermux/retired/"

// RetiredDisk returns the write that records a disk of an instance as emptied. The disk must be closed
// for good, and no record may need it.
func RetiredDisk(disk, instance string) kvst.Put {
	return kvst.Put{Key: RetiredPrefix + disk, Value: []byte(instance)}
}

// RetiredDisks returns the IDs of the disks that were emptied, possibly from a list that another
// instance has read a moment ago.
func (s *Store) RetiredDisks(ctx context.Context) ([]string, error) {
	items, _, err := s.list(ctx, RetiredPrefix)
	if err != nil {
		return nil, err
	}
	disks := make([]string, 0, len(items))
	for _, it := range items {
		disks = append(disks, strings.TrimPrefix(it.Key, RetiredPrefix))
	}
	return disks, nil
}
