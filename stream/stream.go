// Package stream decodes server-sent events. An event is complete only after its blank
// line, since an endpoint may stop in the middle of an event.
package stream

import (
	"bufio"
	"bytes"
	"io"
	"strconv"

	"github.com/cockroachdb/errors"
)

const (
	// maxEventBytes is the maximum number of bytes until an event is complete, with comments and
	// empty lines before it. It bounds memory and processor time if an endpoint sends no line
	// feed, or lines without an end.
	maxEventBytes = 128 << 10
	// bufferBytes is the size of the read buffer; an event has a few hundred bytes.
	bufferBytes = 4 << 10
)

var (
	idField      = []byte("id:")
	dataField    = []byte("data:")
	errTruncated = errors.New("the stream ended inside an event")
	errTooLong   = errors.New("the stream has too many bytes without an event")
)

type (
	// Reader decodes the events of a stream. See New.
	Reader struct {
		br           *bufio.Reader
		versionField []byte
	}

	// Event is one complete event.
	Event struct {
		// ID increases with each event of a stream; -1 if missing or invalid.
		ID   int64
		Data string
		// Version is the weight version from this event on; 0 if unchanged.
		Version int64
		// Raw holds the bytes of the event as received, including the blank line.
		Raw []byte
	}
)

// New returns a Reader that reads from r. The field named versionField sets the weight
// version from its event on.
//
//	events := stream.New(resp.Body, "weight-versions")
//	ev, err := events.Next()
func New(r io.Reader, versionField string) *Reader {
	return &Reader{br: bufio.NewReaderSize(r, bufferBytes), versionField: []byte(versionField + ":")}
}

// Next returns the next event, or io.EOF after the last one. Any other error means that
// the stream is incomplete.
func (r *Reader) Next() (Event, error) {
	var ev Event
	ev.ID = -1
	var data []byte // nil until there is a line of data
	for left := maxEventBytes; ; {
		line, err := r.line(left)
		left -= len(line)
		if err != nil {
			if errors.Is(err, io.EOF) && (len(ev.Raw) > 0 || len(line) > 0) {
				return Event{}, errTruncated
			}
			return Event{}, err
		}
		ev.Raw = append(ev.Raw, line...)
		text := bytes.TrimRight(line, "\r\n")
		switch {
		case len(text) == 0:
			if data != nil {
				ev.Data = string(data)
				return ev, nil
			}
			ev = Event{ID: -1}
		case bytes.HasPrefix(text, idField):
			ev.ID = parseNumber(text[len(idField):])
		case bytes.HasPrefix(text, dataField):
			if data == nil {
				data = []byte{}
			} else {
				data = append(data, '\n')
			}
			data = append(data, bytes.TrimPrefix(text[len(dataField):], []byte(" "))...)
		case bytes.HasPrefix(text, r.versionField):
			ev.Version = parseNumber(text[len(r.versionField):])
		}
	}
}

// line returns the next line, of limit bytes at most.
func (r *Reader) line(limit int) ([]byte, error) {
	line, err := r.br.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) {
		line = bytes.Clone(line)
	}
	for errors.Is(err, bufio.ErrBufferFull) && len(line) <= limit {
		var more []byte
		more, err = r.br.ReadSlice('\n')
		line = append(line, more...)
	}
	if len(line) > limit {
		return nil, errTooLong
	}
	return line, err
}

func parseNumber(text []byte) int64 {
	n, err := strconv.ParseInt(string(bytes.TrimSpace(text)), 10, 64)
	if err != nil {
		return -1
	}
	return n
}
