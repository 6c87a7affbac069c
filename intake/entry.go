package intake

import (
	"bytes"
	"compress/gzip"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"io"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lavendermux/lavendermux/batch"
)

// stateLogged is the state of a result that encodes an entry of the log.
const stateLogged batch.State = "submitted"

// Entry is an entry of the log: a submission that was accepted, or may have been.
type Entry struct {
	Submission *batch.Submission
	// Replicas are those of the results of the batch.
	Replicas []batch.Replica
	// Epoch is that of the acceptor, Age the time from the acceptance to the append.
	Epoch int64
	Age   time.Duration
}

// entryText is the encoded form of an entry, which is compressed: the items of a group have
// the same prompt.
type entryText struct {
	Submission *batch.Submission `json:"submission"`
	Customer   string            `json:"customer,omitempty"`
	Replicas   []batch.Replica   `json:"replicas,omitempty"`
	Epoch      int64             `json:"epoch"`
	AgeMs      int64             `json:"ageMs"`
}

// Encode returns the entry as a result, the form in which replicas keep it.
func (e Entry) Encode() (batch.Result, error) {
	raw, err := json.Marshal(entryText{Submission: e.Submission, Customer: e.Submission.Customer, Replicas: e.Replicas, Epoch: e.Epoch, AgeMs: e.Age.Milliseconds()})
	if err != nil {
		return batch.Result{}, errors.Wrap(err, "encoding a log entry")
	}
	var out bytes.Buffer
	w, err := gzip.NewWriterLevel(&out, gzip.BestSpeed)
	if err == nil {
		_, err = w.Write(raw)
	}
	if err == nil {
		err = w.Close()
	}
	if err != nil {
		return batch.Result{}, errors.Wrap(err, "compressing a log entry")
	}
	return batch.Result{ID: e.Submission.ID, State: stateLogged, Text: base64.StdEncoding.EncodeToString(out.Bytes())}, nil
}

// DecodeError means that a result doesn't encode an entry.
type DecodeError struct {
	ID    string
	Cause error
}

// Error names the batch.
func (e *DecodeError) Error() string { return fmt.Sprintf("log entry %s: %v", e.ID, e.Cause) }

// Unwrap returns the cause.
func (e *DecodeError) Unwrap() error { return e.Cause }

// Decode returns the entry that a result encodes, or a *DecodeError.
func Decode(r batch.Result) (Entry, error) {
	packed, err := base64.StdEncoding.DecodeString(r.Text)
	if err != nil {
		return Entry{}, &DecodeError{ID: r.ID, Cause: err}
	}
	zr, err := gzip.NewReader(bytes.NewReader(packed))
	if err != nil {
		return Entry{}, &DecodeError{ID: r.ID, Cause: err}
	}
	raw, err := io.ReadAll(zr)
	if err != nil {
		return Entry{}, &DecodeError{ID: r.ID, Cause: err}
	}
	var t entryText
	if err := json.Unmarshal(raw, &t); err != nil {
		return Entry{}, &DecodeError{ID: r.ID, Cause: err}
	}
	if r.State != stateLogged || t.Submission == nil || t.Submission.ID != r.ID {
		return Entry{}, &DecodeError{ID: r.ID, Cause: errors.New("it is not a submission")}
	}
	t.Submission.Customer = t.Customer
	return Entry{Submission: t.Submission, Replicas: t.Replicas, Epoch: t.Epoch, Age: time.Duration(t.AgeMs) * time.Millisecond}, nil
}
