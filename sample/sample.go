// Package sample holds one finished sample, as a trainer gets it.
package sample

import (
	"strconv"

	"github.com/cockroachdb/errors"
	"github.com/lavendermux/lavendermux/fault"
)

type (
	// Sample is one slot of a group, filled. It is also the JSON of the answer
	// to a trainer's pull.
	Sample struct {
		// ID is the group and the index, "s3-g17/2"; it is delivered once.
		ID string `json:"id"`
		// Group and Index are the parts of ID.
		Group string `json:"group"`
		Index int    `json:"index"`
		// Step is the trainer's own number of the step that asked for it.
		Step int64 `json:"step"`
		// Text is what was made, Tokens its length.
		Text   string `json:"text"`
		Tokens int64  `json:"tokens"`
		// Segments name the weight versions that made it, in order; together
		// they are Tokens long and none lacks its version.
		Segments []segment `json:"segments"`
		// Score is the scorer's; absent without a scorer.
		Score *float64 `json:"score,omitempty"`
		// Finish is "stop" or "length".
		Finish string `json:"finish"`
	}

	segment struct {
		// Version is a decimal number.
		Version string `json:"version"`
		// Tokens is at least 1.
		Tokens int64 `json:"tokens"`
	}
)

// Add appends tokens that version made, to the last segment if it is of the
// same version.
func (s *Sample) Add(version string, tokens int64, text string) {
	s.Text += text
	s.Tokens += tokens
	if n := len(s.Segments); n > 0 && s.Segments[n-1].Version == version {
		s.Segments[n-1].Tokens += tokens
		return
	}
	s.Segments = append(s.Segments, segment{Version: version, Tokens: tokens})
}

// Oldest returns the least weight version in the sample. Its error is a
// *fault.FieldError when a segment lacks its version: such a sample cannot be
// told fresh from stale and is never delivered.
func (s *Sample) Oldest() (int64, error) {
	oldest := int64(-1)
	for _, seg := range s.Segments {
		v, err := ParseVersion(seg.Version)
		if err != nil {
			return 0, err
		}
		if oldest < 0 || v < oldest {
			oldest = v
		}
	}
	if oldest < 0 {
		return 0, &fault.FieldError{Field: "segments", Problem: "are empty"}
	}
	return oldest, nil
}

// ParseVersion reads a weight version, a decimal number.
func ParseVersion(s string) (int64, error) {
	v, err := strconv.ParseInt(s, 10, 64)
	if err != nil || v < 0 {
		return 0, &fault.FieldError{Field: "version", Problem: "is not a decimal number: " + strconv.Quote(s)}
	}
	return v, nil
}

// SlotID returns the id of a slot.
func SlotID(group string, index int) string {
	return group + "/" + strconv.Itoa(index)
}

// ParseSlotID splits the id of a slot into the group and the index.
func ParseSlotID(id string) (string, int, error) {
	for i := len(id) - 1; i > 0; i-- {
		if id[i] != '/' {
			continue
		}
		index, err := strconv.Atoi(id[i+1:])
		if err != nil || index < 0 {
			break
		}
		return id[:i], index, nil
	}
	return "", 0, errors.WithStack(&fault.FieldError{Field: "id", Problem: "is no sample id: " + strconv.Quote(id)})
}
