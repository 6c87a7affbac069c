// Package cursor encodes a trainer's position in its subscription, which the trainer
// passes from pull to pull.
//
// A cursor lists the samples of the offer that it acknowledges and of all earlier
// offers that are not recorded in the metadata store. It can therefore replace that
// record during an outage of the store, and for a holder that took over without the
// last offers.
package cursor

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"hash/crc32"

	"github.com/lavendermux/lavendermux/fault"
)

const (
	fieldName = "cursor"
	// maxTextBytes is the maximum length of an encoded cursor in bytes. A cursor that
	// covers a step of 4,096 unrecorded samples takes about 150 KB.
	maxTextBytes = 1 << 20
	crcBytes     = 4
)

// Cursor is a position in the offers of a subscription. The zero Cursor is the start.
type Cursor struct {
	// Subscription is the name of the subscription; empty at the start.
	Subscription string `json:"subscription"`
	// Fence is the fencing token of the holder that made the offer. Cursors are
	// ordered by Fence and then by Offer.
	Fence int64 `json:"fence"`
	// Offer is the sequence number of the last offer received; 0 at the start.
	Offer int64 `json:"offer"`
	// Taken lists the IDs of the samples received in that offer and in all earlier
	// offers after Base.
	Taken []string `json:"taken"`
	// Base is the last offer that the holder had recorded when it issued this cursor;
	// at most Offer.
	Base int64 `json:"base"`
}

// Encode returns the cursor as text that is opaque to the trainer.
//
//	text := c.Encode()
//	same, err := cursor.Decode(text)
func (c Cursor) Encode() string {
	raw, err := json.Marshal(c)
	if err != nil {
		// Unreachable: a struct of strings and integers can always be encoded.
		panic(err)
	}
	raw = binary.BigEndian.AppendUint32(raw, crc32.ChecksumIEEE(raw))
	return base64.RawURLEncoding.EncodeToString(raw)
}

// Decode parses a cursor that a trainer sent; empty text is the start. It returns a
// *fault.FieldError if the text is truncated or corrupted: a wrong position would lead
// to samples being delivered twice.
func Decode(text string) (Cursor, error) {
	var c Cursor
	if text == "" {
		return c, nil
	}
	if len(text) > maxTextBytes {
		return c, &fault.FieldError{Field: fieldName, Problem: "is too long"}
	}
	raw, err := base64.RawURLEncoding.DecodeString(text)
	if err != nil || len(raw) < crcBytes {
		return c, &fault.FieldError{Field: fieldName, Problem: "is not a cursor that was handed out"}
	}
	body, sum := raw[:len(raw)-crcBytes], raw[len(raw)-crcBytes:]
	if crc32.ChecksumIEEE(body) != binary.BigEndian.Uint32(sum) {
		return c, &fault.FieldError{Field: fieldName, Problem: "was damaged on its way"}
	}
	if err := json.Unmarshal(body, &c); err != nil {
		return c, &fault.FieldError{Field: fieldName, Problem: "is not a cursor that was handed out"}
	}
	return c, nil
}

// Before reports whether c is an earlier position than other.
func (c Cursor) Before(other Cursor) bool {
	if c.Fence != other.Fence {
		return c.Fence < other.Fence
	}
	return c.Offer < other.Offer
}
