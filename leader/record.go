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
	// recordKey is the key of the leadership record, reportPrefix that of the committed
	// reports that the platform may not have received.
	recordKey    = "lavendermux/leader"
	reportPrefix = "lavendermux/usage/"
	// maxCommits and maxRemovals bound the reports of one write, which has at most 32 entries.
	maxCommits  = 12
	maxRemovals = 16
)

// recordUpdate is one write of a leader to the store.
type recordUpdate struct {
	record record
	// expected is the revision that the record must have for the write to succeed.
	expected int64
	// reports are to be committed, by window; remove has windows whose reports were delivered.
	reports map[int64]map[string]int
	remove  []int64
}

// readRecord returns the record and its revision, which is 0 if there is none.
func (l *Leader) readRecord(ctx context.Context) (rec record, revision int64, err error) {
	item, err := l.store.Get(ctx, recordKey)
	if err != nil || item.Revision == 0 {
		return record{}, 0, err
	}
	if err := json.Unmarshal(item.Value, &rec); err != nil {
		return record{}, 0, errors.Wrapf(err, "decoding record %s", recordKey)
	}
	return rec, item.Revision, nil
}

// readReports returns the committed reports, by window.
func (l *Leader) readReports(ctx context.Context) (map[int64]map[string]int, error) {
	items, _, err := l.store.List(ctx, reportPrefix)
	if err != nil {
		return nil, err
	}
	reports := make(map[int64]map[string]int, len(items))
	for _, item := range items {
		window, err := strconv.ParseInt(strings.TrimPrefix(item.Key, reportPrefix), 10, 64)
		if err != nil {
			return nil, errors.Wrapf(err, "parsing the window of report %s", item.Key)
		}
		var counts map[string]int
		if err := json.Unmarshal(item.Value, &counts); err != nil {
			return nil, errors.Wrapf(err, "decoding report %s", item.Key)
		}
		reports[window] = counts
	}
	return reports, nil
}

// writeRecord writes an update if the record still has the expected revision.
func (l *Leader) writeRecord(ctx context.Context, update recordUpdate) (revision int64, err error) {
	raw, err := json.Marshal(update.record)
	if err != nil {
		return 0, errors.Wrapf(err, "encoding record %s", recordKey)
	}
	txn := kvst.Txn{Expect: map[string]int64{recordKey: update.expected}, Puts: []kvst.Put{{Key: recordKey, Value: raw}}}
	for window, counts := range update.reports {
		raw, err := json.Marshal(counts)
		if err != nil {
			return 0, errors.Wrapf(err, "encoding the report of window %d", window)
		}
		txn.Puts = append(txn.Puts, kvst.Put{Key: reportKey(window), Value: raw})
	}
	for _, window := range update.remove {
		txn.Remove = append(txn.Remove, reportKey(window))
	}
	return l.store.Commit(ctx, txn)
}

// reportKey returns the key of a report. Keys sort by window.
func reportKey(window int64) string { return fmt.Sprintf("%s%015d", reportPrefix, window) }
