// Package blobdb stores blobs, such as prompts and finished samples, on the small disk
// of an entry instance that has one.
//
// The data can be lost with its instance at any time, so it is only a replica: the
// ledger in the metadata store records which samples are still to be delivered, and
// whatever no disk has any more is requested or generated again.
package blobdb

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
	// openTimeout bounds the wait for the file lock: a second process on the same
	// directory is a configuration error and must not block forever.
	openTimeout = 2 * time.Second
	// pageBytes is the size of values, in bytes, after which a page of List ends. A step
	// of a trainer is some tens of megabytes and is read in pages.
	pageBytes = 4 << 20
	// fenceBytes is the length of the fencing token before each value.
	fenceBytes = 8
	// defaultMaxBytes is the default size limit.
	defaultMaxBytes = 1 << 30
)

var (
	bucketName = []byte("blobs")
)

type (
	// Store is a blob store in one data directory, safe for concurrent use. See Open.
	Store struct {
		db       *bbolt.DB
		maxBytes int64
		used     atomic.Int64
	}

	// Option configures a Store.
	Option func(*Store)

	// FullError says that a write would exceed the size limit.
	FullError struct {
		// Limit and Used are in bytes.
		Limit, Used int64
	}
)

// Open opens the store in the directory folder, which must exist.
//
//	s, err := blobdb.Open("/var/lib/lavendermux")
//	defer s.Close()
func Open(folder string, opts ...Option) (*Store, error) {
	db, err := bbolt.Open(filepath.Join(folder, fileName), fileMode, &bbolt.Options{Timeout: openTimeout})
	if err != nil {
		return nil, errors.Wrapf(err, "opening the data folder %s", folder)
	}
	s := &Store{db: db, maxBytes: defaultMaxBytes}
	for _, opt := range opts {
		opt(s)
	}
	if err := s.prepare(); err != nil {
		return nil, errors.CombineErrors(err, db.Close())
	}
	return s, nil
}

// WithLimit sets the size limit, in bytes. The default is 1 GiB.
func WithLimit(n int64) Option {
	return func(s *Store) { s.maxBytes = n }
}

// Error implements error.
func (e *FullError) Error() string {
	return fmt.Sprintf("the data folder holds %d of %d bytes", e.Used, e.Limit)
}

// prepare creates the bucket and computes its size.
func (s *Store) prepare() error {
	return s.db.Update(func(tx *bbolt.Tx) error {
		b, err := tx.CreateBucketIfNotExists(bucketName)
		if err != nil {
			return errors.Wrap(err, "preparing the data folder")
		}
		total := int64(0)
		err = b.ForEach(func(k, v []byte) error {
			total += int64(len(k) + len(v))
			return nil
		})
		s.used.Store(total)
		return err
	})
}

// Close closes the store.
func (s *Store) Close() error {
	return errors.Wrap(s.db.Close(), "closing the data folder")
}

// Put stores value under key. A *fault.FencedError says that the key has been
// written with a higher fencing token: a paused former owner must not restore its
// outdated value.
func (s *Store) Put(key string, value []byte, fence int64) error {
	size := int64(len(key) + len(value) + fenceBytes)
	if used := s.used.Load(); used+size > s.maxBytes {
		return &FullError{Limit: s.maxBytes, Used: used}
	}
	// Batch may run the function more than once, so s.used is updated afterwards.
	delta := size
	err := s.db.Batch(func(tx *bbolt.Tx) error {
		b := tx.Bucket(bucketName)
		old := b.Get([]byte(key))
		if current := fenceOf(old); current > fence {
			return &fault.FencedError{Fence: fence, Current: current}
		}
		delta = size
		if old != nil {
			delta -= int64(len(key) + len(old))
		}
		raw := binary.BigEndian.AppendUint64(make([]byte, 0, len(value)+fenceBytes), uint64(fence))
		return errors.Wrap(b.Put([]byte(key), append(raw, value...)), "writing to the data folder")
	})
	if err == nil {
		s.used.Add(delta)
	}
	return err
}

// Delete deletes key, or all keys with that prefix if it ends in a slash, except those
// written with a fencing token higher than fence.
func (s *Store) Delete(key string, fence int64) error {
	freed := int64(0)
	err := s.db.Batch(func(tx *bbolt.Tx) error {
		freed = 0
		c := tx.Bucket(bucketName).Cursor()
		for k, v := c.Seek([]byte(key)); k != nil && matchesKey(key, k); k, v = c.Next() {
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
		s.used.Add(-freed)
	}
	return err
}

// List returns one page of the blobs with the given key prefix whose keys sort after
// after, and whether there are more.
func (s *Store) List(prefix, after string) ([]*wire.Blob, bool, error) {
	var out []*wire.Blob
	more := false
	err := s.db.View(func(tx *bbolt.Tx) error {
		c := tx.Bucket(bucketName).Cursor()
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

// UsedBytes returns the stored size in bytes, including keys and fencing tokens.
func (s *Store) UsedBytes() int64 {
	return s.used.Load()
}

func matchesKey(key string, k []byte) bool {
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
