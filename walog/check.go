package walog

import (
	"io"
	"net/url"
	"os"
	"path/filepath"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/lavendermux/lavendermux/grid"
)

// Check reads the logs in a folder without changing anything. It returns a table of them
// and the number of logs with a torn tail. The tail is truncated when the log's process
// starts; its records were never acknowledged.
//
//	table, torn, err := walog.Check("/data/copies")
func Check(path string) (table *grid.Table, torn int, err error) {
	names, err := filepath.Glob(filepath.Join(path, "*"+logSuffix))
	if err != nil {
		return nil, 0, errors.Wrap(err, "listing copies")
	}
	if _, err := os.Stat(filepath.Join(path, idFile)); err != nil {
		return nil, 0, errors.Wrap(err, "no folder of copies")
	}
	table = grid.New("BATCH", "EPOCH", "FROM", "RESULTS", "BYTES", "TORN BYTES")
	for _, name := range names {
		cells, bad, err := checkLog(name)
		if err != nil {
			return nil, 0, err
		}
		if bad {
			torn++
		}
		table.Add(cells...)
	}
	return table, torn, nil
}

func checkLog(name string) (cells []string, torn bool, err error) {
	id, err := url.PathUnescape(strings.TrimSuffix(filepath.Base(name), logSuffix))
	if err != nil {
		return nil, false, errors.Wrapf(err, "decoding the file name of %s", name)
	}
	f, err := os.Open(name)
	if err != nil {
		return nil, false, errors.Wrap(err, "opening a replica log")
	}
	defer func() { _ = f.Close() }() // it was only read
	l := &logFile{}
	intact, err := replay(f, l.apply)
	if err != nil {
		return nil, false, errors.Wrapf(err, "reading %s", name)
	}
	size, err := f.Seek(0, io.SeekEnd)
	if err != nil {
		return nil, false, errors.Wrapf(err, "getting the size of %s", name)
	}
	cells = []string{strings.ReplaceAll(id, ReservedPrefix, "\\0")}
	for _, n := range []int64{l.replica.Epoch, int64(l.replica.From), int64(len(l.replica.Results)), intact, size - intact} {
		cells = append(cells, strconv.FormatInt(n, 10))
	}
	return cells, size > intact, nil
}
