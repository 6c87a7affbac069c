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

// stuck is a pipe whose reader stands still until it is let go.
type stuck struct {
	gate chan struct{}
	mu   sync.Mutex
	buf  bytes.Buffer
}

func (s *stuck) Write(p []byte) (int, error) {
	<-s.gate
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.buf.Write(p)
}

func (s *stuck) String() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.buf.String()
}

// Nobody reads the log. Requests must go on as fast as before; what finds no room
// is left out, and the log says how much once it is read again.
func TestReaderStandsStill(t *testing.T) {
	g := NewWithT(t)
	w := &stuck{gate: make(chan struct{})}
	s := New(w, WithLines(100))
	done := make(chan struct{})
	go func() {
		defer close(done)
		for n := range 10000 {
			_, _ = fmt.Fprintf(s, "line %d\n", n) // it never fails
		}
	}()
	g.Eventually(done, 5*time.Second).Should(BeClosed())
	g.Expect(s.Lost()).To(BeNumerically(">", 9000))
	close(w.gate)
	g.Eventually(w.String, 5*time.Second).Should(ContainSubstring("Log lines left out."))
}

// One message comes thousands of times in a second, as from an engine that resets
// every connection. Lines of other messages are all there, and the log says how many
// of the one were left out; an engineer would otherwise miss the line with the cause.
func TestOneMessageDoesNotPushOutOthers(t *testing.T) {
	g := NewWithT(t)
	w := &stuck{gate: make(chan struct{})}
	close(w.gate)
	s := New(w, WithBudget(1, 50))
	for n := range 5000 {
		_, _ = fmt.Fprintf(s, "time=t level=info msg=\"Item run.\" item=%d\n", n) // it never fails
	}
	for n := range 10 {
		_, _ = fmt.Fprintf(s, "time=t level=warn msg=Lost peer=%d\n", n) // it never fails
	}
	g.Eventually(w.String, 5*time.Second).Should(ContainSubstring("kind=\"Item run.\" lines=49"))
	g.Expect(strings.Count(w.String(), "msg=Lost")).To(Equal(10))
	g.Expect(strings.Count(w.String(), "msg=\"Item run.\" item")).To(BeNumerically("~", 50, 5))
}

// The budget of a message grows again with time.
func TestBudgetComesBack(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(0, 0)
	s := New(&bytes.Buffer{}, WithBudget(10, 2))
	s.now = func() time.Time { return now }
	for range 2 {
		g.Expect(s.spend("m")).To(BeTrue())
	}
	g.Expect(s.spend("m")).To(BeFalse())
	g.Expect(s.spend("other")).To(BeTrue())
	now = now.Add(150 * time.Millisecond)
	g.Expect(s.spend("m")).To(BeTrue())
	g.Expect(s.spend("m")).To(BeFalse())
}

func BenchmarkWrite(b *testing.B) {
	s := New(&bytes.Buffer{})
	line := append([]byte("time=t level=info msg=\"Item run.\" "), bytes.Repeat([]byte("x"), 200)...)
	for b.Loop() {
		_, _ = s.Write(line)
	}
}
