// Package bytesz provides a byte size type with a text form for settings:
// "512B", "64MB".
package bytesz

import (
	"math"
	"strconv"
	"strings"

	"github.com/lavendermux/lavendermux/fault"
)

const (
	// Byte is the unit of Size.
	Byte Size = 1
	// KB is a thousand bytes.
	KB = 1000 * Byte
	// MB is a million bytes.
	MB = 1000 * KB
	// GB is a billion bytes.
	GB = 1000 * MB
)

var units = []struct {
	name string
	size Size
}{
	{"GB", GB}, {"MB", MB}, {"KB", KB}, {"B", Byte},
}

// Size is a non-negative number of bytes. Units are powers of 1000.
type Size int64

// Parse parses a whole number with its unit: B, KB, MB or GB.
//
//	s, err := bytesz.Parse("64MB")
//	limited := io.LimitReader(r, int64(s))
func Parse(s string) (Size, error) {
	for _, u := range units {
		digits, ok := strings.CutSuffix(s, u.name)
		if !ok {
			continue
		}
		n, err := strconv.ParseInt(digits, 10, 64)
		if err != nil || n < 0 || n > math.MaxInt64/int64(u.size) {
			return 0, parseError(s)
		}
		return Size(n) * u.size, nil
	}
	return 0, parseError(s)
}

// String formats s for Parse, in the largest unit that is exact.
func (s Size) String() string {
	for _, u := range units {
		if s != 0 && s%u.size == 0 {
			return strconv.FormatInt(int64(s/u.size), 10) + u.name
		}
	}
	return "0B"
}

// MarshalText implements encoding.TextMarshaler.
func (s Size) MarshalText() ([]byte, error) {
	return []byte(s.String()), nil
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (s *Size) UnmarshalText(text []byte) error {
	parsed, err := Parse(string(text))
	if err != nil {
		return err
	}
	*s = parsed
	return nil
}

func parseError(s string) error {
	return &fault.FieldError{Problem: strconv.Quote(s) + ` is no size; write a whole number and its unit, such as "512B", "16KB" or "64MB"`}
}
