// Package inbuf reads messages of untrusted length into memory, with a bound on the memory that all
// reads of a process use together.
//
// A server that is broken may send bytes without an end, on many connections at a time. A limit for
// each message doesn't bound the memory then. Here all reads share one pool, of which each message
// may take half at most.
package inbuf

import (
	"fmt"
	"io"
	"sync"

	"github.com/cockroachdb/errors"
)

const (
	// defaultTotal is the default size of a pool, in bytes.
	defaultTotal = 64 << 20
	// freeBytes is what each message may use beside the pool. Nearly all messages are shorter.
	freeBytes = 16 << 10
	// firstBytes is the initial capacity of a buffer.
	firstBytes = 2 << 10
)

type (
	// Pool bounds the memory of reads. It is safe for concurrent use. See New.
	Pool struct {
		total, maxMessage int64

		mu   sync.Mutex
		used int64
	}

	// Option configures a Pool in New.
	Option func(*Pool)

	// SizeError means that a message is longer than the limit for one.
	SizeError struct {
		Limit int64
	}

	// FullError means that a message was given up since others use the memory of the pool.
	FullError struct {
		Total int64
	}
)

// Error names the limit.
func (e *SizeError) Error() string {
	return fmt.Sprintf("the message is longer than %d bytes", e.Limit)
}

// Error names the size of the pool.
func (e *FullError) Error() string {
	return fmt.Sprintf("messages being read use all of the %d bytes for them", e.Total)
}

// New returns a pool of 64 MiB, in which messages have no other limit than half of it.
//
//	p := inbuf.New(inbuf.WithTotal(memory/8), inbuf.WithMaxMessage(16<<20))
//	body, err := p.ReadAll(resp.Body, resp.ContentLength)
func New(opts ...Option) *Pool {
	p := &Pool{total: defaultTotal}
	for _, opt := range opts {
		opt(p)
	}
	if p.maxMessage == 0 || p.maxMessage > p.total/2 {
		p.maxMessage = p.total / 2
	}
	return p
}

// WithTotal sets the size of the pool, in bytes. The default is 64 MiB.
func WithTotal(n int64) Option {
	return func(p *Pool) {
		if n > 0 {
			p.total = n
		}
	}
}

// WithMaxMessage sets the maximum length of a message, in bytes. The default, and the most, is half of
// the pool.
func WithMaxMessage(n int64) Option {
	return func(p *Pool) { p.maxMessage = n }
}

// ReadAll reads a message until its end. length is its length, or negative if that isn't known. The
// memory of a message that is returned no longer counts. Its errors are *SizeError, *FullError and
// those of r.
func (p *Pool) ReadAll(r io.Reader, length int64) ([]byte, error) {
	if length > p.maxMessage {
		return nil, &SizeError{Limit: p.maxMessage}
	}
	limit := p.maxMessage
	if length >= 0 {
		limit = length
	}
	var buf []byte
	for size := min(firstBytes, limit+1); ; size = min(2*size, limit+1) {
		// One byte beyond the limit shows whether the message has ended.
		grown, err := p.grow(buf, size)
		if err != nil {
			return nil, err
		}
		buf, err = fill(r, grown)
		if err != nil || int64(len(buf)) > limit {
			p.release(buf)
		}
		switch {
		case errors.Is(err, io.EOF):
			return buf, nil
		case err != nil:
			return nil, err
		case int64(len(buf)) > limit:
			return nil, &SizeError{Limit: limit}
		}
	}
}

// fill reads until buf has no more capacity or r returns an error.
func fill(r io.Reader, buf []byte) ([]byte, error) {
	for len(buf) < cap(buf) {
		n, err := r.Read(buf[len(buf):cap(buf)])
		buf = buf[:len(buf)+n]
		if err != nil {
			return buf, err
		}
	}
	return buf, nil
}

// grow returns a copy of buf with a capacity of size, and releases buf.
func (p *Pool) grow(buf []byte, size int64) ([]byte, error) {
	defer p.release(buf)
	if !p.take(size) {
		return nil, &FullError{Total: p.total}
	}
	grown := make([]byte, len(buf), size)
	copy(grown, buf)
	return grown, nil
}

// take counts a buffer of a capacity, unless the pool is full.
func (p *Pool) take(capacity int64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if capacity > freeBytes && p.used+capacity > p.total {
		return false
	}
	p.used += countedBytes(capacity)
	return true
}

func (p *Pool) release(buf []byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.used -= countedBytes(int64(cap(buf)))
}

// countedBytes is what a buffer of a capacity takes from the pool.
func countedBytes(capacity int64) int64 {
	if capacity <= freeBytes {
		return 0
	}
	return capacity
}
