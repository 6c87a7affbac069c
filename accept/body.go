package accept

import (
	"compress/gzip"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/lavendermux/lavendermux/bound"
)

const (
	headerEncoding = "Content-Encoding"
	encodingGzip   = "gzip"
	// bodyFactor is the memory that a body takes for each of its bytes: a handler reads it into a buffer
	// that grows, and decodes it.
	bodyFactor = 4
	// bodyStepBytes is the step in which the memory of bodies is counted.
	bodyStepBytes = 16 << 10
)

// body counts the bytes of a body that a handler reads.
type body struct {
	io.ReadCloser
	limiter *Limiter
	// request counts the first bytes; rest, which is nil if others count them, what follows.
	request, rest *bound.Claim
	// size is the number of bytes that were read, counted that of those which the claims cover.
	size, counted int64
	isReading     bool
	err           error

	mu sync.Mutex
	// interrupt ends a read that is in progress; nil once the request has been handled.
	interrupt func()
	// isEvicted is set if the body was given up for others.
	isEvicted bool
}

// newBody makes r read its body through the returned one.
func newBody(lim *Limiter, request *bound.Claim, w http.ResponseWriter, r *http.Request) *body {
	b := &body{ReadCloser: r.Body, limiter: lim, request: request}
	if r.Body == nil || r.Body == http.NoBody {
		return b
	}
	b.interrupt = func() { _ = http.NewResponseController(w).SetReadDeadline(time.Now()) }
	if lim.bodies != nil && r.Header.Get(headerEncoding) == encodingGzip {
		// Decompressed here, its real size counts.
		r.Header.Del(headerEncoding)
		r.ContentLength = -1
		b.ReadCloser = &gzipBody{compressed: r.Body}
	}
	r.Body = b
	return b
}

// Read implements io.Reader. Its errors are *OverloadError and those of the body.
func (b *body) Read(p []byte) (int, error) {
	if b.err != nil {
		return 0, b.err
	}
	if !b.isReading {
		b.isReading = true
		b.setRank(rankBody)
	}
	n, err := b.ReadCloser.Read(p)
	b.size += int64(n)
	if !b.count() || b.hasGivenUp() {
		n, err = 0, &OverloadError{}
	}
	if err != nil {
		b.err = err
		b.setRank(rankBusy)
	}
	return n, err
}

// setRank says whether the memory of the request may be taken for others since it isn't whole.
func (b *body) setRank(rank bound.Rank) {
	b.request.SetRank(rank)
	if b.rest != nil {
		b.rest.SetRank(rank)
	}
}

// count counts the bytes that were read, and reports whether there is memory for them.
func (b *body) count() bool {
	if b.size > b.counted && b.counted < smallBodyBytes {
		n := min(b.size, smallBodyBytes) - b.counted
		if !b.request.Grow(n) {
			return false
		}
		b.counted += n
	}
	for b.limiter.bodies != nil && b.size > b.counted {
		if b.rest == nil {
			b.rest = b.limiter.bodies.Claim(rankBody, b.giveUp)
		}
		if !b.rest.Grow(bodyStepBytes * bodyFactor) {
			return false
		}
		b.counted += bodyStepBytes
	}
	return true
}

// giveUp ends the read of the body, for others.
func (b *body) giveUp() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.isEvicted = true
	if b.interrupt != nil {
		b.interrupt()
	}
}

func (b *body) hasGivenUp() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.isEvicted
}

// release ends the count of the body. The response must not be used after it.
func (b *body) release() {
	b.mu.Lock()
	b.interrupt = nil
	b.mu.Unlock()
	if b.rest != nil {
		b.rest.Release()
	}
}

// gzipBody decompresses a body.
type gzipBody struct {
	compressed io.ReadCloser
	zr         *gzip.Reader
	err        error
}

// gzipReaders has readers to be used again.
var gzipReaders = sync.Pool{New: func() any { return new(gzip.Reader) }}

// Read implements io.Reader.
func (z *gzipBody) Read(p []byte) (n int, err error) {
	if z.err != nil {
		return 0, z.err
	}
	if z.zr == nil {
		z.zr = gzipReaders.Get().(*gzip.Reader)
		z.err = z.zr.Reset(z.compressed)
	}
	if z.err == nil {
		n, z.err = z.zr.Read(p)
	}
	if z.err != nil {
		gzipReaders.Put(z.zr)
		z.zr = nil
	}
	return n, z.err
}

// Close implements io.Closer.
func (z *gzipBody) Close() error { return z.compressed.Close() }
