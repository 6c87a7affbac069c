// Package finger tells whether two requests are the same one, whatever attempt,
// connection and entry they come by.
package finger

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"fmt"
)

// size is the bytes of a print: a second request with the print of another caller's
// can't be found in 2^128 tries, and two of a billion requests share one with a chance
// of 10^-21.
const size = 16

type (
	// Print identifies a request by its caller, host, target and body. Identity, deadline,
	// method and headers of an attempt don't matter. Its text form is in hexadecimal.
	Print [size]byte

	// TextError says that a text is no print.
	TextError struct {
		Text string
	}
)

// Of returns the print of a request. customer is in whose name it runs; "" where callers
// aren't told apart. target is path and query.
//
//	p := finger.Of("acme", "ficu95.example", "/lohu930/2f", body)
//	fmt.Println(p)
func Of(customer, host, target string, body []byte) Print {
	h := sha256.New()
	var length [8]byte
	for _, field := range []string{customer, host, target} {
		// The length keeps the end of one field from passing for the start of the next.
		binary.BigEndian.PutUint64(length[:], uint64(len(field)))
		h.Write(length[:])
		h.Write([]byte(field))
	}
	h.Write(body)
	var sum [sha256.Size]byte
	var p Print
	copy(p[:], h.Sum(sum[:0]))
	return p
}

// String returns the print in hexadecimal.
func (p Print) String() string { return hex.EncodeToString(p[:]) }

// MarshalText implements encoding.TextMarshaler.
func (p Print) MarshalText() ([]byte, error) { return hex.AppendEncode(nil, p[:]), nil }

// UnmarshalText implements encoding.TextUnmarshaler. Its error names the text.
func (p *Print) UnmarshalText(text []byte) error {
	if hex.DecodedLen(len(text)) != size {
		return &TextError{Text: string(text)}
	}
	if _, err := hex.Decode(p[:], text); err != nil {
		return &TextError{Text: string(text)}
	}
	return nil
}

// Error names the text and what is expected.
func (e *TextError) Error() string {
	return fmt.Sprintf("%q is no fingerprint: %d hexadecimal digits are", e.Text, 2*size)
}
