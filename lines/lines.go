// Package lines reads the log lines of processes, for reports that are made from logs.
package lines

import (
	"bufio"
	"bytes"
	"io"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logfmt/logfmt"
)

// maxLineBytes bounds a line; this program writes no longer ones.
const maxLineBytes = 1 << 20

// Line is one parsed log line. See Read.
type Line struct {
	At      time.Time
	Message string
	Fields  map[string]string
}

var (
	// lineStart is the first field of a log line. Anything before it was added by the log
	// collector.
	lineStart  = []byte("time=")
	messageKey = []byte("msg=")
)

// Read calls add for each line whose message starts with one of the wanted prefixes. All
// other lines, which are most of a log, are skipped before they are parsed. Read returns
// how many lines it skipped and how many of the wanted or cut-off ones are damaged.
//
//	skipped, damaged, err := lines.Read(file, []string{"Item run."}, func(l lines.Line) { n++ })
func Read(from io.Reader, wanted []string, add func(Line)) (skipped, damaged int, err error) {
	sc := bufio.NewScanner(from)
	sc.Buffer(nil, maxLineBytes)
	for sc.Scan() {
		record, isCut := lastRecord(sc.Bytes())
		if isCut {
			damaged++
		}
		if !isWanted(record, wanted) {
			skipped++
			continue
		}
		l, ok := parse(record)
		if !ok {
			damaged++
			continue
		}
		add(l)
	}
	return skipped, damaged, errors.Wrap(sc.Err(), "reading a log")
}

// lastRecord returns the record of a raw line, or nil if there is none. A collector that
// mixes the output of several processes can write a whole line after the beginning of another
// one; isCut reports that, and the record is then the whole one.
func lastRecord(raw []byte) (record []byte, isCut bool) {
	first, last := bytes.Index(raw, lineStart), bytes.LastIndex(raw, lineStart)
	if first < 0 {
		return nil, false
	}
	if first == last {
		return raw[first:], false
	}
	if _, ok := parse(raw[first:]); ok { // the second "time=" is part of a value
		return raw[first:], false
	}
	return raw[last:], true
}

func isWanted(record []byte, wanted []string) bool {
	_, message, ok := bytes.Cut(record, messageKey)
	message = bytes.TrimPrefix(message, []byte{'"'})
	return ok && slices.ContainsFunc(wanted, func(w string) bool { return bytes.HasPrefix(message, []byte(w)) })
}

// parse parses a record. It returns false for one that is malformed, or has a second time
// or message, so that it consists of parts of two records.
func parse(record []byte) (Line, bool) {
	l := Line{Fields: make(map[string]string)}
	d := logfmt.NewDecoder(bytes.NewReader(record))
	isWhole := true
	for d.ScanRecord() {
		for d.ScanKeyval() {
			isWhole = l.set(string(d.Key()), string(d.Value())) && isWhole
		}
	}
	return l, d.Err() == nil && isWhole && !l.At.IsZero()
}

// set sets a field. It returns false for a second time or message.
func (l *Line) set(key, value string) bool {
	switch key {
	case "time":
		isFirst := l.At.IsZero()
		at, err := time.Parse(time.RFC3339Nano, value)
		if err == nil { // parse rejects a record without a time
			l.At = at
		}
		return isFirst
	case "msg":
		isFirst := l.Message == ""
		l.Message = value
		return isFirst
	}
	l.Fields[key] = value
	return true
}

// Duration returns the value of a field, or 0 if the line has no such duration.
func (l *Line) Duration(key string) time.Duration {
	d, err := time.ParseDuration(l.Fields[key])
	if err != nil {
		return 0
	}
	return d
}
