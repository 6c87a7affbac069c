// Package bulk keeps prompts and finished samples on the small disk of an entry
// instance that has one.
//
// What it holds can be lost with its instance at any time, so it is a copy, never
// the truth: the ledger in the key-value service says what is owed, and what no
// disk has any more is asked for or made again.
package bulk

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"path/filepath"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/lavendermux/lavendermux/fault"
	"github.com/lavendermux/lavendermux/wire"
	"go.etcd.io/bbolt"
)

const (
	fileName = "bulk.db"
	fileMode = 0o600
	// openTimeout bounds the wait for the file's lock: a second process on the
	// same folder is a mistake in the settings and must not wait for ever.
	openTimeout = 2 * time.Second
	// pageBytes bounds one answer of Kept, in bytes. A step of a trainer is some
	// tens of megabytes and is read in pages.
	pageBytes = 4 << 20
	// fenceBytes is the length of the fencing number before each value.
	fenceBytes = 8
	// defaultLimit bounds what is held, in bytes.
	defaultLimit = 1 << 30
)

var (
	blobs = []byte("blobs")
)

type (
	// Store is one data folder. It is safe for concurrent use. See Open.
	Store struct {
		db    *bbolt.DB
		limit int64
		held  atomic.Int64
	}

	// Option changes a Store as Open makes it.
	Option func(*Store)

	// FullError says that the folder holds as much as it may.
	FullError struct {
		// Limit and Held are in bytes.
		Limit, Held int64
	}
)

// Open opens the store in folder, which exists.
//
//	s, err := bulk.Open("/var/lib/lavendermux")
//	defer s.Close()
func Open(folder string, opts ...Option) (*Store, error) {
	db, err := bbolt.Open(filepath.Join(folder, fileName), fileMode, &bbolt.Options{Timeout: openTimeout})
	if err != nil {
		return nil, errors.Wrapf(err, "opening the data folder %s", folder)
	}
	s := &Store{db: db, limit: defaultLimit}
	for _, opt := range opts {
		opt(s)
	}
	if err := s.prepare(); err != nil {
		return nil, errors.CombineErrors(err, db.Close())
	}
	return s, nil
}

// WithLimit bounds what the store holds, in bytes. The default is 1 GiB.
func WithLimit(n int64) Option {
	return func(s *Store) { s.limit = n }
}

// Error implements error.
func (e *FullError) Error() string {
	return fmt.Sprintf("the data folder holds %d of %d bytes", e.Held, e.Limit)
}

// prepare makes the bucket and counts what it holds.
func (s *Store) prepare() error {
	return s.db.Update(func(tx *bbolt.Tx) error {
		b, err := tx.CreateBucketIfNotExists(blobs)
		if err != nil {
			return errors.Wrap(err, "preparing the data folder")
		}
		total := int64(0)
		err = b.ForEach(func(k, v []byte) error {
			total += int64(len(k) + len(v))
			return nil
		})
		s.held.Store(total)
		return err
	})
}

// Close closes the folder.
func (s *Store) Close() error {
	return errors.Wrap(s.db.Close(), "closing the data folder")
}

// Keep stores value under key. A *fault.OldFenceError says that a later holder
// has written the key: an old one that wakes up must not bring its copy back.
func (s *Store) Keep(key string, value []byte, fence int64) error {
	size := int64(len(key) + len(value) + fenceBytes)
	if held := s.held.Load(); held+size > s.limit {
		return &FullError{Limit: s.limit, Held: held}
	}
	// The database may run this more than once, so the count changes afterwards.
	delta := size
	err := s.db.Batch(func(tx *bbolt.Tx) error {
		b := tx.Bucket(blobs)
		old := b.Get([]byte(key))
		if current := fenceOf(old); current > fence {
			return &fault.OldFenceError{Fence: fence, Current: current}
		}
		delta = size
		if old != nil {
			delta -= int64(len(key) + len(old))
		}
		raw := binary.BigEndian.AppendUint64(make([]byte, 0, len(value)+fenceBytes), uint64(fence))
		return errors.Wrap(b.Put([]byte(key), append(raw, value...)), "writing to the data folder")
	})
	if err == nil {
		s.held.Add(delta)
	}
	return err
}

// Drop removes key, or everything below it if it ends in a slash, as far as no
// later holder has written it.
func (s *Store) Drop(key string, fence int64) error {
	freed := int64(0)
	err := s.db.Batch(func(tx *bbolt.Tx) error {
		freed = 0
		c := tx.Bucket(blobs).Cursor()
		for k, v := c.Seek([]byte(key)); k != nil && covers(key, k); k, v = c.Next() {
			if fenceOf(v) > fence {
				continue
			}
			size := int64(len(k) + len(v))
			if err := c.Delete(); err != nil {
				return errors.Wrap(err, "removing from the data folder")
			}
			freed += size
		}
		return nil
	})
	if err == nil {
		s.held.Add(-freed)
	}
	return err
}

// Kept returns the blobs below prefix whose keys come after a key, as many as
// fit a page, and whether there are more.
func (s *Store) Kept(prefix, after string) ([]*wire.Blob, bool, error) {
	var out []*wire.Blob
	more := false
	err := s.db.View(func(tx *bbolt.Tx) error {
		c := tx.Bucket(blobs).Cursor()
		size := 0
		for k, v := c.Seek([]byte(max(prefix, after))); k != nil && bytes.HasPrefix(k, []byte(prefix)); k, v = c.Next() {
			if string(k) == after {
				continue
			}
			if size > pageBytes {
				more = true
				return nil
			}
			size += len(v)
			out = append(out, &wire.Blob{Key: string(k), Value: bytes.Clone(v[min(fenceBytes, len(v)):])})
		}
		return nil
	})
	return out, more, errors.Wrap(err, "reading the data folder")
}

// Held returns how many bytes are held.
func (s *Store) Held() int64 {
	return s.held.Load()
}

func covers(key string, k []byte) bool {
	if strings.HasSuffix(key, "/") {
		return bytes.HasPrefix(k, []byte(key))
	}
	return string(k) == key
}

func fenceOf(v []byte) int64 {
	if len(v) < fenceBytes {
		return 0
	}
	return int64(binary.BigEndian.Uint64(v))
}
