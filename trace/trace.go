// Package trace extracts the lines about one request, item or batch submission from the
// logs of several processes, in chronological order.
package trace

import (
	"bufio"
	"fmt"
	"io"
	"regexp"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// maxLineBytes bounds a line; this program writes no longer ones.
	maxLineBytes = 1 << 20
)

// fieldPattern matches one key=value pair; the value may be quoted.
var fieldPattern = regexp.MustCompile(`([A-Za-z]+)=("(?:[^"\\]|\\.)*"|\S+)`)

type (
	// Timeline is the log lines about one ID. See New.
	Timeline struct {
		ids   []string
		lines []line
	}

	line struct {
		at       time.Time
		instance string
		message  string
		fields   []string
	}
)

// New returns an empty timeline of id and the other IDs.
//
//	s := trace.New("9c41d07be2a35f68")
//	err := s.Read(file)
func New(id string, others ...string) *Timeline {
	return &Timeline{ids: append([]string{id}, others...)}
}

// Read adds the lines of one log that contain one of the IDs as a field value. Lines
// that are not valid log lines, or are mixed with the output of another writer, are
// skipped.
func (s *Timeline) Read(r io.Reader) error {
	sc := bufio.NewScanner(r)
	sc.Buffer(nil, maxLineBytes)
	for sc.Scan() {
		if l, ok := s.parse(sc.Text()); ok {
			s.lines = append(s.lines, l)
		}
	}
	return errors.Wrap(sc.Err(), "reading a log")
}

func (s *Timeline) parse(text string) (line, bool) {
	isCandidate := slices.ContainsFunc(s.ids, func(id string) bool { return strings.Contains(text, id) })
	if !isCandidate {
		return line{}, false
	}
	var l line
	found := false
	for _, m := range fieldPattern.FindAllStringSubmatch(text, -1) {
		key, value := m[1], strings.Trim(m[2], `"`)
		switch key {
		case "time":
			at, err := time.Parse(time.RFC3339Nano, value)
			if err != nil {
				return line{}, false
			}
			l.at = at
		case "level":
		case "msg":
			l.message = value
		case "instance":
			l.instance = value
		default:
			found = found || slices.ContainsFunc(strings.Fields(strings.Trim(value, "[]")), s.isNamed)
			l.fields = append(l.fields, m[0])
		}
	}
	return l, found && !l.at.IsZero()
}

func (s *Timeline) isNamed(word string) bool { return slices.Contains(s.ids, word) }

// Fingerprints returns the request fingerprints in the lines, without duplicates.
func (s *Timeline) Fingerprints() []string {
	var out []string
	for _, l := range s.lines {
		for _, f := range l.fields {
			if p, ok := strings.CutPrefix(f, "print="); ok && !slices.Contains(out, p) {
				out = append(out, p)
			}
		}
	}
	return out
}

// Write prints the lines in chronological order, each with the time since the first.
func (s *Timeline) Write(w io.Writer) error {
	slices.SortStableFunc(s.lines, func(a, b line) int { return a.at.Compare(b.at) })
	for _, l := range s.lines {
		_, err := fmt.Fprintf(w, "%s +%7.3fs %-22s %s %s\n", l.at.Format(time.TimeOnly+".000"),
			l.at.Sub(s.lines[0].at).Seconds(), l.instance, l.message, strings.Join(l.fields, " "))
		if err != nil {
			return err
		}
	}
	return nil
}

// Len returns the number of lines.
func (s *Timeline) Len() int { return len(s.lines) }
