// Package cursor holds what a trainer carries from pull to pull: the record of
// what it has taken.
//
// A cursor names the samples of the offer that it acknowledges and of all
// offers before that which no record in the key-value service covers. So it can
// stand in for that record: through an outage of the service, and for a holder
// that has taken over without having heard of the last offers, the trainer
// itself says what it has.
package cursor

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"hash/crc32"

	"github.com/lavendermux/lavendermux/fault"
)

const (
	field = "cursor"
	// maxLength bounds what is read, in bytes of text. A cursor that covers a
	// whole step of 4,096 samples without any record is some 150 KB.
	maxLength = 1 << 20
	crcLength = 4
)

// Cursor is one position in the offers of a subscription. The zero Cursor is the
// start.
type Cursor struct {
	// Subscription is whose cursor it is; empty at the start.
	Subscription string `json:"subscription"`
	// Fence is the fencing number of the holder that made the offer. Cursors are
	// ordered by Fence and then by Offer.
	Fence int64 `json:"fence"`
	// Offer is the number of the last offer that was taken; 0 at the start.
	Offer int64 `json:"offer"`
	// Taken are the ids of the samples in that offer, and of all earlier ones
	// after Base.
	Taken []string `json:"taken"`
	// Base is the last offer that the holder had recorded when it made this
	// one, itself included or not; at most Offer.
	Base int64 `json:"base"`
}

// Encode returns the text that a trainer carries. It is opaque to the trainer.
//
//	text := c.Encode()
//	same, err := cursor.Decode(text)
func (c Cursor) Encode() string {
	raw, err := json.Marshal(c)
	if err != nil {
		// A struct of strings and numbers always has a JSON form.
		panic(err)
	}
	raw = binary.BigEndian.AppendUint32(raw, crc32.ChecksumIEEE(raw))
	return base64.RawURLEncoding.EncodeToString(raw)
}

// Decode reads what a trainer sent; empty text is the start. A text that was
// cut off or mixed up is a *fault.FieldError: taken for another position it
// would deliver samples twice.
func Decode(text string) (Cursor, error) {
	var c Cursor
	if text == "" {
		return c, nil
	}
	if len(text) > maxLength {
		return c, &fault.FieldError{Field: field, Problem: "is too long"}
	}
	raw, err := base64.RawURLEncoding.DecodeString(text)
	if err != nil || len(raw) < crcLength {
		return c, &fault.FieldError{Field: field, Problem: "is not a cursor that was handed out"}
	}
	body, sum := raw[:len(raw)-crcLength], raw[len(raw)-crcLength:]
	if crc32.ChecksumIEEE(body) != binary.BigEndian.Uint32(sum) {
		return c, &fault.FieldError{Field: field, Problem: "was damaged on its way"}
	}
	if err := json.Unmarshal(body, &c); err != nil {
		return c, &fault.FieldError{Field: field, Problem: "is not a cursor that was handed out"}
	}
	return c, nil
}

// Before reports whether c is an older position than other.
func (c Cursor) Before(other Cursor) bool {
	if c.Fence != other.Fence {
		return c.Fence < other.Fence
	}
	return c.Offer < other.Offer
}
