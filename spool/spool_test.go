package spool

import (
	"bytes"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// blockedWriter is a writer that blocks until gate is closed, like a pipe without a reader.
type blockedWriter struct {
	gate chan struct{}
	mu   sync.Mutex
	buf  bytes.Buffer
}

func (s *blockedWriter) Write(p []byte) (int, error) {
	<-s.gate
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.buf.Write(p)
}

func (s *blockedWriter) String() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.buf.String()
}

// If the log is not read, writers must not block; lines that don't fit in the queue are
// dropped, and the log has their number once it is read again.
func TestReaderStandsStill(t *testing.T) {
	g := NewWithT(t)
	w := &blockedWriter{gate: make(chan struct{})}
	s := New(w, WithQueueSize(100))
	done := make(chan struct{})
	go func() {
		defer close(done)
		for n := range 10000 {
			_, _ = fmt.Fprintf(s, "line %d\n", n) // Write never fails
		}
	}()
	g.Eventually(done, 5*time.Second).Should(BeClosed())
	g.Expect(s.Dropped()).To(BeNumerically(">", 9000))
	close(w.gate)
	g.Eventually(w.String, 5*time.Second).Should(ContainSubstring("Log lines dropped."))
}

// One message is logged thousands of times in a second, as with an endpoint that resets
// every connection. No line of another message may be dropped, since one of them can show
// the cause, and the log must have the number of dropped lines of the first.
func TestOneMessageDoesNotPushOutOthers(t *testing.T) {
	g := NewWithT(t)
	w := &blockedWriter{gate: make(chan struct{})}
	close(w.gate)
	s := New(w, WithRateLimit(1, 50))
	for n := range 5000 {
		_, _ = fmt.Fprintf(s, "time=t level=info msg=\"Item run.\" item=%d\n", n) // Write never fails
	}
	for n := range 10 {
		_, _ = fmt.Fprintf(s, "time=t level=warn msg=Lost peer=%d\n", n) // Write never fails
	}
	g.Eventually(w.String, 5*time.Second).Should(MatchRegexp(`kind="Item run\." lines=\d+ all=49\d\d`))
	g.Expect(strings.Count(w.String(), "msg=Lost")).To(Equal(10))
	g.Expect(strings.Count(w.String(), "msg=\"Item run.\" item")).To(BeNumerically("~", 50, 5))
}

// The token bucket of a message refills with time.
func TestBudgetComesBack(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(0, 0)
	s := New(&bytes.Buffer{}, WithRateLimit(10, 2))
	s.now = func() time.Time { return now }
	for range 2 {
		g.Expect(s.takeToken("m")).To(BeTrue())
	}
	g.Expect(s.takeToken("m")).To(BeFalse())
	g.Expect(s.takeToken("other")).To(BeTrue())
	now = now.Add(150 * time.Millisecond)
	g.Expect(s.takeToken("m")).To(BeTrue())
	g.Expect(s.takeToken("m")).To(BeFalse())
}

func BenchmarkWrite(b *testing.B) {
	s := New(&bytes.Buffer{})
	line := append([]byte("time=t level=info msg=\"Item run.\" "), bytes.Repeat([]byte("x"), 200)...)
	for b.Loop() {
		_, _ = s.Write(line)
	}
}
