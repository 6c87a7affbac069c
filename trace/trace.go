// Package trace finds the lines of several processes' logs that tell the story of
// one request, item or batch submission.
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
	// lineBytes bounds a line; longer ones are not this program's.
	lineBytes = 1 << 20
)

// field is one key with its value, which may be quoted.
var field = regexp.MustCompile(`([A-Za-z]+)=("(?:[^"\\]|\\.)*"|\S+)`)

type (
	// Story is the lines about one id. See New.
	Story struct {
		ids   []string
		lines []line
	}

	line struct {
		at       time.Time
		instance string
		message  string
		rest     []string
	}
)

// New returns an empty story about id, and about what else goes by one of the others.
//
//	s := trace.New("9c41d07be2a35f68")
//	err := s.Read(file)
func New(id string, others ...string) *Story { return &Story{ids: append([]string{id}, others...)} }

// Read takes the lines of one log that name the id. Lines that aren't a logger's,
// and those in which another writer's text got mixed, are passed over.
func (s *Story) Read(r io.Reader) error {
	sc := bufio.NewScanner(r)
	sc.Buffer(nil, lineBytes)
	for sc.Scan() {
		if l, ok := s.parse(sc.Text()); ok {
			s.lines = append(s.lines, l)
		}
	}
	return errors.Wrap(sc.Err(), "reading a log")
}

func (s *Story) parse(text string) (line, bool) {
	isCandidate := slices.ContainsFunc(s.ids, func(id string) bool { return strings.Contains(text, id) })
	if !isCandidate {
		return line{}, false
	}
	var l line
	named := false
	for _, m := range field.FindAllStringSubmatch(text, -1) {
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
			named = named || slices.ContainsFunc(strings.Fields(strings.Trim(value, "[]")), s.isNamed)
			l.rest = append(l.rest, m[0])
		}
	}
	return l, named && !l.at.IsZero()
}

func (s *Story) isNamed(word string) bool { return slices.Contains(s.ids, word) }

// Prints returns the fingerprints of the requests in the story.
func (s *Story) Prints() []string {
	var out []string
	for _, l := range s.lines {
		for _, f := range l.rest {
			if p, ok := strings.CutPrefix(f, "print="); ok && !slices.Contains(out, p) {
				out = append(out, p)
			}
		}
	}
	return out
}

// Write prints the story in the order of time, each line with the time since the
// first.
func (s *Story) Write(w io.Writer) error {
	slices.SortStableFunc(s.lines, func(a, b line) int { return a.at.Compare(b.at) })
	for _, l := range s.lines {
		_, err := fmt.Fprintf(w, "%s +%7.3fs %-22s %s %s\n", l.at.Format(time.TimeOnly+".000"),
			l.at.Sub(s.lines[0].at).Seconds(), l.instance, l.message, strings.Join(l.rest, " "))
		if err != nil {
			return err
		}
	}
	return nil
}

// Len is the number of lines.
func (s *Story) Len() int { return len(s.lines) }
