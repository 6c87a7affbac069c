package leader

import (
	"context"
	"encoding/json"

	"github.com/cockroachdb/errors"

	"github.com/lavendermux/lavendermux/kvst"
)

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

// write writes the record if it still has the revision.
func (l *Leader) write(ctx context.Context, rec record, expected int64) (revision int64, err error) {
	raw, err := json.Marshal(rec)
	if err != nil {
		return 0, errors.Wrapf(err, "record %s", recordKey)
	}
	return l.store.Commit(ctx, kvst.Txn{
		Expect: map[string]int64{recordKey: expected},
		Puts:   []kvst.Put{{Key: recordKey, Value: raw}},
	})
}
