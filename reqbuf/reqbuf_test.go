package reqbuf

import (
	"bytes"
	"io"
	"sync"
	"testing"
	"testing/iotest"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/gomega"

	"github.com/lavendermux/lavendermux/bound"
)

// blocked delivers bytes and then blocks until it is interrupted, as the body of a client that stops
// short of its end.
type blocked struct {
	left int
	// reached is closed when all bytes are read.
	reached, interrupted chan struct{}
	once                 sync.Once
}

func newBlocked(n int) *blocked {
	return &blocked{left: n, reached: make(chan struct{}), interrupted: make(chan struct{})}
}

func (r *blocked) Read(p []byte) (int, error) {
	if r.left > 0 {
		n := min(r.left, len(p))
		r.left -= n
		return n, nil
	}
	close(r.reached)
	<-r.interrupted
	return 0, iotest.ErrTimeout
}

func (r *blocked) interrupt() { r.once.Do(func() { close(r.interrupted) }) }

func text(n int) []byte {
	out := make([]byte, n)
	for i := range out {
		out[i] = byte(i * 7 / 3)
	}
	return out
}

func join(b *Body) []byte { return bytes.Join(b.Segments(), nil) }

// Bodies of any length up to the limit come back as they were sent, with and without an announced
// length, also byte by byte. Nothing stays counted.
func TestWholeBodies(t *testing.T) {
	g := NewWithT(t)
	pool := bound.New(1 << 20)
	for _, n := range []int{0, 1, minFirstBytes, PieceBytes - 1, PieceBytes, PieceBytes + 1, 2 * PieceBytes, 3*PieceBytes + 1, 300 << 10} {
		want := text(n)
		for _, length := range []int64{-1, int64(n)} {
			for _, r := range []io.Reader{bytes.NewReader(want), iotest.OneByteReader(bytes.NewReader(want)), iotest.DataErrReader(bytes.NewReader(want))} {
				b, err := Read(pool, r, length, 300<<10, func() {})
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(b.Len()).To(BeEquivalentTo(n))
				g.Expect(bytes.Equal(join(b), want)).To(BeTrue(), "%d bytes", n)
				rd := b.Reader()
				b.Release()
				got, err := io.ReadAll(iotest.HalfReader(rd))
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(bytes.Equal(got, want)).To(BeTrue(), "%d bytes", n)
				g.Expect(rd.Close()).To(Succeed())
				g.Expect(pool.Used()).To(BeZero())
			}
		}
	}
}

// A transport may go on reading a body after the response: its pieces aren't used for other bodies
// before that reader is closed.
func TestPiecesOutliveReaders(t *testing.T) {
	g := NewWithT(t)
	pool := bound.New(1 << 20)
	want := text(100 << 10)
	b, err := Read(pool, bytes.NewReader(want), -1, 1<<20, func() {})
	g.Expect(err).NotTo(HaveOccurred())
	rd := b.Reader()
	b.Release()
	other, err := Read(pool, bytes.NewReader(make([]byte, 200<<10)), -1, 1<<20, func() {})
	g.Expect(err).NotTo(HaveOccurred())
	got, err := io.ReadAll(rd)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(bytes.Equal(got, want)).To(BeTrue())
	g.Expect(rd.Close()).To(Succeed())
	_, err = rd.Read(make([]byte, 1))
	g.Expect(err).To(HaveOccurred())
	other.Release()
	g.Expect(pool.Used()).To(BeZero())
}

// Bodies over the limit and those that can't be held are refused before a byte is read.
func TestKnownRefusals(t *testing.T) {
	g := NewWithT(t)
	pool := bound.New(64 << 10)
	var tooLong *SizeError
	var full *FullError
	_, err := Read(pool, iotest.ErrReader(io.ErrUnexpectedEOF), 101, 100, func() {})
	g.Expect(errors.As(err, &tooLong)).To(BeTrue())
	_, err = Read(pool, iotest.ErrReader(io.ErrUnexpectedEOF), 1<<20, 1<<20, func() {})
	g.Expect(errors.As(err, &full)).To(BeTrue())
	_, err = Read(pool, bytes.NewReader(make([]byte, 101)), -1, 100, func() {})
	g.Expect(errors.As(err, &tooLong)).To(BeTrue())
	_, err = Read(pool, bytes.NewReader(make([]byte, 1<<20)), -1, 1<<20, func() {})
	g.Expect(errors.As(err, &full)).To(BeTrue())
	g.Expect(pool.Used()).To(BeZero())
}

// Many bodies stop just short of their end and hold the pool: whoever comes then is served, and they
// are given up one by one.
func TestBodiesWithoutEndMakeRoom(t *testing.T) {
	g := NewWithT(t)
	const crowd, size = 4, 256 << 10
	pool := bound.New(crowd * size)
	var wg sync.WaitGroup
	var mu sync.Mutex
	given := 0
	for range crowd {
		r := newBlocked(size)
		wg.Go(func() {
			_, err := Read(pool, r, size+64, 1<<20, r.interrupt)
			var full *FullError
			mu.Lock()
			defer mu.Unlock()
			if errors.As(err, &full) {
				given++
			}
		})
		<-r.reached
		t.Cleanup(r.interrupt)
		defer r.interrupt()
	}
	want := text(size)
	for range 3 {
		b, err := Read(pool, bytes.NewReader(want), size, 1<<20, func() {})
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(bytes.Equal(join(b), want)).To(BeTrue())
		b.Release()
	}
	g.Eventually(func() int { mu.Lock(); defer mu.Unlock(); return given }).Should(Equal(1))
	g.Expect(pool.Used()).To(BeNumerically("<=", crowd*size))
}

// Bodies that are read at the same time and given up for each other arrive whole or not at all.
func TestBodiesBesideEachOther(t *testing.T) {
	g := NewWithT(t)
	pool := bound.New(1 << 20)
	var wg sync.WaitGroup
	for i := range 16 {
		wg.Go(func() {
			want := bytes.Repeat([]byte{byte(i)}, 100<<10+i)
			for range 50 {
				b, err := Read(pool, bytes.NewReader(want), -1, 1<<20, func() {})
				var full *FullError
				if errors.As(err, &full) {
					continue
				}
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(bytes.Equal(join(b), want)).To(BeTrue())
				b.Release()
			}
		})
	}
	wg.Wait()
	g.Expect(pool.Used()).To(BeZero())
}
