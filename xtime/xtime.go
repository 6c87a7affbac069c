// Package xtime provides a duration type with a text form for settings and
// resources: "500ms", "6s", "4m", "12h", "28d".
package xtime

import (
	"strconv"
	"strings"
	"time"

	"github.com/lavendermux/lavendermux/fault"
)

const (
	day = 24 * time.Hour
	// maxDays, 100 years, keeps a number of days within the range of a duration.
	maxDays = 100 * 365
)

// Duration is a time.Duration whose text form has a unit. A bare number is
// rejected, since it could be read as seconds or as milliseconds.
type Duration time.Duration

// Parse parses a duration such as "500ms" or "1h30m", or a whole number of days
// such as "28d".
//
//	d, err := xtime.Parse("6s")
//	timer := time.NewTimer(d.Std())
func Parse(s string) (Duration, error) {
	if n, ok := strings.CutSuffix(s, "d"); ok {
		days, err := strconv.Atoi(n)
		if err != nil || days < 0 || days > maxDays {
			return 0, parseError(s)
		}
		return Duration(time.Duration(days) * day), nil
	}
	d, err := time.ParseDuration(s)
	if err != nil || s == "0" {
		return 0, parseError(s)
	}
	return Duration(d), nil
}

// Std returns d as a time.Duration.
func (d Duration) Std() time.Duration {
	return time.Duration(d)
}

// String formats d for Parse, without units that are zero.
func (d Duration) String() string {
	std := time.Duration(d)
	if std >= day && std%day == 0 {
		return strconv.FormatInt(int64(std/day), 10) + "d"
	}
	s := std.String()
	if strings.HasSuffix(s, "m0s") {
		s = strings.TrimSuffix(s, "0s")
	}
	if strings.HasSuffix(s, "h0m") {
		s = strings.TrimSuffix(s, "0m")
	}
	return s
}

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(d.String()), nil
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := Parse(string(text))
	if err != nil {
		return err
	}
	*d = parsed
	return nil
}

func parseError(s string) error {
	return &fault.FieldError{Problem: strconv.Quote(s) + ` is no duration; write a number and its unit, such as "500ms", "6s", "4m" or "28d"`}
}
