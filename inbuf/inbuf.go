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

	"github.com/lavendermux/lavendermux/bound"
)

const (
	// defaultTotal is the default size of a pool, in bytes.
	defaultTotal = 64 << 20
	// chunkBytes is the size of the pieces in which a message is read. The first doesn't count, and
	// nearly all messages are shorter.
	chunkBytes = 16 << 10
)

type (
	// Pool bounds the memory of reads. It is safe for concurrent use. See New.
	Pool struct {
		total, maxMessage int64
		// parent is the pool of which this one is a part; nil if there is none.
		parent *bound.Pool

		mu sync.Mutex
		// used is the number of bytes that messages have, and of those that are reserved. free has the chunks that they had before,
		// until used is 0: the garbage of messages that are given up one after the other would be
		// several times the pool.
		used int64
		free []*chunk
	}

	// Option configures a Pool in New.
	Option func(*Pool)

	chunk [chunkBytes]byte

	// message is a message that is being read.
	message struct {
		pool   *Pool
		chunks []*chunk
		// size is the number of bytes read.
		size int64
	}

	// SizeError means that a message is longer than the limit for one.
	SizeError struct {
		Limit int64
	}

	// FullError means that a message was given up since others use the memory of the pool.
	FullError struct {
		Total int64
	}
)

// firstChunks has chunks to be used again as the first of a message.
var firstChunks = sync.Pool{New: func() any { return new(chunk) }}

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

// WithParent makes the pool a part of another one, which must have room as well. By default it is no part
// of another one.
func WithParent(parent *bound.Pool) Option {
	return func(p *Pool) { p.parent = parent }
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
	m := message{pool: p}
	defer m.release()
	for {
		free, err := m.grow(limit + 1) // one byte beyond the limit shows whether the message has ended
		if err != nil {
			return nil, err
		}
		n, err := r.Read(free)
		m.size += int64(n)
		switch {
		case m.size > limit:
			return nil, &SizeError{Limit: limit}
		case errors.Is(err, io.EOF):
			return m.join(), nil
		case err != nil:
			return nil, err
		}
	}
}

// Reserve counts n bytes that the caller keeps of a message until Release, and reports whether there is
// memory for them; otherwise it counts nothing.
func (p *Pool) Reserve(n int64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.take(n)
}

// take counts n bytes if there is room for them. The caller holds p.mu.
func (p *Pool) take(n int64) bool {
	if p.used+n > p.total || (p.parent != nil && !p.parent.Take(n)) {
		return false
	}
	p.used += n
	return true
}

// give ends the count of n bytes. The caller holds p.mu.
func (p *Pool) give(n int64) {
	p.used -= n
	if p.parent != nil {
		p.parent.Adjust(-n)
	}
}

// Release ends a reservation of n bytes.
func (p *Pool) Release(n int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.give(n)
	if p.used == 0 {
		p.free = nil
	}
}

// grow returns free space of the message for at least one byte, unless it has limit bytes.
func (m *message) grow(limit int64) ([]byte, error) {
	used := m.size % chunkBytes
	if m.size == int64(len(m.chunks))*chunkBytes {
		c := m.pool.chunk(len(m.chunks) == 0)
		if c == nil {
			return nil, &FullError{Total: m.pool.total}
		}
		m.chunks = append(m.chunks, c)
	}
	last := m.chunks[len(m.chunks)-1]
	return last[used:min(chunkBytes, used+limit-m.size)], nil
}

// join returns the message in one piece.
func (m *message) join() []byte {
	out := make([]byte, 0, m.size)
	for _, c := range m.chunks {
		out = append(out, c[:min(chunkBytes, m.size-int64(len(out)))]...)
	}
	return out
}

// release returns the chunks of the message.
func (m *message) release() {
	if len(m.chunks) == 0 {
		return
	}
	firstChunks.Put(m.chunks[0])
	p := m.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	p.give(int64(len(m.chunks)-1) * chunkBytes)
	p.free = append(p.free, m.chunks[1:]...)
	if p.used == 0 {
		p.free = nil
	}
}

// chunk returns the first chunk of a message, which doesn't count, or another one; nil if the pool is
// full.
func (p *Pool) chunk(isFirst bool) *chunk {
	if isFirst {
		return firstChunks.Get().(*chunk)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.take(chunkBytes) {
		return nil
	}
	n := len(p.free)
	if n == 0 {
		return new(chunk)
	}
	c := p.free[n-1]
	p.free = p.free[:n-1]
	return c
}
