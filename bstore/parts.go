package bstore

import (
	"bytes"
	"encoding/json"
	"io"

	"github.com/lavendermux/lavendermux/batch"
)

// partWriter divides what is written into parts of a size. The last part may be shorter.
type partWriter struct {
	size    int
	parts   [][]byte
	written int
}

// Write implements io.Writer. It never fails.
func (w *partWriter) Write(p []byte) (int, error) {
	n := len(p)
	w.written += n
	for len(p) > 0 {
		if last := len(w.parts) - 1; last < 0 || len(w.parts[last]) == w.size {
			w.parts = append(w.parts, nil)
		}
		last := &w.parts[len(w.parts)-1]
		fits := min(len(p), w.size-len(*last))
		*last, p = append(*last, p[:fits]...), p[fits:]
	}
	return n, nil
}

// writeSubmission writes the JSON text of a submission item by item, so that a large one isn't in memory
// twice in addition to what is written.
func writeSubmission(w io.Writer, sub *batch.Submission) error {
	const noItems = `"items":null}`
	head := *sub
	head.Items = nil
	raw, err := json.Marshal(&head)
	if err != nil {
		return err
	}
	if sub.Items == nil || !bytes.HasSuffix(raw, []byte(noItems)) {
		return writeWhole(w, sub)
	}
	if _, err := w.Write(append(bytes.TrimSuffix(raw, []byte("null}")), '[')); err != nil {
		return err
	}
	for i := range sub.Items {
		raw, err := json.Marshal(&sub.Items[i])
		if err != nil {
			return err
		}
		if i > 0 {
			raw = append([]byte{','}, raw...)
		}
		if _, err := w.Write(raw); err != nil {
			return err
		}
	}
	_, err = w.Write([]byte("]}"))
	return err
}

func writeWhole(w io.Writer, sub *batch.Submission) error {
	raw, err := json.Marshal(sub)
	if err != nil {
		return err
	}
	_, err = w.Write(raw)
	return err
}
