package stream

import (
	"io"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/gomega"
)

// The version field precedes the event from which it applies, and an event may have
// several data lines.
func TestEvents(t *testing.T) {
	g := NewWithT(t)
	r := New(strings.NewReader("id: 1\ndata: a\n\nweight-versions: 7\nid: 2\ndata: b\ndata: c\r\n\r\n\nid:3\ndata:d\n\n"), "weight-versions")
	for _, want := range []Event{{ID: 1, Data: "a"}, {ID: 2, Data: "b\nc", Version: 7}, {ID: 3, Data: "d"}} {
		got, err := r.Next()
		g.Expect(err).NotTo(HaveOccurred())
		got.Raw, got.At = nil, time.Time{}
		g.Expect(got).To(Equal(want))
	}
	_, err := r.Next()
	g.Expect(err).To(MatchError(io.EOF))
}

// An engine stops in the middle of an event and closes the connection cleanly. The
// partial event must not be returned, and the stream must be reported as truncated.
func TestTruncated(t *testing.T) {
	for _, text := range []string{"id: 1\nda", "id: 1\ndata: a", "id: 1\ndata: a\n"} {
		g := NewWithT(t)
		_, err := New(strings.NewReader(text), "v").Next()
		g.Expect(err).To(MatchError(errTruncated))
	}
}

// Guards against a stream that goes on without an event: a line without an end, comments, empty lines,
// or an event that never ends. Little may be read and kept of it, also after a good event.
func TestStreamWithoutEvents(t *testing.T) {
	const good, next = "id: 1\ndata: a\n\n", "id: 2\ndata: a\n\n"
	for _, fill := range []string{"x", "data: x", ": x\n", "\n", "\r\n", "data: x\n", "id: 2\n", ": x\n\n", "v: 1\n"} {
		for _, begin := range []string{"", good, good + next} {
			g := NewWithT(t)
			e := &endless{rest: begin, fill: fill}
			r := New(e, "v")
			for range strings.Count(begin, "\n\n") {
				_, err := r.Next()
				g.Expect(err).NotTo(HaveOccurred())
			}
			_, err := r.Next()
			g.Expect(errors.Is(err, errTooLong)).To(BeTrue(), "%q: %v", fill, err)
			g.Expect(e.read).To(BeNumerically("<=", maxEventBytes+2*bufferBytes))
		}
	}
}

// A long event must be returned whole, with many lines of data.
func TestLongEvent(t *testing.T) {
	g := NewWithT(t)
	line := strings.Repeat("x", 100)
	ev, err := New(strings.NewReader("id: 1\n"+strings.Repeat("data: "+line+"\n", 1000)+"\n"), "v").Next()
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(ev.Data).To(Equal(strings.TrimSuffix(strings.Repeat(line+"\n", 1000), "\n")))
}

// endless reads rest, then fill again and again.
type endless struct {
	rest, fill string
	read       int
}

func (e *endless) Read(p []byte) (int, error) {
	for len(e.rest) < len(p) {
		e.rest += e.fill
	}
	n := copy(p, e.rest)
	e.rest = e.rest[n:]
	e.read += n
	return n, nil
}
