package bstore

import (
	"context"
	"encoding/json"
	"fmt"
	"net/url"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/lavendermux/lavendermux/batch"
	"github.com/lavendermux/lavendermux/kvst"
	"github.com/lavendermux/lavendermux/sleep"
)

// IntakePrefix is the prefix of the records that grant the right to accept submissions, one
// key for each model.
const IntakePrefix = "lavendermux/intake/"

type (
	// Intake is the record that grants one instance the right to accept the submissions of a
	// model. Every create of a batch of the model expects its revision; 0 means that there is
	// no record.
	Intake struct {
		Model    string `json:"-"`
		Revision int64  `json:"-"`
		// Holder is the instance, as in heads. Epoch grows with each change of holder.
		Holder string `json:"holder"`
		Epoch  int64  `json:"epoch"`
		// Replicas have the log of the submissions that the holder accepted while the store was
		// unavailable. The store has the batches of its first Stored entries.
		Replicas []batch.Replica `json:"replicas,omitempty"`
		Stored   int             `json:"stored"`
	}

	// IntakeError reports that the intake record of a model differs from the one that the
	// writer holds. Nothing was written.
	IntakeError struct {
		Now Intake
	}

	// DecodeError reports a record that can't be decoded.
	DecodeError struct {
		Key   string
		Cause error
	}
)

// Error names the holder.
func (e *IntakeError) Error() string {
	return fmt.Sprintf("model %s: submissions are accepted by %q since epoch %d", e.Now.Model, e.Now.Holder, e.Now.Epoch)
}

// Error names the key.
func (e *DecodeError) Error() string { return fmt.Sprintf("record %s: %v", e.Key, e.Cause) }

// IsHead reports whether the record is the head of a batch.
func (e *DecodeError) IsHead() bool { return strings.HasPrefix(e.Key, HeadPrefix) }

// Unwrap returns the cause.
func (e *DecodeError) Unwrap() error { return e.Cause }

// CreateFenced stores a submission with results, given its record with owner, epoch,
// replicas and time of acceptance, and fills in the other fields. in is the intake record
// that the writer holds. It returns a *FencedError if another writer has created the batch,
// and an *IntakeError if there is no such batch and the intake record has changed. A write
// of the same owner and epoch that took effect late counts as this one.
func (s *Store) CreateFenced(ctx context.Context, in Intake, rec *Record, sub *batch.Submission, results []batch.Result) error {
	chunks, err := encodeChunks(s, results)
	if err != nil {
		return err
	}
	var values [][]byte
	for _, c := range chunks {
		values = append(values, c.values...)
	}
	parts, err := s.encodeBody(sub, len(values))
	if err != nil {
		return err
	}
	next := *rec
	next.ID, next.Customer, next.Writes = sub.ID, sub.Customer, 0
	next.BodyChunks, next.ItemCount = len(parts), len(sub.Items)
	next.ResultChunks, next.Results = len(values), len(results)
	txn := kvst.Txn{Expect: map[string]int64{headKey(sub.ID): 0, intakeKey(sub.Model): in.Revision}}
	for i, part := range parts {
		txn.Puts = append(txn.Puts, kvst.Put{Key: bodyKey(sub.ID, i), Value: part})
	}
	for i, value := range values {
		txn.Puts = append(txn.Puts, kvst.Put{Key: resultKey(sub.ID, i), Value: value})
	}
	if err := s.commitWithHead(ctx, &next, txn); err != nil {
		return err
	}
	*rec = next
	return nil
}

// CheckSize returns a *SizeError if a submission is too large to be created.
func (s *Store) CheckSize(sub *batch.Submission) error {
	_, err := s.encodeBody(sub, 0)
	return err
}

// encodeBody returns the values of a submission that is created next to a number of others.
func (s *Store) encodeBody(sub *batch.Submission, others int) ([][]byte, error) {
	w := partWriter{size: s.maxValueBytes}
	if err := writeSubmission(&w, sub); err != nil {
		return nil, errors.Wrap(err, "encoding the submission")
	}
	if len(w.parts)+others > maxTxnEntries-2 {
		return nil, &SizeError{Bytes: w.written, Max: s.maxValueBytes * (maxTxnEntries - 2)}
	}
	return w.parts, nil
}

// LoadIntake returns the intake record of a model; its Revision is 0 if there is none.
func (s *Store) LoadIntake(ctx context.Context, model string) (Intake, error) {
	it, err := s.kv.Get(ctx, intakeKey(model))
	if err != nil || it.Revision == 0 {
		return Intake{Model: model}, err
	}
	return decodeIntake(it)
}

// Intakes returns the intake records of all models. A record that can't be decoded is left
// out, and reported by a *DecodeError next to the others.
func (s *Store) Intakes(ctx context.Context) ([]Intake, error) {
	return listIntakes(ctx, s.kv.List)
}

// RecentIntakes returns what Intakes does, as the lister of heads does: possibly a list that
// another instance has read a moment ago.
func (s *Store) RecentIntakes(ctx context.Context) ([]Intake, error) {
	return listIntakes(ctx, s.list)
}

func listIntakes(ctx context.Context, list kvst.Lister) ([]Intake, error) {
	items, _, err := list(ctx, IntakePrefix)
	if err != nil {
		return nil, err
	}
	var out []Intake
	for _, it := range items {
		in, decodeErr := decodeIntake(it)
		if decodeErr != nil {
			err = decodeErr
			continue
		}
		out = append(out, in)
	}
	return out, err
}

// SaveIntake replaces the record in, as its writer holds it, by next, whose revision it
// fills in. It returns an *IntakeError if the record has changed. The record that it carries
// may be that of an earlier call of the same holder, which then has taken effect late.
func (s *Store) SaveIntake(ctx context.Context, in Intake, next *Intake) error {
	raw, err := json.Marshal(next)
	if err != nil {
		return errors.Wrap(err, "encoding an intake record")
	}
	key := intakeKey(in.Model)
	txn := kvst.Txn{Expect: map[string]int64{key: in.Revision}, Puts: []kvst.Put{{Key: key, Value: raw}}}
	next.Revision, err = s.commit(ctx, txn)
	var conflict *kvst.ConflictError
	if !errors.As(err, &conflict) {
		return err
	}
	now, err := intakeOf(conflict, in.Model)
	if err != nil {
		return err
	}
	if now.Revision > 0 && now.equal(*next) {
		next.Revision = now.Revision
		return nil
	}
	return &IntakeError{Now: now}
}

// equal reports whether two records have the same content.
func (in Intake) equal(o Intake) bool {
	if in.Holder != o.Holder || in.Epoch != o.Epoch || in.Stored != o.Stored || len(in.Replicas) != len(o.Replicas) {
		return false
	}
	for i := range in.Replicas {
		if in.Replicas[i] != o.Replicas[i] {
			return false
		}
	}
	return true
}

// CurrentHeads returns the heads of all stored batches as they are now, and the IDs of those
// whose head can't be decoded. Heads may return a list that another instance has read a moment
// ago.
func (s *Store) CurrentHeads(ctx context.Context) (heads []Record, unreadable []string, err error) {
	items, _, err := s.kv.List(ctx, HeadPrefix)
	if err != nil {
		return nil, nil, err
	}
	for _, it := range items {
		rec, err := decodeHead(it)
		if err != nil {
			unreadable = append(unreadable, rec.ID)
			continue
		}
		heads = append(heads, rec)
	}
	return heads, unreadable, nil
}

// commit commits txn, and repeats it while the outcome is unknown. It returns a
// *kvst.RefusedError only if no attempt can have taken effect.
func (s *Store) commit(ctx context.Context, txn kvst.Txn) (int64, error) {
	var earlier error
	for {
		revision, err := s.kv.Commit(ctx, txn)
		var unknown *kvst.UnknownOutcomeError
		var refused *kvst.RefusedError
		switch {
		case errors.As(err, &unknown):
			earlier = err
		case errors.As(err, &refused) && earlier != nil:
			err = earlier // an earlier attempt may have taken effect
		default:
			return revision, err
		}
		if !sleep.For(ctx, commitRetryDelay) {
			return 0, err
		}
	}
}

// intakeOf returns the intake record of a model among the current items of a conflict.
func intakeOf(conflict *kvst.ConflictError, model string) (Intake, error) {
	for _, it := range conflict.Current {
		if it.Key == intakeKey(model) && it.Revision > 0 {
			return decodeIntake(it)
		}
	}
	return Intake{Model: model}, nil
}

func decodeIntake(it kvst.Item) (Intake, error) {
	model, err := url.PathUnescape(strings.TrimPrefix(it.Key, IntakePrefix))
	if err != nil {
		return Intake{}, &DecodeError{Key: it.Key, Cause: err}
	}
	in := Intake{Model: model, Revision: it.Revision}
	if err := json.Unmarshal(it.Value, &in); err != nil {
		return Intake{Model: model}, &DecodeError{Key: it.Key, Cause: err}
	}
	return in, nil
}

func intakeKey(model string) string { return IntakePrefix + url.PathEscape(model) }
