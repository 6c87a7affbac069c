package inbuf

import (
	"bytes"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/gomega"
)

// endless reads as many bytes as are asked for, and counts them.
type endless struct{ read int64 }

func (e *endless) Read(b []byte) (int, error) {
	e.read += int64(len(b))
	return len(b), nil
}

// Messages of any length up to the limit are returned whole, with and without a known length, also
// byte by byte. Nothing stays counted.
func TestWholeMessages(t *testing.T) {
	g := NewWithT(t)
	p := New(WithTotal(1<<20), WithMaxMessage(300<<10))
	for _, n := range []int{0, 1, chunkBytes - 1, chunkBytes, chunkBytes + 1, 2 * chunkBytes, 3*chunkBytes + 1, 300 << 10} {
		want := bytes.Repeat([]byte("x"), n)
		for _, length := range []int64{-1, int64(n)} {
			for _, r := range []io.Reader{bytes.NewReader(want), iotest.OneByteReader(bytes.NewReader(want)), iotest.DataErrReader(bytes.NewReader(want))} {
				got, err := p.ReadAll(r, length)
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(bytes.Equal(got, want)).To(BeTrue(), "%d bytes", n)
				g.Expect(p.used).To(BeZero())
			}
		}
	}
}

// Guards against a truncated message that passes for a whole one.
func TestTruncatedMessage(t *testing.T) {
	g := NewWithT(t)
	p := New()
	for _, cause := range []error{io.ErrUnexpectedEOF, iotest.ErrTimeout} {
		_, err := p.ReadAll(io.MultiReader(strings.NewReader("begin"), iotest.ErrReader(cause)), 9)
		g.Expect(err).To(MatchError(cause))
	}
	g.Expect(p.used).To(BeZero())
}

// Guards against a message without an end: no more is read of it than may be returned, and one
// that announces its length isn't read at all.
func TestMessageWithoutEnd(t *testing.T) {
	g := NewWithT(t)
	p := New(WithTotal(1<<20), WithMaxMessage(300<<10))
	var tooLong *SizeError
	r := &endless{}
	_, err := p.ReadAll(r, -1)
	g.Expect(errors.As(err, &tooLong)).To(BeTrue())
	g.Expect(r.read).To(BeEquivalentTo(300<<10 + 1))
	_, err = p.ReadAll(iotest.DataErrReader(bytes.NewReader(make([]byte, 300<<10+1))), -1)
	g.Expect(errors.As(err, &tooLong)).To(BeTrue(), "the end comes with the last byte")
	r = &endless{}
	_, err = p.ReadAll(r, 1<<40)
	g.Expect(errors.As(err, &tooLong)).To(BeTrue())
	g.Expect(r.read).To(BeZero())
	g.Expect(p.used).To(BeZero())
}

// paused calls f before its first byte beyond a position.
type paused struct {
	endless
	at int64
	f  func()
}

func (r *paused) Read(b []byte) (int, error) {
	if r.f != nil && r.read >= r.at {
		f := r.f
		r.f = nil
		f()
	}
	return r.endless.Read(b)
}

// Guards against messages that together take all memory: beyond the pool they are given up, while
// short ones are still read.
func TestPoolIsShared(t *testing.T) {
	g := NewWithT(t)
	p := New(WithTotal(1 << 20))
	depth, most := 0, int64(0)
	var read func()
	read = func() {
		if depth++; depth > 40 {
			return
		}
		most = max(most, p.used)
		_, err := p.ReadAll(&paused{at: 100 << 10, f: read}, -1)
		g.Expect(err).To(HaveOccurred())
	}
	read()
	g.Expect(depth).To(BeNumerically("<", 40), "messages beside each other")
	g.Expect(most).To(BeNumerically("<=", 1<<20))
	g.Expect(p.used).To(BeZero())

	var full *FullError
	p.used = p.total
	_, err := p.ReadAll(&endless{}, -1)
	g.Expect(errors.As(err, &full)).To(BeTrue())
	got, err := p.ReadAll(strings.NewReader("short"), -1)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(got).To(HaveLen(len("short")))
}
