// Package walog implements a write-ahead log of the newest results of batches, on one disk.
//
// Each batch has its own file. What its replica accepts (package seal) is appended to the
// file and synced before it is acknowledged, because the machine may lose power right after
// an acknowledgment that others rely on. Each record has its length and a checksum, and a
// file is truncated after its last complete record when it is opened: loss of power may
// leave any part of an unsynced write. What a start reads is synced, with its names, before
// anything is acknowledged: a process that was killed may have written it without a sync, and a
// repeated append of it writes nothing. The disk has an ID, created with the folder, so a machine
// whose disk was replaced by an empty one doesn't pass for the old one.
package walog

import (
	"crypto/rand"
	"encoding/binary"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"hash/crc32"
	"io"
	"maps"
	"net/url"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lavendermux/lavendermux/batch"
	"github.com/lavendermux/lavendermux/seal"
)

const (
	// ReservedPrefix begins the IDs of logs that aren't those of batches. No HTTP header can
	// carry it, so that no caller can choose such an ID. These logs don't expire: their
	// epochs fence writers for as long as the logs are in use.
	ReservedPrefix = "\x00"

	// idFile has the disk's ID, closedFile exists once the disk is closed, and logSuffix is the file
	// name extension of logs.
	idFile     = "disk"
	closedFile = "closed"
	logSuffix  = ".log"
	// newSuffix is added to the name of a log that is being rewritten.
	newSuffix = ".new"
	// idBytes is the length of a random disk ID, enough to be unique.
	idBytes = 8
	// defaultMaxBytes bounds the total size of all logs. It is what two trainers with steps
	// of three hundred long texts finish in half a minute without the metadata store.
	defaultMaxBytes = 64 << 20
	// logTTL is how long a log stays after its last use, even when its results were
	// dropped. Its epoch must outlive every owner that may still act with an earlier one,
	// and a batch is kept for an hour at most. It doesn't apply to reserved IDs.
	logTTL = 2 * time.Hour
	// headerBytes is the size of a record's header: its length and its checksum.
	headerBytes = 8
	fileMode    = 0o644
	dirMode     = 0o755
)

var crcTable = crc32.MakeTable(crc32.Castagnoli)

type (
	// Dir holds the logs in one folder. It is safe for concurrent use. See Open.
	Dir struct {
		path     string
		files    fileSystem
		diskID   string
		maxBytes int64

		mu    sync.Mutex
		logs  map[string]*logFile
		bytes int64

		// appends is held for reading by each append, and for writing by Close.
		appends sync.RWMutex
		closed  bool
	}

	// Option configures a Dir in Open.
	Option func(*Dir)

	logFile struct {
		mu       sync.Mutex
		f        file
		replica  seal.Replica[batch.Result]
		bytes    int64
		lastUsed time.Time
		// isUnsettled is set after an error that may have left more in the file than the
		// replica has, or the file's name unsynced.
		isUnsettled bool
	}

	// record is one append, or a seal or a drop if it has no results.
	record struct {
		Epoch   int64          `json:"epoch"`
		From    int            `json:"from"`
		Stored  int            `json:"kept"`
		Results []batch.Result `json:"results,omitempty"`
	}

	// FullError means that an append would exceed the bound on the logs' total size.
	FullError struct {
		Bytes, Max int64
	}

	// ClosedError means that the folder accepts no more results.
	ClosedError struct{}
)

// Error names both sizes, in bytes.
func (e *FullError) Error() string {
	return fmt.Sprintf("logs of %d bytes are kept, at most %d are", e.Bytes, e.Max)
}

// Error implements error.
func (e *ClosedError) Error() string { return "this disk is being emptied" }

// Open reads the logs in a folder, which it creates if it doesn't exist.
//
//	d, err := walog.Open("/data/copies")
//	err = d.Append("b1", 1, 40, 40, results)
func Open(path string, opts ...Option) (*Dir, error) {
	d := &Dir{path: path, files: osFiles{}, maxBytes: defaultMaxBytes, logs: make(map[string]*logFile)}
	for _, opt := range opts {
		opt(d)
	}
	if err := d.files.MkdirAll(path); err != nil {
		return nil, errors.Wrap(err, "creating the folder of copies")
	}
	if err := d.loadDiskID(); err != nil {
		return nil, err
	}
	names, err := d.files.ReadDir(path)
	if err != nil {
		return nil, errors.Wrap(err, "listing copies")
	}
	for _, name := range names {
		if strings.HasSuffix(name, logSuffix+newSuffix) {
			_ = d.files.Remove(filepath.Join(path, name)) // of an interrupted rewrite; the next rewrite would replace it
		}
		if name == closedFile {
			d.closed = true
		}
		if !strings.HasSuffix(name, logSuffix) {
			continue
		}
		id, err := url.PathUnescape(strings.TrimSuffix(name, logSuffix))
		if err != nil {
			return nil, errors.Wrapf(err, "decoding the file name of %s", name)
		}
		l, err := d.openLog(filepath.Join(path, name))
		if err != nil {
			return nil, err
		}
		d.logs[id] = l
		d.bytes += l.bytes
	}
	if err := d.syncNames(); err != nil {
		return nil, err
	}
	return d, nil
}

// WithMaxBytes bounds the total size of all logs, in bytes. The default is 64 MiB.
func WithMaxBytes(n int64) Option {
	return func(d *Dir) { d.maxBytes = n }
}

// Disk returns the ID of the disk.
func (d *Dir) Disk() string { return d.diskID }

// loadDiskID reads the disk's ID, or creates one on an empty disk, and syncs it. Logs without a
// readable ID come from an interrupted start, which acknowledged nothing.
func (d *Dir) loadDiskID() error {
	f, err := d.files.OpenFile(filepath.Join(d.path, idFile), os.O_CREATE|os.O_RDWR)
	if err != nil {
		return errors.Wrap(err, "opening the disk's id file")
	}
	defer func() { _ = f.Close() }() // it was synced
	data, err := io.ReadAll(f)
	if err != nil {
		return errors.Wrap(err, "reading the disk's id")
	}
	if len(data) != 2*idBytes {
		id := make([]byte, idBytes)
		_, _ = rand.Read(id) // documented to never fail
		data = []byte(hex.EncodeToString(id))
		if _, err := f.WriteAt(data, 0); err != nil {
			return errors.Wrap(err, "writing the disk's id")
		}
		if err := f.Truncate(int64(len(data))); err != nil {
			return errors.Wrap(err, "truncating the disk's id")
		}
	}
	d.diskID = string(data)
	return errors.Wrap(f.Sync(), "syncing the disk's id")
}

// syncNames syncs the folder and those above it, which Open may have created. One above it that
// can't be opened or synced has no new names.
func (d *Dir) syncNames() error {
	if err := d.syncDir(); err != nil {
		return err
	}
	path, err := filepath.Abs(d.path)
	if err != nil {
		return errors.Wrap(err, "resolving the folder of copies")
	}
	for path != filepath.Dir(path) {
		path = filepath.Dir(path)
		err := d.files.SyncDir(path)
		if err != nil && !errors.IsAny(err, os.ErrPermission, syscall.EROFS, syscall.EINVAL) {
			return errors.Wrapf(err, "syncing %s", path)
		}
	}
	return nil
}

// syncDir syncs the folder, so that the name of a new file survives loss of power.
func (d *Dir) syncDir() error {
	return errors.Wrap(d.files.SyncDir(d.path), "syncing the folder of copies")
}

// openLog replays a log, truncates it after its last complete record and syncs it.
func (d *Dir) openLog(name string) (*logFile, error) {
	f, err := d.files.OpenFile(name, os.O_RDWR)
	if err != nil {
		return nil, errors.Wrap(err, "opening a replica log")
	}
	l := &logFile{f: f, lastUsed: time.Now()}
	l.bytes, err = replay(f, l.apply)
	if err != nil {
		return nil, errors.Wrapf(err, "reading %s", name)
	}
	if err := f.Truncate(l.bytes); err != nil {
		return nil, errors.Wrapf(err, "truncating %s", name)
	}
	if err := f.Sync(); err != nil {
		return nil, errors.Wrapf(err, "syncing %s", name)
	}
	return l, nil
}

// apply replays a record, which was accepted when it was written.
func (l *logFile) apply(r record) {
	if len(r.Results) == 0 {
		_ = l.replica.Seal(r.Epoch) // accepted when it was written
		return
	}
	_, _ = l.replica.Append(r.Epoch, r.From, r.Stored, r.Results) // accepted when it was written
}

// replay passes the records of a log to take, up to the first torn or corrupt one, and
// returns their size in bytes.
func replay(r io.Reader, take func(record)) (bytes int64, err error) {
	data, err := io.ReadAll(r)
	if err != nil {
		return 0, err
	}
	offset := 0
	for len(data)-offset >= headerBytes {
		n := int(binary.LittleEndian.Uint32(data[offset:]))
		sum := binary.LittleEndian.Uint32(data[offset+4:])
		if n > len(data)-offset-headerBytes {
			break
		}
		body := data[offset+headerBytes : offset+headerBytes+n]
		rec, ok := decode(body, sum)
		if !ok {
			break
		}
		take(rec)
		offset += headerBytes + n
	}
	return int64(offset), nil
}

// decode decodes a record; ok is false if its checksum or its JSON is wrong.
func decode(body []byte, sum uint32) (rec record, ok bool) {
	ok = crc32.Checksum(body, crcTable) == sum && json.Unmarshal(body, &rec) == nil
	return rec, ok
}

// Append adds an owner's results to a batch's replica, as described in package seal. When it
// returns nil, they are synced to disk.
func (d *Dir) Append(id string, epoch int64, from, stored int, results []batch.Result) error {
	d.appends.RLock()
	defer d.appends.RUnlock()
	if d.closed {
		return &ClosedError{}
	}
	return d.update(id, record{Epoch: epoch, From: from, Stored: stored, Results: results}, func(c *seal.Replica[batch.Result]) (bool, error) {
		return c.Append(epoch, from, stored, results)
	})
}

// Seal makes the batch's replica refuse owners with an earlier epoch. It returns the results
// from position after on, and the epoch of the owner that appended them.
func (d *Dir) Seal(id string, epoch int64, after int) (results []batch.Result, resultsEpoch int64, err error) {
	err = d.update(id, record{Epoch: epoch}, func(c *seal.Replica[batch.Result]) (bool, error) {
		results, resultsEpoch = c.ResultsFrom(after), c.ResultsEpoch
		isLater := epoch > c.Epoch
		return isLater, c.Seal(epoch)
	})
	return results, resultsEpoch, err
}

// update applies a change to a batch's replica. A change that is accepted is written to the
// log before it takes effect.
func (d *Dir) update(id string, rec record, apply func(*seal.Replica[batch.Result]) (bool, error)) error {
	l, err := d.logFor(id)
	if err != nil {
		return err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if err := d.settle(l); err != nil {
		return err
	}
	next := seal.Replica[batch.Result]{Epoch: l.replica.Epoch, ResultsEpoch: l.replica.ResultsEpoch, From: l.replica.From, Results: l.replica.Results[:len(l.replica.Results):len(l.replica.Results)]}
	changed, err := apply(&next)
	if err != nil || !changed {
		return err
	}
	if err := d.appendRecord(l, rec); err != nil {
		return err
	}
	l.replica = next
	return nil
}

// logFor returns the log of a batch. It creates one if there is none.
func (d *Dir) logFor(id string) (*logFile, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if l, ok := d.logs[id]; ok {
		l.lastUsed = time.Now()
		return l, nil
	}
	d.removeExpired()
	f, err := d.files.OpenFile(d.logPath(id), os.O_CREATE|os.O_RDWR|os.O_TRUNC)
	if err != nil {
		return nil, errors.Wrap(err, "making a copy")
	}
	if err := d.syncDir(); err != nil {
		return nil, errors.CombineErrors(err, f.Close())
	}
	l := &logFile{f: f, lastUsed: time.Now()}
	d.logs[id] = l
	return l, nil
}

func (d *Dir) logPath(id string) string {
	return filepath.Join(d.path, url.PathEscape(id)+logSuffix)
}

// appendRecord appends a record and syncs it. After an error the file is truncated to its
// previous size, so that no later record follows a torn one.
func (d *Dir) appendRecord(l *logFile, rec record) error {
	data, err := encode(rec)
	if err != nil {
		return err
	}
	d.mu.Lock()
	total := d.bytes + int64(len(data))
	d.mu.Unlock()
	// A seal is written to a full disk too: it is small, and without it nobody could continue
	// the batches whose results fill the disk.
	if total > d.maxBytes && len(rec.Results) > 0 {
		return &FullError{Bytes: total, Max: d.maxBytes}
	}
	_, err = l.f.WriteAt(data, l.bytes)
	if err == nil {
		err = l.f.Sync()
	}
	if err != nil {
		l.isUnsettled = true
		return errors.Wrap(errors.CombineErrors(err, d.settle(l)), "writing a copy")
	}
	l.bytes += int64(len(data))
	d.mu.Lock()
	d.bytes += int64(len(data))
	d.mu.Unlock()
	return nil
}

// settle makes the file have exactly what the replica has, and syncs it with its name, unless
// that is so. The caller must hold l.mu.
func (d *Dir) settle(l *logFile) error {
	if !l.isUnsettled {
		return nil
	}
	err := l.f.Truncate(l.bytes)
	if err == nil {
		err = l.f.Sync()
	}
	if err == nil {
		err = d.syncDir()
	}
	l.isUnsettled = err != nil
	return errors.Wrap(err, "restoring a copy")
}

// encode returns a record with its header.
func encode(rec record) ([]byte, error) {
	body, err := json.Marshal(rec)
	if err != nil {
		return nil, errors.Wrap(err, "encoding a record")
	}
	data := make([]byte, headerBytes, headerBytes+len(body))
	binary.LittleEndian.PutUint32(data, uint32(len(body))) //nolint:gosec // Records are far below 4 GiB.
	binary.LittleEndian.PutUint32(data[4:], crc32.Checksum(body, crcTable))
	return append(data, body...), nil
}

// Drop deletes the results of a batch, of which the metadata store has the first stored ones,
// as described in package seal. The log is rewritten with only its epoch, which frees the
// space.
func (d *Dir) Drop(id string, epoch int64, stored int) error {
	d.mu.Lock()
	l, ok := d.logs[id]
	d.mu.Unlock()
	if !ok {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	next := l.replica
	if err := next.Drop(epoch, stored); err != nil {
		return err
	}
	if len(l.replica.Results) == 0 || len(next.Results) > 0 {
		return nil
	}
	return d.rewrite(l, id, next)
}

// rewrite atomically replaces a log by one that has only the epoch of next. Loss of power leaves
// either the old or the new one. Once the file is replaced, so is the replica, even if the sync of
// the folder fails: the old file has no name that a restart finds.
func (d *Dir) rewrite(l *logFile, id string, next seal.Replica[batch.Result]) error {
	data, err := encode(record{Epoch: next.Epoch})
	if err != nil {
		return err
	}
	f, err := d.files.OpenFile(d.logPath(id)+newSuffix, os.O_CREATE|os.O_TRUNC|os.O_RDWR)
	if err != nil {
		return errors.Wrap(err, "making a copy anew")
	}
	_, err = f.WriteAt(data, 0)
	if err == nil {
		err = f.Sync()
	}
	if err == nil {
		err = d.files.Rename(d.logPath(id)+newSuffix, d.logPath(id))
	}
	if err != nil {
		return errors.Wrap(errors.CombineErrors(err, f.Close()), "making a copy anew")
	}
	_ = l.f.Close() // the file has been replaced
	d.mu.Lock()
	d.bytes += int64(len(data)) - l.bytes
	d.mu.Unlock()
	l.f, l.bytes, l.replica, l.isUnsettled = f, int64(len(data)), next, true
	return d.settle(l)
}

// removeExpired removes logs not used for logTTL. The caller must hold d.mu.
func (d *Dir) removeExpired() {
	for id, l := range d.logs {
		if time.Since(l.lastUsed) < logTTL || strings.HasPrefix(id, ReservedPrefix) {
			continue
		}
		delete(d.logs, id)
		d.bytes -= l.bytes
		_ = l.f.Close()                   // every record has been synced
		_ = d.files.Remove(d.logPath(id)) // after a failure, the next start reads it and it expires again
	}
}

// Pending returns the IDs of the logs whose results may not be in the metadata store yet, sorted.
func (d *Dir) Pending() []string {
	d.mu.Lock()
	logs := maps.Clone(d.logs)
	d.mu.Unlock()
	var ids []string
	for id, l := range logs {
		l.mu.Lock()
		if len(l.replica.Results) > 0 {
			ids = append(ids, id)
		}
		l.mu.Unlock()
	}
	slices.Sort(ids)
	return ids
}

// Close makes Append refuse results for good, after a restart as well; when it returns, none is under
// way. Results on disk can still be sealed and dropped. After an error it may be repeated.
func (d *Dir) Close() error {
	d.appends.Lock()
	defer d.appends.Unlock()
	d.closed = true
	f, err := d.files.OpenFile(filepath.Join(d.path, closedFile), os.O_CREATE|os.O_RDWR)
	if err != nil {
		return errors.Wrap(err, "marking the disk as closed")
	}
	defer func() { _ = f.Close() }() // nothing was written
	return d.syncDir()
}

// IsClosed reports whether Close was called.
func (d *Dir) IsClosed() bool {
	d.appends.RLock()
	defer d.appends.RUnlock()
	return d.closed
}
