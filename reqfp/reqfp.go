// Package reqfp computes fingerprints, by which a request is recognized across attempts,
// connections and instances.
package reqfp

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"fmt"
)

// fingerprintBytes is the length of a fingerprint: finding a second request with a given
// fingerprint takes about 2^128 tries, and among a billion requests two share one with a
// probability of 10^-21.
const fingerprintBytes = 16

type (
	// Fingerprint identifies a request by a hash of its customer, host, target and body. Its text
	// form is hexadecimal. Request ID, deadline, method and headers, which vary between
	// attempts, are left out.
	Fingerprint [fingerprintBytes]byte

	// ParseError says that a text is not a fingerprint.
	ParseError struct {
		Text string
	}
)

// Of returns the fingerprint of a request. customer is the one that the request runs for,
// "" where customers aren't distinguished. target is the path and query. The body may be in parts.
//
//	fp := reqfp.Of("acme", "ficu95.example", "/lohu930/2f", body)
//	fmt.Println(fp)
func Of(customer, host, target string, body ...[]byte) Fingerprint {
	h := sha256.New()
	var length [8]byte
	for _, field := range []string{customer, host, target} {
		// The length prefix keeps bytes moved from one field to the next from yielding the
		// same hash.
		binary.BigEndian.PutUint64(length[:], uint64(len(field)))
		h.Write(length[:])
		h.Write([]byte(field))
	}
	for _, part := range body {
		h.Write(part)
	}
	var sum [sha256.Size]byte
	var fp Fingerprint
	copy(fp[:], h.Sum(sum[:0]))
	return fp
}

// String returns the fingerprint in hexadecimal.
func (fp Fingerprint) String() string { return hex.EncodeToString(fp[:]) }

// MarshalText implements encoding.TextMarshaler.
func (fp Fingerprint) MarshalText() ([]byte, error) { return hex.AppendEncode(nil, fp[:]), nil }

// UnmarshalText implements encoding.TextUnmarshaler. The error is a *ParseError.
func (fp *Fingerprint) UnmarshalText(text []byte) error {
	if hex.DecodedLen(len(text)) != fingerprintBytes {
		return &ParseError{Text: string(text)}
	}
	if _, err := hex.Decode(fp[:], text); err != nil {
		return &ParseError{Text: string(text)}
	}
	return nil
}

// Error names the text and the expected form.
func (e *ParseError) Error() string {
	return fmt.Sprintf("%q is no fingerprint: %d hexadecimal digits are", e.Text, 2*fingerprintBytes)
}
