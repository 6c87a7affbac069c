package leader

import (
	"context"
	"encoding/json"
	"fmt"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/lavendermux/lavendermux/kvst"
)

const (
	// recordKey names the leader, reportPrefix has the reports that are fixed and that the
	// platform may not have.
	recordKey    = "lavendermux/leader"
	reportPrefix = "lavendermux/usage/"
	// fixMost and removeMost bound the reports of one write, which has 32 entries at most.
	fixMost    = 12
	removeMost = 16
)

// change is one write of a leader.
type change struct {
	record record
	// expected is the revision that the record must have.
	expected int64
	// reports are fixed, by window, remove are windows whose reports the platform has.
	reports map[int64]map[string]int
	remove  []int64
}

// read returns the record; its revision is 0 if there is none.
func (l *Leader) read(ctx context.Context) (rec record, revision int64, err error) {
	it, err := l.store.Get(ctx, recordKey)
	if err != nil || it.Revision == 0 {
		return record{}, 0, err
	}
	if err := json.Unmarshal(it.Value, &rec); err != nil {
		return record{}, 0, errors.Wrapf(err, "record %s", recordKey)
	}
	return rec, it.Revision, nil
}

// readReports returns the reports that the store keeps, by window.
func (l *Leader) readReports(ctx context.Context) (map[int64]map[string]int, error) {
	items, _, err := l.store.List(ctx, reportPrefix)
	if err != nil {
		return nil, err
	}
	reports := make(map[int64]map[string]int, len(items))
	for _, it := range items {
		window, err := strconv.ParseInt(strings.TrimPrefix(it.Key, reportPrefix), 10, 64)
		if err != nil {
			return nil, errors.Wrapf(err, "report %s", it.Key)
		}
		var counts map[string]int
		if err := json.Unmarshal(it.Value, &counts); err != nil {
			return nil, errors.Wrapf(err, "report %s", it.Key)
		}
		reports[window] = counts
	}
	return reports, nil
}

// write writes a change if the record still has the revision that it expects.
func (l *Leader) write(ctx context.Context, c change) (revision int64, err error) {
	raw, err := json.Marshal(c.record)
	if err != nil {
		return 0, errors.Wrapf(err, "record %s", recordKey)
	}
	t := kvst.Txn{Expect: map[string]int64{recordKey: c.expected}, Puts: []kvst.Put{{Key: recordKey, Value: raw}}}
	for window, counts := range c.reports {
		raw, err := json.Marshal(counts)
		if err != nil {
			return 0, errors.Wrapf(err, "report %d", window)
		}
		t.Puts = append(t.Puts, kvst.Put{Key: reportKey(window), Value: raw})
	}
	for _, window := range c.remove {
		t.Remove = append(t.Remove, reportKey(window))
	}
	return l.store.Commit(ctx, t)
}

// reportKey orders reports by window.
func reportKey(window int64) string { return fmt.Sprintf("%s%015d", reportPrefix, window) }
