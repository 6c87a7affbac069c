// Package reqbuf reads the bodies of requests into memory, from a pool that the bodies of all callers
// share.
//
// An announced length costs nothing; bytes that arrived do. A body is kept in the pieces in which it
// was read, so that a large one is never held twice. While it is being read it may be given up for
// others (package bound), and its pieces are used again at once, since the garbage of bodies that were
// given up would take several times the pool.
package reqbuf

import (
	"fmt"
	"io"
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/lavendermux/lavendermux/bound"
)

const (
	// PieceBytes is the size of the pieces of a body. The first piece doesn't count in the pool: it
	// grows with what arrives, and nearly all bodies are shorter.
	PieceBytes = 16 << 10
	// minFirstBytes is the initial size of the first piece.
	minFirstBytes = 512
)

type (
	// Body is the body of a request. Methods of a nil Body are those of an empty one. See Read.
	Body struct {
		// first is the first piece, shorter than the others, and size the length of the body.
		first []byte
		size  int64
		claim *bound.Claim

		mu sync.Mutex
		// rest has the other pieces. users counts the owner and the open readers, after the last of
		// which the pieces are used again.
		rest  []*piece
		users int
		// isEvicted is set if the body was given up while it was read.
		isEvicted bool
	}

	piece [PieceBytes]byte

	// reader reads a body from its start.
	reader struct {
		mu   sync.Mutex
		body *Body
		at   int64
	}

	// SizeError means that a body is longer than the limit for one.
	SizeError struct {
		Limit int64
	}

	// FullError means that a body was not read to its end since others use the memory for bodies.
	FullError struct {
		Total int64
	}
)

// pieces has pieces to be used again.
var pieces = sync.Pool{New: func() any { return new(piece) }}

// Error names the limit.
func (e *SizeError) Error() string { return fmt.Sprintf("the body is longer than %d bytes", e.Limit) }

// Error names the size of the pool.
func (e *FullError) Error() string {
	return fmt.Sprintf("other bodies use the %d bytes for bodies", e.Total)
}

// Of returns a body of bytes that the caller keeps in memory anyway.
func Of(raw []byte) *Body { return &Body{first: raw, size: int64(len(raw)), users: 1} }

// Read reads a body until its end. length is its announced length, or negative if that isn't known, and
// limit the maximum. If the body is given up for others, interrupt is called, which must end a read of
// r that is in progress; it must not wait. Its errors are *SizeError, *FullError and those of r.
//
//	b, err := reqbuf.Read(pool, r.Body, r.ContentLength, 1<<20, interrupt)
//	defer b.Release()
func Read(pool *bound.Pool, r io.Reader, length, limit int64, interrupt func()) (*Body, error) {
	if length > limit {
		return nil, &SizeError{Limit: limit}
	}
	if length > PieceBytes && !pool.Fits(length-PieceBytes) {
		return nil, &FullError{Total: pool.Total()}
	}
	if length >= 0 {
		limit = length
	}
	b := &Body{users: 1}
	b.claim = pool.Claim(bound.First, func() {
		b.giveUp()
		interrupt()
	})
	err := b.read(r, limit)
	if err == nil && !b.claim.SetRank(bound.Pinned) {
		err = &FullError{Total: pool.Total()}
	}
	if err != nil {
		b.Release()
		return nil, err
	}
	return b, nil
}

func (b *Body) read(r io.Reader, limit int64) error {
	for {
		free, err := b.grow(limit + 1) // one byte beyond the limit shows whether the body has ended
		if err != nil {
			return err
		}
		n, err := r.Read(free)
		if b.hasGivenUp() {
			return &FullError{Total: b.claim.Pool().Total()}
		}
		b.size += int64(n)
		if b.size <= PieceBytes {
			b.first = b.first[:b.size]
		}
		switch {
		case b.size > limit:
			return &SizeError{Limit: limit}
		case errors.Is(err, io.EOF):
			return nil
		case err != nil:
			return err
		}
	}
}

// grow returns free space for at least one byte, up to a size of the body of limit.
func (b *Body) grow(limit int64) ([]byte, error) {
	if b.size < PieceBytes {
		if len(b.first) == cap(b.first) {
			larger := make([]byte, len(b.first), min(PieceBytes, max(minFirstBytes, 2*cap(b.first))))
			copy(larger, b.first)
			b.first = larger
		}
		return b.first[b.size:min(int64(cap(b.first)), limit)], nil
	}
	used := b.size % PieceBytes
	if used == 0 && !b.addPiece() {
		return nil, &FullError{Total: b.claim.Pool().Total()}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.isEvicted {
		return nil, &FullError{Total: b.claim.Pool().Total()}
	}
	return b.rest[len(b.rest)-1][used:min(PieceBytes, used+limit-b.size)], nil
}

func (b *Body) addPiece() bool {
	if !b.claim.Grow(PieceBytes) {
		return false
	}
	p := pieces.Get().(*piece)
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.isEvicted {
		pieces.Put(p)
		return false
	}
	b.rest = append(b.rest, p)
	return true
}

func (b *Body) hasGivenUp() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.isEvicted
}

// giveUp frees the pieces while the body is read, but for the last one, into which bytes may be
// read at this moment.
func (b *Body) giveUp() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.isEvicted = true
	if n := len(b.rest) - 1; n > 0 {
		for _, p := range b.rest[:n] {
			pieces.Put(p)
		}
		b.rest = b.rest[n:]
	}
}

// Len returns the length of the body.
func (b *Body) Len() int64 {
	if b == nil {
		return 0
	}
	return b.size
}

// Segments returns the bytes of the body in several parts, which must not be used after Release.
func (b *Body) Segments() [][]byte {
	if b == nil {
		return nil
	}
	out := [][]byte{b.first}
	for at := int64(len(b.first)); at < b.size; at += PieceBytes {
		out = append(out, b.rest[len(out)-1][:min(PieceBytes, b.size-at)])
	}
	return out
}

// Reader returns a reader of the whole body, whose memory stays in use until it is closed. After Release
// it reads nothing but an error.
func (b *Body) Reader() io.ReadCloser {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.users == 0 {
		return &reader{}
	}
	b.users++
	return &reader{body: b}
}

// Discard frees the pieces of a body that is no longer read, while it goes on counting until Release: its
// owner has something of the same size instead.
func (b *Body) Discard() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.users == 1 {
		b.first, b.size = nil, 0
		for _, p := range b.rest {
			pieces.Put(p)
		}
		b.rest = nil
	}
}

// Release ends the owner's use of the body.
func (b *Body) Release() {
	if b == nil {
		return
	}
	b.mu.Lock()
	b.users--
	isLast := b.users == 0
	rest := b.rest
	if isLast {
		b.rest = nil
	}
	b.mu.Unlock()
	if !isLast || b.claim == nil {
		return
	}
	for _, p := range rest {
		pieces.Put(p)
	}
	b.claim.Release()
}

// Read implements io.Reader.
func (r *reader) Read(p []byte) (int, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case r.body == nil:
		return 0, errors.New("read of a body that is closed")
	case r.at == r.body.size:
		return 0, io.EOF
	}
	part := r.body.first
	if r.at >= int64(len(part)) {
		i := (r.at - int64(len(part))) / PieceBytes
		part = r.body.rest[i][(r.at-int64(len(part)))%PieceBytes:]
	} else {
		part = part[r.at:]
	}
	n := copy(p, part[:min(int64(len(part)), r.body.size-r.at)])
	r.at += int64(n)
	return n, nil
}

// Close implements io.Closer.
func (r *reader) Close() error {
	r.mu.Lock()
	b := r.body
	r.body = nil
	r.mu.Unlock()
	b.Release() // does nothing if the reader was closed before
	return nil
}
