// Package walog keeps copies of submissions' newest results on one disk.
//
// Each submission has a file of its own, to which what the copy accepts (package seal) is
// appended and synced before it is acknowledged: a machine that loses power right after
// may be the one that acknowledged last. A record has its length and a checksum, and a
// file is cut behind its last whole record when it is opened, since the loss of power may
// leave any part of an unsynced write. The disk has an id, made with the folder; a machine
// whose disk was replaced by an empty one has another id, and doesn't pass for the old one.
package walog

import (
	"crypto/rand"
	"encoding/binary"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"hash/crc32"
	"io"
	"net/url"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lavendermux/lavendermux/batch"
	"github.com/lavendermux/lavendermux/seal"
)

const (
	// idFile names the disk; suffix ends the names of logs.
	idFile = "disk"
	suffix = ".log"
	// fresh ends the name of a log that is being made anew.
	fresh = ".new"
	// idBytes make an id that no other disk has.
	idBytes = 8
	// defaultMost bounds the bytes of all logs: what two trainers with steps of three
	// hundred long texts finish in half a minute without the store.
	defaultMost = 64 << 20
	// keepFor is how long a log stays after its last use, dropped or not. Its epoch must
	// outlive every holder that may still believe in an earlier one, and a submission is
	// kept for an hour at most.
	keepFor = 2 * time.Hour
	// headBytes are the length and the checksum before a record.
	headBytes = 8
	fileMode  = 0o644
	dirMode   = 0o755
)

var table = crc32.MakeTable(crc32.Castagnoli)

type (
	// Dir is the logs in one folder; safe for concurrent use. See Open.
	Dir struct {
		path string
		disk string
		most int64

		mu     sync.Mutex
		logs   map[string]*file
		bytes  int64
		closed bool
	}

	// Option changes a Dir as Open makes it.
	Option func(*Dir)

	file struct {
		mu    sync.Mutex
		f     *os.File
		copy  seal.Copy[batch.Result]
		bytes int64
		used  time.Time
	}

	// record is one append, or a seal if it has no results.
	record struct {
		Epoch   int64          `json:"epoch"`
		From    int            `json:"from"`
		Kept    int            `json:"kept"`
		Results []batch.Result `json:"results,omitempty"`
	}

	// FullError says that a log would take more than the bytes that are left.
	FullError struct {
		Bytes, Most int64
	}

	// ClosedError says that the folder takes nothing any more.
	ClosedError struct{}
)

// Error names both sizes.
func (e *FullError) Error() string {
	return fmt.Sprintf("logs of %d bytes are kept, at most %d are", e.Bytes, e.Most)
}

// Error implements error.
func (e *ClosedError) Error() string { return "this disk is being emptied" }

// Open reads the logs in a folder, which is made if it doesn't exist.
//
//	d, err := walog.Open("/data/copies")
//	err = d.Append("b1", 1, 40, 40, results)
func Open(path string, opts ...Option) (*Dir, error) {
	d := &Dir{path: path, most: defaultMost, logs: make(map[string]*file)}
	for _, opt := range opts {
		opt(d)
	}
	if err := os.MkdirAll(path, dirMode); err != nil {
		return nil, errors.Wrap(err, "making the folder of copies")
	}
	if err := d.identify(); err != nil {
		return nil, err
	}
	names, err := filepath.Glob(filepath.Join(path, "*"+suffix))
	if err != nil {
		return nil, errors.Wrap(err, "listing copies")
	}
	for _, name := range names {
		id, err := url.PathUnescape(strings.TrimSuffix(filepath.Base(name), suffix))
		if err != nil {
			return nil, errors.Wrapf(err, "name of %s", name)
		}
		l, err := open(name)
		if err != nil {
			return nil, err
		}
		d.logs[id] = l
		d.bytes += l.bytes
	}
	return d, nil
}

// WithMost bounds the bytes of all logs. The default is 64 MiB.
func WithMost(n int64) Option {
	return func(d *Dir) { d.most = n }
}

// Disk is the id of the disk.
func (d *Dir) Disk() string { return d.disk }

// identify reads the disk's id, or makes one on an empty disk. Logs without a readable id
// are of a start that ended halfway: nothing was acknowledged from it.
func (d *Dir) identify() error {
	name := filepath.Join(d.path, idFile)
	raw, err := os.ReadFile(name)
	if err == nil && len(raw) == 2*idBytes {
		d.disk = string(raw)
		return nil
	}
	if err != nil && !os.IsNotExist(err) {
		return errors.Wrap(err, "reading the disk's id")
	}
	id := make([]byte, idBytes)
	_, _ = rand.Read(id) // never fails, as its documentation says
	d.disk = hex.EncodeToString(id)
	f, err := os.OpenFile(name, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, fileMode)
	if err != nil {
		return errors.Wrap(err, "making the disk's id")
	}
	defer func() { _ = f.Close() }() // it was synced
	if _, err := f.WriteString(d.disk); err != nil {
		return errors.Wrap(err, "writing the disk's id")
	}
	if err := f.Sync(); err != nil {
		return errors.Wrap(err, "syncing the disk's id")
	}
	return d.syncFolder()
}

// syncFolder has a new file's name outlive a loss of power.
func (d *Dir) syncFolder() error {
	f, err := os.Open(d.path)
	if err != nil {
		return errors.Wrap(err, "opening the folder of copies")
	}
	defer func() { _ = f.Close() }() // it was only synced
	return errors.Wrap(f.Sync(), "syncing the folder of copies")
}

// open reads a log and cuts what follows its last whole record.
func open(name string) (*file, error) {
	f, err := os.OpenFile(name, os.O_RDWR, fileMode)
	if err != nil {
		return nil, errors.Wrap(err, "opening a copy")
	}
	l := &file{f: f, used: time.Now()}
	l.bytes, err = replay(f, l.take)
	if err != nil {
		return nil, errors.Wrapf(err, "reading %s", name)
	}
	if err := f.Truncate(l.bytes); err != nil {
		return nil, errors.Wrapf(err, "cutting %s", name)
	}
	if _, err := f.Seek(l.bytes, io.SeekStart); err != nil {
		return nil, errors.Wrapf(err, "going to the end of %s", name)
	}
	return l, nil
}

// take applies a record as it was accepted.
func (l *file) take(r record) {
	if len(r.Results) == 0 {
		_ = l.copy.Seal(r.Epoch) // it was accepted when it was written
		return
	}
	_, _ = l.copy.Append(r.Epoch, r.From, r.Kept, r.Results) // likewise
}

// replay reads the whole records of a log and returns how many bytes they take. It ends
// at the first that is torn.
func replay(r io.Reader, take func(record)) (bytes int64, err error) {
	raw, err := io.ReadAll(r)
	if err != nil {
		return 0, err
	}
	at := 0
	for len(raw)-at >= headBytes {
		n := int(binary.LittleEndian.Uint32(raw[at:]))
		sum := binary.LittleEndian.Uint32(raw[at+4:])
		if n > len(raw)-at-headBytes {
			break
		}
		body := raw[at+headBytes : at+headBytes+n]
		rec, ok := decode(body, sum)
		if !ok {
			break
		}
		take(rec)
		at += headBytes + n
	}
	return int64(at), nil
}

// decode returns a record whose checksum fits.
func decode(body []byte, sum uint32) (rec record, ok bool) {
	ok = crc32.Checksum(body, table) == sum && json.Unmarshal(body, &rec) == nil
	return rec, ok
}

// Append keeps the results of a holder; see seal.Copy. When it returns nil they are on the
// disk.
func (d *Dir) Append(id string, epoch int64, from, kept int, results []batch.Result) error {
	d.mu.Lock()
	closed := d.closed
	d.mu.Unlock()
	if closed {
		return &ClosedError{}
	}
	return d.change(id, record{Epoch: epoch, From: from, Kept: kept, Results: results}, func(c *seal.Copy[batch.Result]) (bool, error) {
		return c.Append(epoch, from, kept, results)
	})
}

// Seal has earlier holders refused and returns the results from a position on, and the
// epoch of the holder that they are of.
func (d *Dir) Seal(id string, epoch int64, after int) (results []batch.Result, of int64, err error) {
	err = d.change(id, record{Epoch: epoch}, func(c *seal.Copy[batch.Result]) (bool, error) {
		results, of = c.After(after), c.Of
		return true, c.Seal(epoch)
	})
	return results, of, err
}

// change writes what do accepts before it is in force.
func (d *Dir) change(id string, rec record, do func(*seal.Copy[batch.Result]) (bool, error)) error {
	l, err := d.log(id)
	if err != nil {
		return err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	next := seal.Copy[batch.Result]{Epoch: l.copy.Epoch, Of: l.copy.Of, From: l.copy.From, Results: l.copy.Results[:len(l.copy.Results):len(l.copy.Results)]}
	changed, err := do(&next)
	if err != nil || !changed {
		return err
	}
	if err := d.write(l, rec); err != nil {
		return err
	}
	l.copy = next
	return nil
}

// log returns the log of a submission, a new one if there is none.
func (d *Dir) log(id string) (*file, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if l, ok := d.logs[id]; ok {
		l.used = time.Now()
		return l, nil
	}
	d.expire()
	f, err := os.OpenFile(d.name(id), os.O_CREATE|os.O_RDWR|os.O_TRUNC, fileMode)
	if err != nil {
		return nil, errors.Wrap(err, "making a copy")
	}
	if err := d.syncFolder(); err != nil {
		return nil, errors.CombineErrors(err, f.Close())
	}
	l := &file{f: f, used: time.Now()}
	d.logs[id] = l
	return l, nil
}

func (d *Dir) name(id string) string {
	return filepath.Join(d.path, url.PathEscape(id)+suffix)
}

// write appends a record and syncs it. After an error the file is cut back, so that a
// later record doesn't stand behind a torn one.
func (d *Dir) write(l *file, rec record) error {
	raw, err := encode(rec)
	if err != nil {
		return err
	}
	d.mu.Lock()
	total := d.bytes + int64(len(raw))
	d.mu.Unlock()
	if total > d.most {
		return &FullError{Bytes: total, Most: d.most}
	}
	_, err = l.f.Write(raw)
	if err == nil {
		err = l.f.Sync()
	}
	if err != nil {
		_, seekErr := l.f.Seek(l.bytes, io.SeekStart)
		return errors.Wrap(errors.CombineErrors(err, errors.CombineErrors(l.f.Truncate(l.bytes), seekErr)), "writing a copy")
	}
	l.bytes += int64(len(raw))
	d.mu.Lock()
	d.bytes += int64(len(raw))
	d.mu.Unlock()
	return nil
}

// encode returns a record with its length and checksum.
func encode(rec record) ([]byte, error) {
	body, err := json.Marshal(rec)
	if err != nil {
		return nil, errors.Wrap(err, "encoding a record")
	}
	raw := make([]byte, headBytes, headBytes+len(body))
	binary.LittleEndian.PutUint32(raw, uint32(len(body))) //nolint:gosec // Records are far below 4 GiB.
	binary.LittleEndian.PutUint32(raw[4:], crc32.Checksum(body, table))
	return append(raw, body...), nil
}

// Drop forgets the results of a submission, which the store has. The log is made anew
// with its epoch only, so that the space comes back.
func (d *Dir) Drop(id string, epoch int64) error {
	d.mu.Lock()
	l, ok := d.logs[id]
	d.mu.Unlock()
	if !ok {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	next := l.copy
	if err := next.Drop(epoch); err != nil {
		return err
	}
	if len(l.copy.Results) == 0 {
		return nil
	}
	if err := d.renew(l, id, record{Epoch: epoch}); err != nil {
		return err
	}
	l.copy = next
	return nil
}

// renew replaces a log by one with a single record. What a loss of power leaves is the one
// or the other.
func (d *Dir) renew(l *file, id string, rec record) error {
	raw, err := encode(rec)
	if err != nil {
		return err
	}
	f, err := os.OpenFile(d.name(id)+fresh, os.O_CREATE|os.O_TRUNC|os.O_RDWR, fileMode)
	if err != nil {
		return errors.Wrap(err, "making a copy anew")
	}
	_, err = f.Write(raw)
	if err == nil {
		err = f.Sync()
	}
	if err == nil {
		err = os.Rename(d.name(id)+fresh, d.name(id))
	}
	if err == nil {
		err = d.syncFolder()
	}
	if err != nil {
		return errors.Wrap(errors.CombineErrors(err, f.Close()), "making a copy anew")
	}
	_ = l.f.Close() // nothing of it is wanted any more
	d.mu.Lock()
	d.bytes += int64(len(raw)) - l.bytes
	d.mu.Unlock()
	l.f, l.bytes = f, int64(len(raw))
	return nil
}

// expire removes logs that were not used for long. The lock is held.
func (d *Dir) expire() {
	for id, l := range d.logs {
		if time.Since(l.used) < keepFor {
			continue
		}
		delete(d.logs, id)
		d.bytes -= l.bytes
		_ = l.f.Close()           // every record of it was synced
		_ = os.Remove(d.name(id)) // if it stays, the next start reads it and this comes again
	}
}

// Waiting is the number of submissions whose results the store may not have yet.
func (d *Dir) Waiting() int {
	d.mu.Lock()
	logs := make([]*file, 0, len(d.logs))
	for _, l := range d.logs {
		logs = append(logs, l)
	}
	d.mu.Unlock()
	n := 0
	for _, l := range logs {
		l.mu.Lock()
		if len(l.copy.Results) > 0 {
			n++
		}
		l.mu.Unlock()
	}
	return n
}

// Close takes no results from now on; what is kept can still be read and dropped.
func (d *Dir) Close() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.closed = true
}
