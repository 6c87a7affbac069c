package spool

import (
	"bytes"
	"fmt"
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

func BenchmarkWrite(b *testing.B) {
	s := New(&bytes.Buffer{})
	line := bytes.Repeat([]byte("x"), 200)
	for b.Loop() {
		_, _ = s.Write(line)
	}
}
